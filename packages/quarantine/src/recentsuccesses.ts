/** Requests that recently completed successfully at this process, and so don't crash upstreams. */
import { steadyNow } from "@winchpath/core";

/**
 * How long a success clears equal requests of suspicion, in milliseconds. Without it, a very frequent request would be
 * present at every crash while the upstreams of a service fail one after the other.
 */
const retentionMs = 10_000;
/** The oldest entries are evicted beyond this. */
const maxFingerprints = 2048;

export class RecentSuccesses {
    /** Monotonic time of the last success, oldest first. */
    private readonly completedAt = new Map<string, number>();

    public record(fingerprint: string): void {
        this.completedAt.delete(fingerprint);
        this.completedAt.set(fingerprint, steadyNow());
        const [oldest] = this.completedAt.keys();
        if (this.completedAt.size > maxFingerprints) {
            this.completedAt.delete(oldest);
        }
    }

    public has(fingerprint: string): boolean {
        return steadyNow() - (this.completedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < retentionMs;
    }
}
