/** Decides whether a request may be sent to an upstream, based on the signals that the upstream has sent. */
import { steadyNow } from "@winchpath/core";
import { BackoffTracker } from "./backoffs.js";
import { DrainTracker } from "./draintrackers.js";
import { RateLimits } from "./ratelimits.js";

/** State of an upstream according to its own signals. All times are monotonic. */
export type Availability =
    | { readonly kind: "open"; }
    /** The upstream is draining; `since`: when it first announced that. */
    | { readonly kind: "leaving"; readonly since: number; }
    /** The upstream requested a backoff; `until`: when it ends. */
    | { readonly kind: "resting"; readonly until: number; }
    /** The upstream is rate limited and this process holds no permit; `until`: when it may get one. */
    | { readonly kind: "limited"; readonly until: number; };

const open: Availability = { kind: "open" };

/**
 * Signals that this process has received from upstreams, by incarnation. Consulted when an upstream is selected, and
 * again right before a request is sent.
 */
export class AvailabilityTracker {
    public readonly rates = new RateLimits();
    private readonly drainTracker = new DrainTracker();
    private readonly backoffs = new BackoffTracker();

    /** Records that an upstream is draining; returns whether that is new. */
    public markDraining(upstream: string): boolean {
        return this.drainTracker.add(upstream);
    }

    /** Stops sending to an upstream for `ms` milliseconds. */
    public startBackoff(upstream: string, ms: number): void {
        this.backoffs.start(upstream, ms);
    }

    /** Records an answer that asked for no backoff; returns whether that ended one. */
    public answered(upstream: string): boolean {
        return this.backoffs.answered(upstream);
    }

    /** Records that a request is sent to an upstream. */
    public sent(upstream: string): void {
        this.backoffs.sent(upstream);
    }

    /** Upstreams that started draining within the last `withinMs` milliseconds. */
    public recentlyDraining(withinMs: number): string[] {
        return this.drainTracker.recent(withinMs);
    }

    public isDraining(upstream: string): boolean {
        return this.drainTracker.has(upstream);
    }

    /** Milliseconds since an upstream first announced that it is draining; undefined if it has not. */
    public drainingMs(upstream: string): number | undefined {
        const since = this.drainTracker.firstAnnouncedAt(upstream);
        return since === undefined ? undefined : steadyNow() - since;
    }

    /** Whether an upstream may be selected for a new request. */
    public forSelection(upstream: string): Availability {
        const availability = this.evaluate(upstream, this.backoffs.selectableFrom(upstream));
        const until = this.rates.blockedUntil(upstream);
        return availability.kind === "open" && until !== undefined ? { kind: "limited", until } : availability;
    }

    /**
     * Whether a request may still be sent to an upstream already selected for it, or the only one that can serve it.
     * Doesn't check rate limits: see {@link RateLimits.acquirePermit}.
     */
    public forSending(upstream: string): Availability {
        return this.evaluate(upstream, this.backoffs.blockedUntil(upstream));
    }

    private evaluate(upstream: string, backoffUntil: number | undefined): Availability {
        const since = this.drainTracker.firstAnnouncedAt(upstream);
        if (since !== undefined) {
            return { kind: "leaving", since };
        }
        return backoffUntil === undefined ? open : { kind: "resting", until: backoffUntil };
    }
}

/**
 * Candidates that are not backing off, and the earliest monotonic time at which one of the others becomes available.
 */
export function excludeBackingOff<T>(
    availability: Pick<AvailabilityTracker, "forSelection">,
    candidates: readonly T[],
    idOf: (candidate: T) => string,
): { readonly usable: T[]; readonly until: number; } {
    const usable: T[] = [];
    let until = Number.POSITIVE_INFINITY;
    for (const one of candidates) {
        const current = availability.forSelection(idOf(one));
        if (current.kind === "resting") {
            until = Math.min(until, current.until);
        }
        else {
            usable.push(one);
        }
    }
    return { usable, until };
}
