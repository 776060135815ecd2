/**
 * Current pace of each upstream: how long work takes there, as a multiple of the usual time. Upstreams share their hosts
 * with others, so that the pace changes many times per second. Addresses load at which a slow upstream must get less
 * than its share for requests to be in time.
 */
import { steadyNow } from "@winchpath/core";

/**
 * Time in which a reported pace loses half of its weight against the learned one. The figure changes several times per
 * second, but an entry among many gets the next one from the same upstream only after a second or more.
 */
export const reportHalfLifeMs = 500;
/** Time in which the learned pace of an upstream without responses returns halfway to that of its service. */
const learnedHalfLifeMs = 5000;
/**
 * Weight of a response in the learned pace and in the service's mean time to the start of a response. With a larger one, the learned pace
 * follows changes that are over by the time that it is used.
 */
const sampleWeight = 0.05;
/**
 * Bounds of a pace. An upstream that is further off gets no request anyway or is the best in any case; beyond the bounds,
 * a figure is more likely wrong than right.
 */
const minPace = 0.25;
const maxPace = 10;
/** Bounds of a learned pace, which also contains the queue that responses have waited in. */
const minLearnedPace = 0.5;
const maxLearnedPace = 4;
/** Learned paces this close to the usual one count as usual: at low load, noise would direct all requests to one upstream. */
const learnedTolerance = 0.25;
/** Lower bound of the usual time to the start of a response in milliseconds; shorter ones consist of delays of the network and the process. */
const minUsualMs = 5;
/** A value that is older than this many half-lives has no weight. Before, it still decides between equal upstreams. */
const maxHalfLives = 20;
/** Records without an update for this long are deleted. */
const retentionMs = 60_000;

interface UpstreamPace {
    reported: number;
    reportedAt: number;
    learned: number;
    learnedAt: number;
}

export class PaceTable {
    private readonly upstreams = new Map<string, UpstreamPace>();
    /** Mean time from a request to the start of its response in milliseconds, by service. */
    private readonly meanMs = new Map<string, number>();
    private expiredAt = steadyNow();

    /** `halfLifeMs`: time in which a reported pace loses half of its weight; other values are for comparisons. */
    public constructor(private readonly halfLifeMs = reportHalfLifeMs) {}

    /** Records a reported duration in percent of the usual one. Returns false if the figure is no positive number. */
    public report(upstream: string, durationPercent: number): boolean {
        if (!(durationPercent > 0) || !Number.isFinite(durationPercent)) {
            return false;
        }
        const pace = this.paceOf(upstream);
        pace.reported = clamp(durationPercent / 100, minPace, maxPace);
        pace.reportedAt = steadyNow();
        return true;
    }

    /** Records that a response of the upstream started `ms` after its request. */
    public observe(service: string, upstream: string, ms: number): void {
        if (!(ms > 0) || !Number.isFinite(ms)) {
            return;
        }
        const mean = this.meanMs.get(service) ?? ms;
        const pace = this.paceOf(upstream);
        const learned = currentLearned(pace, steadyNow());
        const sample = clamp(ms / mean, minLearnedPace, maxLearnedPace);
        pace.learned = learned + (sample - learned) * sampleWeight;
        pace.learnedAt = steadyNow();
        this.meanMs.set(service, mean + (ms - mean) * sampleWeight);
    }

    /**
     * Expected duration of work at the upstream, as a multiple of the usual one; 1 if nothing is known. `unansweredMs`:
     * age of the oldest request without a response. It tells before any response does that the upstream is slow now.
     * `now`: monotonic time, for callers that compare many upstreams.
     */
    public pace(service: string, upstream: string, unansweredMs = 0, now = steadyNow()): number {
        const meanMs = this.meanMs.get(service);
        const current = meanMs === undefined ? 0 : Math.min(maxPace, unansweredMs / Math.max(minUsualMs, meanMs));
        return Math.max(current, this.knownPace(upstream, now));
    }

    /** Mean time to the start of a response of the service, in milliseconds; undefined before the first response. */
    public usualMs(service: string): number | undefined {
        return this.meanMs.get(service);
    }

    private knownPace(upstream: string, now: number): number {
        const pace = this.upstreams.get(upstream);
        if (pace === undefined) {
            return 1;
        }
        const current = currentLearned(pace, now);
        const learned = Math.abs(current - 1) < learnedTolerance ? 1 : current;
        return learned + (pace.reported - learned) * halfLifeWeight(now - pace.reportedAt, this.halfLifeMs);
    }

    private paceOf(upstream: string): UpstreamPace {
        let pace = this.upstreams.get(upstream);
        if (pace === undefined) {
            this.deleteExpired();
            const never = Number.NEGATIVE_INFINITY;
            pace = { reported: 1, reportedAt: never, learned: 1, learnedAt: never };
            this.upstreams.set(upstream, pace);
        }
        return pace;
    }

    private deleteExpired(): void {
        const now = steadyNow();
        if (now - this.expiredAt < retentionMs) {
            return;
        }
        this.expiredAt = now;
        for (const [upstream, { reportedAt, learnedAt }] of this.upstreams) {
            if (now - Math.max(reportedAt, learnedAt) > retentionMs) {
                this.upstreams.delete(upstream);
            }
        }
    }
}

function currentLearned({ learned, learnedAt }: UpstreamPace, now: number): number {
    return 1 + (learned - 1) * halfLifeWeight(now - learnedAt, learnedHalfLifeMs);
}

/** Weight of a value of that age, from 1 to 0. If the clock was set back, no time has passed. */
function halfLifeWeight(ageMs: number, halfLifeMs: number): number {
    const halfLives = Math.max(0, ageMs) / halfLifeMs;
    return halfLives > maxHalfLives ? 0 : 2 ** -halfLives;
}

function clamp(value: number, min: number, max: number): number {
    return Math.min(max, Math.max(min, value));
}
