/** A token bucket that can be overdrawn, since units may also be granted elsewhere. */
import { steadyNow } from "./clocks.js";

export class TokenBucket {
    private refilledAt = steadyNow();

    public constructor(private perSecond: number, private capacity: number, private available = capacity) {}

    /** Units available now; negative if the bucket is overdrawn. */
    public get level(): number {
        const now = steadyNow();
        this.available = Math.min(this.capacity, this.available + this.perSecond * (now - this.refilledAt) / 1000);
        this.refilledAt = now;
        return this.available;
    }

    /** Removes units without checking the level; a negative count returns units. */
    public take(units: number): void {
        this.available = Math.min(this.capacity, this.level - units);
    }

    /** Changes rate and capacity; units above the new capacity are lost. */
    public resize(perSecond: number, size: number): void {
        this.available = Math.min(this.level, size);
        this.perSecond = perSecond;
        this.capacity = size;
    }
}
