/** Backoff that upstreams have requested from this process. */
import { steadyNow } from "@winchpath/core";

/** Longer backoffs are cut to this, so that an upstream that sends a wrong value isn't lost for hours. */
const maxBackoffMs = 600_000;
/** Time after which another probe may be sent if the first got no answer. */
const probeTimeoutMs = 1000;
/** Entries that expire first are evicted beyond this. */
const maxUpstreams = 4096;

interface Backoff {
    /** Monotonic time at which the backoff ends. */
    until: number;
    /** Monotonic time until which the answer to the first request after the backoff is awaited. */
    probeUntil: number;
}

/**
 * A backoff expires by itself. It doesn't count as a failure, and unlike outlier ejection it applies no matter how many
 * other upstreams are backing off.
 */
export class BackoffTracker {
    private readonly backoffs = new Map<string, Backoff>();

    /** Starts a backoff; where several overlap, the latest end applies. */
    public start(upstream: string, ms: number): void {
        const previous = this.backoffs.get(upstream);
        const until = steadyNow() + Math.min(ms, maxBackoffMs);
        this.backoffs.set(upstream, { until: Math.max(until, previous?.until ?? 0), probeUntil: 0 });
        if (this.backoffs.size > maxUpstreams) {
            this.dropEarliest();
        }
    }

    /** Monotonic time until which no request may be sent; undefined if requests may be sent. */
    public blockedUntil(upstream: string): number | undefined {
        const until = this.backoffs.get(upstream)?.until;
        return until !== undefined && until > steadyNow() ? until : undefined;
    }

    /**
     * Monotonic time until which an upstream must not be selected; undefined if it may be. After a backoff a single
     * probe request is let through first, so that requests waiting at all entries aren't sent at once.
     */
    public selectableFrom(upstream: string): number | undefined {
        const backoff = this.backoffs.get(upstream);
        if (backoff === undefined) {
            return undefined;
        }
        const from = Math.max(backoff.until, backoff.probeUntil);
        return from > steadyNow() ? from : undefined;
    }

    /** Records that a request is sent; the first one after a backoff is the probe. */
    public sent(upstream: string): void {
        const backoff = this.backoffs.get(upstream);
        if (backoff !== undefined && backoff.until <= steadyNow()) {
            backoff.probeUntil = steadyNow() + probeTimeoutMs;
        }
    }

    /** Records an answer that asked for no backoff; returns whether that ended one. */
    public answered(upstream: string): boolean {
        return this.blockedUntil(upstream) === undefined && this.backoffs.delete(upstream);
    }

    private dropEarliest(): void {
        const [first] = [...this.backoffs].reduce((earliest, other) =>
            other[1].until < earliest[1].until ? other : earliest
        );
        this.backoffs.delete(first);
    }
}
