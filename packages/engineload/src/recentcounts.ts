/** A count that decays with time. */
import { steadyNow } from "@winchpath/core";

/** Time in which a count decays to 1/e, in milliseconds; covers a few streams, and the time between two reports. */
const decayMs = 10_000;

export class RecentCount {
    private count = 0;
    private updatedAt = 0;

    public add(amount = 1): void {
        const now = steadyNow();
        this.count = this.valueAt(now) + amount;
        this.updatedAt = now;
    }

    /** Amount per millisecond at the monotonic time `now`. */
    public ratePerMs(now: number): number {
        return this.valueAt(now) / decayMs;
    }

    /** `now`: the current monotonic time. */
    public valueAt(now: number): number {
        if (this.count === 0) {
            return 0;
        }
        // A time that was read before the last addition must not increase the count.
        const elapsedMs = Math.max(0, now - this.updatedAt);
        return this.count * Math.exp(-elapsedMs / decayMs);
    }
}
