/**
 * Limits retries so that they cannot amplify an outage. The limit is divided among entries without coordination: each
 * may retry a share of the requests that it receives, plus an equal part of a fixed allowance.
 */
import { steadyNow } from "@winchpath/core";

/** Fraction of the limit that is used, so that the total stays within it while the number of entries changes. */
const safetyFactor = 0.8;

export interface RetryBudgetOptions {
    /** Maximum number of retries per request. */
    readonly ratio: number;
    /** Retries that all entries together may send in a window in addition to the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

export class RetryBudget {
    private requests: number[] = [];
    private retries: number[] = [];

    public constructor(private readonly options: RetryBudgetOptions) {}

    /** Records an incoming request. */
    public recordRequest(): void {
        this.requests.push(steadyNow());
    }

    /** Returns how many retries this entry has left if the limit is divided among `entries`. */
    public remaining(entries: number): number {
        const from = steadyNow() - this.options.windowMs;
        this.requests = dropExpired(this.requests, from);
        this.retries = dropExpired(this.retries, from);
        const allowed = this.options.ratio * this.requests.length + this.options.slack / entries;
        return allowed * safetyFactor - this.retries.length;
    }

    /** Consumes one retry if any is left. */
    public trySpend(entries: number): boolean {
        if (this.remaining(entries) < 1) {
            return false;
        }
        this.retries.push(steadyNow());
        return true;
    }
}

function dropExpired(times: number[], from: number): number[] {
    const first = times.findIndex(time => time > from);
    return first === 0 ? times : first === -1 ? [] : times.slice(first);
}
