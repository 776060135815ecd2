/** Rests that upstreams have asked this process for. */
import { steadyNow } from "@winchpath/core";

/**
 * An upstream that asks for longer is asked again after this time, by a single request, in milliseconds: a slip of
 * an upstream, hours in place of seconds, would lose it for good otherwise.
 */
const longestRestMs = 600_000;
/** A request after a rest that has shown nothing by then makes room for another, in milliseconds. */
const trialMs = 1000;
/** Upstreams that are remembered; those whose rest ends first give way. */
const mostRests = 4096;

interface Rest {
    /** Steady time of its end. */
    until: number;
    /** Steady time until which the first request after it may show whether the upstream takes requests again. */
    trialUntil: number;
}

/**
 * Rests end by themselves. A rest is no failure: it says nothing of how well an upstream serves what it takes, and
 * unlike an ejection it holds however many others rest as well.
 */
export class RestBook {
    private readonly rests = new Map<string, Rest>();

    /** An upstream wants no requests from this process for so long; the longest of several rests holds. */
    public begin(upstream: string, ms: number): void {
        const before = this.rests.get(upstream);
        const until = steadyNow() + Math.min(ms, longestRestMs);
        this.rests.set(upstream, { until: Math.max(until, before?.until ?? 0), trialUntil: 0 });
        if (this.rests.size > mostRests) {
            this.dropFirstToEnd();
        }
    }

    /** Steady time until which nothing at all may be sent to an upstream; undefined where something may. */
    public untilOf(upstream: string): number | undefined {
        const until = this.rests.get(upstream)?.until;
        return until !== undefined && until > steadyNow() ? until : undefined;
    }

    /**
     * Steady time until which an upstream is not to be chosen; undefined where it is. After its rest it is let in by
     * one request, so that what has waited at all entries doesn't come in the same millisecond.
     */
    public choosableFrom(upstream: string): number | undefined {
        const rest = this.rests.get(upstream);
        if (rest === undefined) {
            return undefined;
        }
        const from = Math.max(rest.until, rest.trialUntil);
        return from > steadyNow() ? from : undefined;
    }

    /** A request goes to an upstream; the first one after its rest is the one to show how it stands. */
    public sent(upstream: string): void {
        const rest = this.rests.get(upstream);
        if (rest !== undefined && rest.until <= steadyNow()) {
            rest.trialUntil = steadyNow() + trialMs;
        }
    }

    /** An upstream has answered without asking for rest; whether a rest of it is over by that. */
    public answered(upstream: string): boolean {
        return this.untilOf(upstream) === undefined && this.rests.delete(upstream);
    }

    private dropFirstToEnd(): void {
        const [first] = [...this.rests].reduce((one, other) => other[1].until < one[1].until ? other : one);
        this.rests.delete(first);
    }
}
