/** Bounds how many loads from the weight store start within a span of time. */
import { steadyNow } from "@winchpath/core";

/** The span over which starts are counted, in milliseconds; the store's bound is given for five seconds. */
const windowMs = 5000;

export class StorePace {
    private starts: number[] = [];
    private readonly openFrom: number;

    /** `blockedMs`: how long an earlier leader's starts may still count; nothing starts before. */
    public constructor(blockedMs: number) {
        this.openFrom = steadyNow() + blockedMs;
    }

    /** Whether one more load may start now. */
    public mayStart(perSecond: number): boolean {
        const now = steadyNow();
        this.starts = this.starts.filter(start => now - start < windowMs);
        return now >= this.openFrom && this.starts.length < Math.max(1, Math.floor(perSecond * windowMs / 1000));
    }

    public started(): void {
        this.starts.push(steadyNow());
    }
}
