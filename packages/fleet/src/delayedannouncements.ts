/** Announcements that may have been delayed, and may come from processes that have ended meanwhile. */
import { steadyNow } from "@winchpath/core";

/** How long a possibly delayed announcement is remembered. */
const delayRecordTtlMs = 60_000;
/** Delayed announcements arrive within this time of each other; a live sender's next one arrives later. */
const maxDelayMs = 600;

export class DelayedAnnouncements {
    /** Monotonic time at which the first one arrived, by upstream id. */
    private readonly since = new Map<string, number>();

    /** Whether an announcement that may be delayed is still doubted: its sender may not have announced itself again. */
    public isDoubted(id: string): boolean {
        const now = steadyNow();
        const since = this.since.get(id) ?? now;
        this.since.set(id, since);
        return now - since < maxDelayMs;
    }

    public removeExpired(): void {
        const limit = steadyNow() - delayRecordTtlMs;
        for (const [id, at] of this.since) {
            if (at < limit) {
                this.since.delete(id);
            }
        }
    }

    public clear(): void {
        this.since.clear();
    }
}
