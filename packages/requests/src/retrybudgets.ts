/** Limits retries to a share of incoming requests, so that retries cannot amplify an outage. */

/** Initial balance; the maximum balance is ten times as high. */
const initialBalance = 10;

export class RetryBudget {
    private balance = initialBalance;

    public constructor(private readonly depositPerRequest: number) {}

    /** Adds the share of one incoming request. */
    public deposit(): void {
        this.balance = Math.min(this.balance + this.depositPerRequest, initialBalance * 10);
    }

    /** Withdraws one retry; returns false if the balance is too low. */
    public tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
