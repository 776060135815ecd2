/** Retries are paid from what first attempts bring in, so that they can't multiply a failure. */

/** Retries that are free at the start and after quiet times. */
const reserve = 10;

export class RetryBudget {
    private balance = reserve;

    public constructor(private readonly share: number) {}

    /** A request came in. */
    public earn(): void {
        this.balance = Math.min(this.balance + this.share, reserve * 10);
    }

    /** Whether one more retry may be made; pays for it when so. */
    public spend(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
