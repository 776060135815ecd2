/** Upstreams that have announced that they are draining. */
import { steadyNow } from "@winchpath/core";

/** The oldest entries are evicted beyond this. */
const maxUpstreams = 4096;
/** A draining upstream serves for a few seconds more, so it is gone well before its entry expires. */
const retentionMs = 600_000;

/**
 * Keyed by incarnation. Draining is final: a signal of the same incarnation that arrives later was sent earlier,
 * or by a process that doesn't know of it yet.
 */
export class DrainTracker {
    /** Monotonic time of the first announcement, by upstream. */
    private readonly announcedAt = new Map<string, number>();

    /** Records that an upstream is draining; returns whether that is new. */
    public add(upstream: string): boolean {
        if (this.announcedAt.has(upstream)) {
            return false;
        }
        this.removeExpired();
        this.announcedAt.set(upstream, steadyNow());
        return true;
    }

    public has(upstream: string): boolean {
        return this.announcedAt.has(upstream);
    }

    /** Monotonic time of the first announcement. */
    public firstAnnouncedAt(upstream: string): number | undefined {
        return this.announcedAt.get(upstream);
    }

    /** Upstreams that started draining within the last `withinMs` milliseconds. */
    public recent(withinMs: number): string[] {
        const from = steadyNow() - withinMs;
        return [...this.announcedAt].filter(([, at]) => at >= from).map(([upstream]) => upstream);
    }

    private removeExpired(): void {
        const now = steadyNow();
        for (const [upstream, at] of this.announcedAt) {
            if (now - at <= retentionMs && this.announcedAt.size < maxUpstreams) {
                return;
            }
            this.announcedAt.delete(upstream);
        }
    }
}
