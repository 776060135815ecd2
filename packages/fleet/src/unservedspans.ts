/** Tracks since when all requests for an item have gone unserved. */
import { steadyNow } from "@winchpath/core";

/** Without an unserved request for this long, in milliseconds, callers have given an item up. */
const abandonedMs = 60_000;

/** Unserved requests for an item since the last served one. */
export interface UnservedRequests {
    /** Monotonic time of the first and of the last one. */
    readonly firstAt: number;
    readonly lastAt: number;
    readonly count: number;
    /** Longest time between two successive ones, in milliseconds; 0 if there is only one. */
    readonly longestPauseMs: number;
}

export class UnservedSpan {
    private requests: UnservedRequests | undefined;
    private endedAt = Number.NEGATIVE_INFINITY;
    private endedAfterMs = 0;

    /** The span that has not ended yet; undefined if there is none, or if callers have given the item up. */
    public get current(): UnservedRequests | undefined {
        const { requests } = this;
        return requests === undefined || steadyNow() - requests.lastAt > abandonedMs ? undefined : requests;
    }

    /** Duration of the current span in milliseconds; 0 if there is none. */
    public get durationMs(): number {
        const { current } = this;
        return current === undefined ? 0 : steadyNow() - current.firstAt;
    }

    /** Milliseconds since a span of at least `minMs` was ended by a served request; infinite if none was. */
    public recoveredMs(minMs: number): number {
        return this.endedAfterMs >= minMs ? steadyNow() - this.endedAt : Number.POSITIVE_INFINITY;
    }

    /** Adds requests that went unserved, or wait. */
    public add(count: number): void {
        const now = steadyNow();
        this.merge({ firstAt: now, lastAt: now, count, longestPauseMs: 0 });
    }

    /** Adds requests that went unserved at another process, or before. */
    public merge(requests: UnservedRequests): void {
        const before = this.current;
        if (before === undefined) {
            this.requests = requests;
            return;
        }
        const { firstAt, lastAt, count, longestPauseMs } = requests;
        this.requests = {
            firstAt: Math.min(firstAt, before.firstAt),
            lastAt: Math.max(lastAt, before.lastAt),
            count: count + before.count,
            longestPauseMs: Math.max(
                longestPauseMs,
                before.longestPauseMs,
                firstAt - before.lastAt,
                before.firstAt - lastAt,
            ),
        };
    }

    /** Ends the span, since a request was served. */
    public end(): void {
        const { durationMs } = this;
        if (durationMs > 0) {
            this.endedAt = steadyNow();
            this.endedAfterMs = durationMs;
        }
        this.requests = undefined;
    }
}
