/** The weight store's limits: loads a second, and loads at once. */

/** Lets loads through as the store allows. */
export class LoadPace {
    private tokens: number;
    private refilledAt = Date.now();

    public constructor(private readonly ratePerSecond: number, private readonly atOnce: number) {
        this.tokens = this.burst;
    }

    /** Whether one more load may begin now, with `loading` under way; counts it when so. */
    public take(loading: number): boolean {
        const now = Date.now();
        this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAt) / 1000 * this.ratePerSecond);
        this.refilledAt = now;
        if (loading >= this.atOnce || this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** The store's rate holds over each second, so no more than a second's worth at once. */
    private get burst(): number {
        return Math.max(1, this.ratePerSecond);
    }
}
