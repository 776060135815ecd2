/** Decides whether a request may be sent to an upstream, based on the signals that the upstream has sent. */
import { LeaverBook } from "./leavers.js";
import { RateLimits } from "./ratelimits.js";
import { RestBook } from "./rests.js";

/** State of an upstream according to its own signals. All times are monotonic. */
export type Availability =
    | { readonly kind: "open"; }
    /** The upstream is shutting down; `since`: when it first announced that. */
    | { readonly kind: "leaving"; readonly since: number; }
    /** The upstream asked for a pause; `until`: when the pause ends. */
    | { readonly kind: "resting"; readonly until: number; }
    /** The upstream is rate limited and this process holds no permit; `until`: when it may get one. */
    | { readonly kind: "limited"; readonly until: number; };

const open: Availability = { kind: "open" };

/**
 * Signals that this process has received from upstreams, by incarnation. Consulted when an upstream is selected, and
 * again right before a request is sent.
 */
export class AvailabilityBook {
    public readonly rates = new RateLimits();
    private readonly draining = new LeaverBook();
    private readonly backoffs = new RestBook();

    /** Records that an upstream is shutting down; returns whether that is new. */
    public leaves(upstream: string): boolean {
        return this.draining.add(upstream);
    }

    /** Stops sending to an upstream for `ms` milliseconds. */
    public rest(upstream: string, ms: number): void {
        this.backoffs.begin(upstream, ms);
    }

    /** Records an answer that asked for no backoff; returns whether that ended one. */
    public answered(upstream: string): boolean {
        return this.backoffs.answered(upstream);
    }

    /** Records that a request is sent to an upstream. */
    public sent(upstream: string): void {
        this.backoffs.sent(upstream);
    }

    /** Upstreams that announced their shutdown within the last `withinMs` milliseconds. */
    public recentLeavers(withinMs: number): string[] {
        return this.draining.recent(withinMs);
    }

    public isLeaving(upstream: string): boolean {
        return this.draining.has(upstream);
    }

    /** Whether an upstream may be selected for a new request. */
    public choosable(upstream: string): Availability {
        const availability = this.evaluate(upstream, this.backoffs.choosableFrom(upstream));
        const until = this.rates.heldUntil(upstream);
        return availability.kind === "open" && until !== undefined ? { kind: "limited", until } : availability;
    }

    /**
     * Whether a request may still be sent to an upstream already selected for it, or the only one that can serve it.
     * Doesn't check rate limits: see {@link RateLimits.acquirePermit}.
     */
    public sendable(upstream: string): Availability {
        return this.evaluate(upstream, this.backoffs.untilOf(upstream));
    }

    private evaluate(upstream: string, backoffUntil: number | undefined): Availability {
        const since = this.draining.sinceOf(upstream);
        if (since !== undefined) {
            return { kind: "leaving", since };
        }
        return backoffUntil === undefined ? open : { kind: "resting", until: backoffUntil };
    }
}

/**
 * Candidates that are not backing off, and the earliest monotonic time at which one of the others becomes available.
 */
export function withoutResting<T>(
    availability: Pick<AvailabilityBook, "choosable">,
    candidates: readonly T[],
    idOf: (candidate: T) => string,
): { readonly awake: T[]; readonly until: number; } {
    const awake: T[] = [];
    let until = Number.POSITIVE_INFINITY;
    for (const one of candidates) {
        const current = availability.choosable(idOf(one));
        if (current.kind === "resting") {
            until = Math.min(until, current.until);
        }
        else {
            awake.push(one);
        }
    }
    return { awake, until };
}
