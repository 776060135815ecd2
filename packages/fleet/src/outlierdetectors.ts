/**
 * Outlier detection: rates upstreams that fail far more requests than their peers. Entries avoid those that fail most
 * requests (ejection), and send less load to the others. Counts of all entries are combined, since a single entry sends
 * each upstream too few requests to notice.
 */
import { steadyNow } from "@winchpath/core";

/** Half-life of the decaying request counts: about ten requests at an upstream that receives 2.5 per second. */
const halfLifeMs = 4000;
/** Weight, in requests, of the peers' failure rate as a prior in the estimate for one upstream. */
const priorWeight = 4;
/** Minimum decayed number of failures of an outlier. */
const minFailures = 1.5;
/** Minimum failure rate of an outlier. */
const minFailureRate = 0.15;
/** Failure rate from which entries avoid an upstream as long as others have capacity. */
const ejectionRate = 0.5;
/** Published failure rate of outliers beyond {@link maxEjectedShare}, so that they still get some load. */
const maxPartialRate = 0.49;
/** An outlier's failure rate is at least this multiple of its peers' rate: failures that all share eject none. */
const peerFactor = 3;
/** Prior counts for the failure rate of the peers. */
const peerPriorRequests = 10;
const peerPriorFailures = 0.5;
/** How long the first failure rate of an upstream is published; doubles with each further one. */
const baseEjectionMs = 2000;
const maxEjectionMs = 16_000;
/** For this long after that, half the usual number of failures causes another one. */
const probationMs = 10_000;
/** The ejection count of an upstream resets this long after its last failure rate expired. */
const ejectionResetMs = 30_000;
/** Maximum share of a service's upstreams that may be ejected at once, so that the others aren't overloaded. */
const maxEjectedShare = 1 / 3;

/** Outcomes of the requests that one process has sent to an upstream. */
export interface OutcomeCounts {
    readonly upstream: string;
    readonly served: number;
    readonly failed: number;
}

interface UpstreamHealth {
    /** Counts, decayed to `decayedAt`. */
    served: number;
    failed: number;
    decayedAt: number;
    /** Monotonic time at which the published failure rate expires or has expired. */
    ejectedUntil: number;
    /** Failure rate that was published last. */
    failureRate: number;
    /** Number of published failure rates since the last reset. */
    ejections: number;
}

interface Totals {
    readonly served: number;
    readonly failed: number;
}

export class OutlierDetector {
    private readonly healths = new Map<string, UpstreamHealth>();

    public record(counts: OutcomeCounts): void {
        const health = this.getDecayed(counts.upstream);
        health.served += counts.served;
        health.failed += counts.failed;
    }

    public remove(upstream: string): void {
        this.healths.delete(upstream);
    }

    /**
     * Rates the outliers among a service's upstreams, and ejects the worst. Returns the published failure rate of each
     * upstream, from 0 to 1; 0 if it is no outlier, and at least {@link ejectionRate} if it is ejected.
     */
    public ejectOutliers(peers: readonly string[]): ReadonlyMap<string, number> {
        const healths = new Map(peers.map(id => [id, this.getDecayed(id)]));
        const byRate = [...healths.values()].sort((a, b) => observedRate(a) - observedRate(b));
        const now = steadyNow();
        let available = Math.floor(peers.length * maxEjectedShare)
            - [...healths.values()].filter(health => health.ejectedUntil > now && health.failureRate >= ejectionRate)
                .length;
        const outliers = [...healths.values()]
            .filter(health => health.ejectedUntil <= now && hasEnoughFailures(health))
            .map(health => ({ health, peerRate: peerFailureRate(health, byRate) }))
            .filter(({ health, peerRate }) => isOutlier(health, peerRate))
            .map(({ health, peerRate }) => ({ health, rate: estimateFailureRate(health, peerRate) }))
            .sort((a, b) => b.rate - a.rate);
        for (const { health, rate } of outliers) {
            const isEjected = rate >= ejectionRate && available > 0;
            publish(health, isEjected ? rate : Math.min(rate, maxPartialRate));
            available -= isEjected ? 1 : 0;
        }
        return new Map([...healths].map(([id, health]) => [id, health.ejectedUntil > now ? health.failureRate : 0]));
    }

    private getDecayed(upstream: string): UpstreamHealth {
        const now = steadyNow();
        let health = this.healths.get(upstream);
        if (health === undefined) {
            health = {
                served: 0,
                failed: 0,
                decayedAt: now,
                ejectedUntil: Number.NEGATIVE_INFINITY,
                failureRate: 0,
                ejections: 0,
            };
            this.healths.set(upstream, health);
        }
        const decay = 2 ** (-(now - health.decayedAt) / halfLifeMs);
        health.served *= decay;
        health.failed *= decay;
        health.decayedAt = now;
        if (now - health.ejectedUntil > ejectionResetMs) {
            health.ejections = 0;
        }
        return health;
    }
}

function sumTotals(healths: readonly UpstreamHealth[]): Totals {
    return healths.reduce(
        (sum, { served, failed }) => ({ served: sum.served + served, failed: sum.failed + failed }),
        { served: 0, failed: 0 },
    );
}

function observedRate({ served, failed }: UpstreamHealth): number {
    return failed / (served + failed + priorWeight);
}

/**
 * Failure rate of the healthier half of the other upstreams. The other half may fail for the same reason, and a mean
 * over all of them would hide two failing upstreams of three or four. `byRate`: all upstreams, the healthiest first.
 */
function peerFailureRate(health: UpstreamHealth, byRate: readonly UpstreamHealth[]): number {
    const others = byRate.filter(other => other !== health);
    const { served, failed } = sumTotals(others.slice(0, Math.ceil(others.length / 2)));
    return (failed + peerPriorFailures) / (served + failed + peerPriorRequests);
}

/** Failure rate of an upstream, smoothed towards the rate of its peers. */
function estimateFailureRate({ served, failed }: UpstreamHealth, peerRate: number): number {
    return (failed + priorWeight * peerRate) / (served + failed + priorWeight);
}

function hasEnoughFailures(health: UpstreamHealth): boolean {
    const onProbation = health.ejections > 0 && steadyNow() - health.ejectedUntil < probationMs;
    return health.failed >= (onProbation ? minFailures / 2 : minFailures);
}

function isOutlier(health: UpstreamHealth, peerRate: number): boolean {
    return estimateFailureRate(health, peerRate) >= Math.max(minFailureRate, peerFactor * peerRate);
}

function publish(health: UpstreamHealth, failureRate: number): void {
    health.failureRate = failureRate;
    health.ejectedUntil = steadyNow() + Math.min(maxEjectionMs, baseEjectionMs * 2 ** health.ejections);
    health.ejections += 1;
    // Only later requests count towards the next rate.
    health.served = 0;
    health.failed = 0;
}
