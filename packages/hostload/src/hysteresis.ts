/** Derives a level from a value that fluctuates, with separate thresholds for entering and leaving each level. */

export interface LevelThreshold {
    /** The level is entered at this value. */
    readonly enter: number;
    /** It is left below this value; less than `enter`. */
    readonly leave: number;
    /** How long the value must have stayed at `enter` or above, in milliseconds. */
    readonly sustainedMs: number;
}

export class LevelTracker {
    private current = 0;
    /** Monotonic time since when the value has been at or above each threshold's `enter`. */
    private readonly reachedAt: (number | undefined)[];

    /** `thresholds`: of levels 1, 2 and so on, in ascending order. */
    public constructor(private readonly thresholds: readonly LevelThreshold[]) {
        this.reachedAt = thresholds.map(() => undefined);
    }

    /** 0 is below the first threshold. */
    public get level(): number {
        return this.current;
    }

    /** Updates the level by a value observed at the monotonic time `now`; returns whether the level has changed. */
    public update(value: number, now: number): boolean {
        const before = this.current;
        this.thresholds.forEach(({ enter }, index) => {
            this.reachedAt[index] = value >= enter ? this.reachedAt[index] ?? now : undefined;
        });
        while (this.current < this.thresholds.length && this.isSustained(this.current, now)) {
            this.current += 1;
        }
        while (this.current > 0 && value < this.thresholds[this.current - 1].leave) {
            this.current -= 1;
        }
        return this.current !== before;
    }

    public reset(): void {
        this.current = 0;
        this.reachedAt.fill(undefined);
    }

    private isSustained(index: number, now: number): boolean {
        const since = this.reachedAt[index];
        return since !== undefined && now - since >= this.thresholds[index].sustainedMs;
    }
}
