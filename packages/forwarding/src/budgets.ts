/**
 * Bounds requests that are sent once more, so that they can't multiply a
 * failure. Entries share one bound without talking: each takes its share of
 * what callers send through it, and an equal part of the fixed slack.
 */
import { steadyNow } from "@winchpath/core";

/** Part of the bound that is used; the rest is for entries that count differently, or come and go. */
const usedShare = 0.8;

export interface RetryBudgetOptions {
    /** Sent once more for each request, at most. */
    readonly ratio: number;
    /** Beyond that, over all entries, in a window. */
    readonly slack: number;
    readonly windowMs: number;
}

export class WindowBudget {
    private requests: number[] = [];
    private retries: number[] = [];

    public constructor(private readonly options: RetryBudgetOptions) {}

    /** A request came in. */
    public request(): void {
        this.requests.push(steadyNow());
    }

    /** Retries that are left to this entry, of which there are `entries` alike. */
    public left(entries: number): number {
        const from = steadyNow() - this.options.windowMs;
        this.requests = withoutOld(this.requests, from);
        this.retries = withoutOld(this.retries, from);
        const allowed = this.options.ratio * this.requests.length + this.options.slack / entries;
        return allowed * usedShare - this.retries.length;
    }

    /** Whether one more may be sent; counts it when so. */
    public spend(entries: number): boolean {
        if (this.left(entries) < 1) {
            return false;
        }
        this.retries.push(steadyNow());
        return true;
    }
}

function withoutOld(times: number[], from: number): number[] {
    const first = times.findIndex(time => time > from);
    return first === 0 ? times : first === -1 ? [] : times.slice(first);
}
