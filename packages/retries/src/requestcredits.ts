/**
 * The retries that an entry may send for the requests that it has received itself. No other process is needed for this part
 * of the bound: if each entry keeps to its own requests, the sum keeps to those of all.
 */
import { steadyNow } from "@winchpath/core";
import { type RetryBound, transitMs } from "./retrybounds.js";

/** Times are rounded to intervals of this length, so that counts may be off by a transit. */
const intervalMs = transitMs;
/**
 * A window may be judged by the requests in it, or by those of the window before. Which of them is larger may differ between
 * entries, so all use the same mean of both. Those of the window before are known as soon as it begins; the others let an
 * entry retry that has just started.
 */
const currentWindowShare = 0.25;
const previousWindowShare = 1 - currentWindowShare;
/** Tolerance for rounding errors of the ratio. */
const roundingError = 1e-9;

interface IntervalCounts {
    readonly index: number;
    requests: number;
    retries: number;
}

export class RequestCredit {
    /** Intervals with requests or retries, ascending. */
    private counts: IntervalCounts[] = [];

    /** @param bound may change while the process runs */
    public constructor(private readonly bound: () => RetryBound) {}

    public recordRequest(): void {
        this.current().requests += 1;
    }

    public recordRetry(): void {
        this.current().retries += 1;
    }

    /** Whether `retries` more may be sent now, by every window that contains this moment. */
    public allows(retries: number): boolean {
        const { ratio } = this.bound();
        const length = this.windowLength();
        const now = indexOf(steadyNow());
        const { requestsBefore, retriesIn } = this.countsUpTo(now);
        let sent = retries;
        // Windows that begin in the interval `first`, or up to one transit later.
        for (let first = now; first >= now - length - 1; first--) {
            sent += retriesIn(first);
            const current = requestsBefore(now + 1) - requestsBefore(Math.min(first + 2, now + 1));
            const previous = requestsBefore(first) - requestsBefore(first - length + 2);
            if (sent > ratio * (currentWindowShare * current + previousWindowShare * previous) + roundingError) {
                return false;
            }
        }
        return true;
    }

    private windowLength(): number {
        return Math.ceil(this.bound().windowMs / intervalMs);
    }

    private current(): IntervalCounts {
        const index = indexOf(steadyNow());
        const last = this.counts.at(-1);
        if (last?.index === index) {
            return last;
        }
        const oldest = this.oldestIndex(index);
        while (this.counts.length > 0 && this.counts[0].index < oldest) {
            this.counts.shift();
        }
        const added = { index, requests: 0, retries: 0 };
        this.counts.push(added);
        return added;
    }

    /** The first interval that matters at the interval `now`: two windows, and a transit. */
    private oldestIndex(now: number): number {
        return now - 2 * this.windowLength() - 1;
    }

    /** Counts by interval: retries in one, and requests in all before one. */
    private countsUpTo(now: number) {
        const oldest = this.oldestIndex(now);
        const retries = new Map<number, number>();
        const sums = new Array<number>(now - oldest + 2).fill(0);
        for (const { index, requests, retries: count } of this.counts) {
            if (index >= oldest && index <= now) {
                sums[index - oldest + 1] = requests;
                retries.set(index, count);
            }
        }
        for (let at = 1; at < sums.length; at++) {
            sums[at] += sums[at - 1];
        }
        return {
            requestsBefore: (index: number) => sums[Math.max(0, index - oldest)],
            retriesIn: (index: number) => retries.get(index) ?? 0,
        };
    }
}

function indexOf(time: number): number {
    return Math.floor(time / intervalMs);
}
