/** Limits the rate at which loads from the weight store start. */
import { steadyNow } from "@winchpath/core";

/** Window over which the store's rate limit applies, in milliseconds; the limit is given for five seconds. */
const rateWindowMs = 5000;
/** Loads that a new leader may start while its predecessor's are unknown; the store tolerates this excess. */
const takeoverStarts = 3;

export class StoreLoadLimiter {
    private startTimes: number[] = [];
    private readonly takeoverEndsAt: number;

    /** @param takeoverMs How long starts of an earlier leader, which are unknown here, may still count */
    public constructor(takeoverMs: number) {
        this.takeoverEndsAt = steadyNow() + takeoverMs;
    }

    /**
     * Number of loads that may start now.
     * @param inheritedStarts Upper bound of the loads that an earlier leader started within the window
     */
    public availableStarts(loadsPerSecond: number, inheritedStarts = Number.POSITIVE_INFINITY): number {
        const now = steadyNow();
        this.startTimes = this.startTimes.filter(start => now - start < rateWindowMs);
        const limit = Math.max(1, Math.floor(loadsPerSecond * rateWindowMs / 1000));
        const isTakeoverOver = now >= this.takeoverEndsAt;
        const allowed = isTakeoverOver ? limit : Math.max(limit - inheritedStarts, Math.min(takeoverStarts, limit));
        return Math.max(0, allowed - this.startTimes.length);
    }

    /**
     * Upper bound of the loads that an earlier leader started within the window. If loads last longer than the window,
     * it is the number of engines that have not been seen idle since; if not, loads may have ended unnoticed, and there
     * is no bound.
     */
    public static maxInheritedStarts(unverifiedEngines: number, shortestLoadMs: number): number {
        return shortestLoadMs >= rateWindowMs ? unverifiedEngines : Number.POSITIVE_INFINITY;
    }

    public recordStart(): void {
        this.startTimes.push(steadyNow());
    }
}
