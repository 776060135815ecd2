/** Limits loads from the weight store: per second, and concurrently. */

export class LoadRateLimiter {
    private tokens: number;
    private refilledAt = Date.now();

    public constructor(private readonly ratePerSecond: number, private readonly maxConcurrent: number) {
        this.tokens = this.burst;
    }

    /** Takes a token if another load may start, given that `loading` loads are running. */
    public tryAcquire(loading: number): boolean {
        const now = Date.now();
        this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAt) / 1000 * this.ratePerSecond);
        this.refilledAt = now;
        if (loading >= this.maxConcurrent || this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Bucket size: one second of the configured rate. */
    private get burst(): number {
        return Math.max(1, this.ratePerSecond);
    }
}
