/** Features of requests that recently completed successfully at this process, and so don't crash upstreams. */
import { steadyNow } from "@winchpath/core";

/**
 * How long a success clears equal requests of suspicion, in milliseconds. Without it, a very frequent request would be
 * present at every crash while the upstreams of a service fail one after the other.
 */
const retentionMs = 10_000;
const defaultMaxFeatures = 2048;

export class RecentSuccesses {
    /** Monotonic time of the last success, oldest first. */
    private readonly completedAt = new Map<string, number>();

    /** The oldest features are evicted beyond `maxFeatures`. */
    public constructor(private readonly maxFeatures = defaultMaxFeatures) {}

    public record(feature: string): void {
        this.completedAt.delete(feature);
        this.completedAt.set(feature, steadyNow());
        const [oldest] = this.completedAt.keys();
        if (this.completedAt.size > this.maxFeatures) {
            this.completedAt.delete(oldest);
        }
    }

    public has(feature: string): boolean {
        return steadyNow() - (this.completedAt.get(feature) ?? Number.NEGATIVE_INFINITY) < retentionMs;
    }
}
