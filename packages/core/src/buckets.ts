/** A bucket that fills at a rate up to its size, and may be overdrawn by what was let through elsewhere. */
import { steadyNow } from "./clocks.js";

export class TokenBucket {
    private filledAt = steadyNow();

    public constructor(private perSecond: number, private size: number, private held = size) {}

    /** What may be taken now; below 0 where more was taken than there was. */
    public get level(): number {
        const now = steadyNow();
        this.held = Math.min(this.size, this.held + this.perSecond * (now - this.filledAt) / 1000);
        this.filledAt = now;
        return this.held;
    }

    /** Takes units out, or gives them back where the count is below 0. */
    public take(units: number): void {
        this.held = Math.min(this.size, this.level - units);
    }

    /** Goes on at another rate, holding no more than the new size. */
    public resize(perSecond: number, size: number): void {
        this.held = Math.min(this.level, size);
        this.perSecond = perSecond;
        this.size = size;
    }
}
