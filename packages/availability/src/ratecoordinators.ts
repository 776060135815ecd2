/** The leader's side of rate limits that upstreams announce: tracks the limits and grants permits to processes. */
import { type EventLog, steadyNow, TokenBucket } from "@winchpath/core";
import { type RateGrant, type RateReport } from "./ratelimits.js";

/** Burst size of a bucket, in seconds of its rate; at least one request. */
const bucketSeconds = 0.25;
/** A limit below this is treated as this rate, so that occasional requests find out whether it still applies. */
const minPerSecond = 0.25;
/** Time within which a new leader learns of all limits that processes know. */
const learningPeriodMs = 4000;
/**
 * All processes may use their permits at the same moment, so the permits they hold together are limited to this many
 * seconds of the rate, and to two at least.
 */
const outstandingSeconds = 1;
const minOutstandingPermits = 2;
/**
 * Permits are valid for twice the interval between two of them, within these bounds: a process that gets few requests
 * must not keep permits from the others for long.
 */
const minPermitLifetimeMs = 2000;
const lifetimeInPermitIntervals = 2;
const maxPermitLifetimeMs = 5000;
/** How long a lifted limit is remembered, so that older reports of the limit that arrive late are ignored. */
const liftedRetentionMs = 60_000;
/** Upper bound of the delay after which processes may ask for permits again. */
const maxRetryDelayMs = 2000;
/** Used instead while the leader doesn't know yet whether there is a limit. */
const learningRetryDelayMs = 500;

type LimitReport = RateReport & { readonly kind: "limited"; };

/** Unexpired permits of one process. */
interface OutstandingPermits {
    readonly permits: number;
    /** Monotonic time at which the last of them expires. */
    readonly until: number;
}

interface Limit {
    readonly perSecond: number;
    /** Permits that may be granted now. */
    readonly bucket: TokenBucket;
    /** By process. */
    readonly outstanding: Map<string, OutstandingPermits>;
}

/** Latest known state of one upstream. */
interface RateRecord {
    /** Undefined if the limit was lifted. */
    readonly limit: Limit | undefined;
    /** Monotonic time at which the limit was announced, or at which the request was sent whose answer had no limit. */
    readonly at: number;
}

/**
 * A permit is taken out of the upstream's bucket when it is granted and is lost if it isn't used, so requests never
 * exceed grants, even if processes fail or messages are late. A new leader assumes that the previous one had granted
 * the maximum.
 */
export class RateLimitCoordinator {
    private readonly records = new Map<string, RateRecord>();
    private readonly startedAt = steadyNow();

    /** `onChange` is called for each new report of whether an upstream is limited. */
    public constructor(
        private readonly log: EventLog,
        private readonly onChange: (upstream: string, limited: boolean) => void,
    ) {}

    /** Processes the reports of one process and returns a grant for each. */
    public processReports(from: string, reports: readonly RateReport[]): RateGrant[] {
        this.removeExpired();
        return reports.map(report => {
            this.recordReport(from, report);
            return this.grantFor(from, report);
        });
    }

    private recordReport(from: string, report: RateReport): void {
        const perSecond = report.kind === "limited" ? report.perSecond : undefined;
        if (report.kind === "limited" && perSecond === undefined) {
            return;
        }
        const { upstream, ageMs } = report;
        const at = steadyNow() - ageMs;
        const previous = this.records.get(upstream);
        if (previous !== undefined && at <= previous.at) {
            return;
        }
        const limit = perSecond === undefined ? undefined : this.createLimit(perSecond, previous?.limit);
        this.records.set(upstream, { limit, at });
        if (previous?.limit?.perSecond !== perSecond) {
            const event = limit === undefined ? "upstream.unlimited" : "upstream.limited";
            this.log.info(event, { upstream, perSecond, before: previous?.limit?.perSecond, from, ageMs });
        }
        this.onChange(upstream, limit !== undefined);
    }

    private grantFor(from: string, report: RateReport): RateGrant {
        const { upstream } = report;
        const record = this.records.get(upstream);
        const none = { upstream, lifted: false, permits: 0, lifeMs: 0, dryMs: 0 };
        if (record === undefined) {
            // Other processes may know of a limit that this leader hasn't heard of yet.
            const isLearning = steadyNow() - this.startedAt < learningPeriodMs;
            return isLearning ? { ...none, dryMs: learningRetryDelayMs } : { ...none, lifted: true };
        }
        if (record.limit === undefined) {
            return { ...none, lifted: true };
        }
        return report.kind === "limited" ? grantPermits(record.limit, from, report) : none;
    }

    /** Keeps the bucket of the previous limit: an upstream may announce a new rate with every answer. */
    private createLimit(perSecond: number, previous: Limit | undefined): Limit {
        const rate = effectiveRate(perSecond);
        const size = Math.max(1, rate * bucketSeconds);
        // Permits granted by the previous leader may still be in use.
        const isNew = steadyNow() - this.startedAt < maxPermitLifetimeMs;
        const bucket = previous?.bucket ?? new TokenBucket(rate, size, isNew ? -maxOutstandingPermits(rate) : 0);
        bucket.resize(rate, size);
        return { perSecond, bucket, outstanding: previous?.outstanding ?? new Map() };
    }

    private removeExpired(): void {
        const now = steadyNow();
        for (const [upstream, { limit, at }] of this.records) {
            if (limit === undefined && now - at > liftedRetentionMs) {
                this.records.delete(upstream);
            }
        }
    }
}

function grantPermits(limit: Limit, from: string, { upstream, wanted, held }: LimitReport): RateGrant {
    const { bucket, outstanding } = limit;
    const rate = effectiveRate(limit.perSecond);
    const lifeMs = Math.min(
        maxPermitLifetimeMs,
        Math.max(minPermitLifetimeMs, lifetimeInPermitIntervals * 1000 / rate),
    );
    outstanding.delete(from);
    const available = maxOutstandingPermits(rate) - held - countOutstanding(outstanding);
    const permits = Math.max(0, Math.min(wanted, Math.floor(bucket.level), Math.floor(available)));
    bucket.take(permits);
    outstanding.set(from, { permits: held + permits, until: steadyNow() + lifeMs });
    const missing = wanted > permits ? Math.max(0, 1 - bucket.level) : 0;
    return { upstream, lifted: false, permits, lifeMs, dryMs: Math.min(maxRetryDelayMs, missing / rate * 1000) };
}

/** Counts unexpired permits and removes expired ones. */
function countOutstanding(outstanding: Map<string, OutstandingPermits>): number {
    const now = steadyNow();
    let sum = 0;
    for (const [process, { permits, until }] of outstanding) {
        if (until <= now) {
            outstanding.delete(process);
        }
        else {
            sum += permits;
        }
    }
    return sum;
}

function maxOutstandingPermits(rate: number): number {
    return Math.max(minOutstandingPermits, rate * outstandingSeconds);
}

function effectiveRate(perSecond: number): number {
    return Math.max(perSecond, minPerSecond);
}
