/**
 * Outlier detection: ejects upstreams that fail far more requests than their peers. Counts of all entries
 * are combined, since a single entry sends each upstream too few requests to notice.
 */
import { steadyNow } from "@winchpath/core";

/** Half-life of the decaying request counts. */
const halfLifeMs = 4000;
/** Weight, in requests, of the peers' failure rate as a prior in the estimate for one upstream. */
const priorWeight = 4;
/** Minimum decayed number of failures for an ejection. */
const minFailures = 1.5;
/** Minimum failure rate for an ejection. */
const minFailureRate = 0.15;
/** An outlier's failure rate is at least this multiple of its peers' rate. */
const peerFactor = 3;
/** Prior counts for the failure rate of the peers. */
const peerPriorRequests = 10;
const peerPriorFailures = 0.5;
/** Duration of the first ejection; doubles with each further one. */
const baseEjectionMs = 2000;
const maxEjectionMs = 16_000;
/** For this long after an ejection ends, half the usual number of failures causes another one. */
const probationMs = 10_000;
/** The ejection count of an upstream resets this long after its last ejection ended. */
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
    /** Monotonic time at which the current or last ejection ends. */
    ejectedUntil: number;
    /** Estimated failure rate at the last ejection. */
    failureRate: number;
    /** Number of ejections since the last reset. */
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
     * Ejects outliers among a service's upstreams. Returns the failure rate of each upstream, from 0 to 1;
     * 0 if it is not ejected.
     */
    public ejectOutliers(peers: readonly string[]): ReadonlyMap<string, number> {
        const healths = new Map(peers.map(id => [id, this.getDecayed(id)]));
        const totals = sumTotals([...healths.values()]);
        const now = steadyNow();
        let available = Math.floor(peers.length * maxEjectedShare)
            - [...healths.values()].filter(health => health.ejectedUntil > now).length;
        const outliers = [...healths.values()]
            .filter(health => health.ejectedUntil <= now && isOutlier(health, totals))
            .sort((a, b) => estimateFailureRate(b, totals) - estimateFailureRate(a, totals));
        for (const health of outliers.slice(0, Math.max(0, available))) {
            eject(health, estimateFailureRate(health, totals));
            available -= 1;
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

/** Failure rate of all other upstreams of the service. */
function peerFailureRate({ served, failed }: UpstreamHealth, totals: Totals): number {
    const others = totals.served + totals.failed - served - failed;
    return (totals.failed - failed + peerPriorFailures) / (others + peerPriorRequests);
}

/** Failure rate of an upstream, smoothed towards the rate of its peers. */
function estimateFailureRate(health: UpstreamHealth, totals: Totals): number {
    const { served, failed } = health;
    return (failed + priorWeight * peerFailureRate(health, totals)) / (served + failed + priorWeight);
}

function isOutlier(health: UpstreamHealth, totals: Totals): boolean {
    const onProbation = health.ejections > 0 && steadyNow() - health.ejectedUntil < probationMs;
    if (health.failed < (onProbation ? minFailures / 2 : minFailures)) {
        return false;
    }
    return estimateFailureRate(health, totals)
        >= Math.max(minFailureRate, peerFactor * peerFailureRate(health, totals));
}

function eject(health: UpstreamHealth, failureRate: number): void {
    health.failureRate = failureRate;
    health.ejectedUntil = steadyNow() + Math.min(maxEjectionMs, baseEjectionMs * 2 ** health.ejections);
    health.ejections += 1;
    // Only requests after the ejection count towards the next one.
    health.served = 0;
    health.failed = 0;
}
