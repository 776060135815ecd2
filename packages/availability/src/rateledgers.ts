/** The leader's side of rates that upstreams have named: which there are, and who may send. */
import { type EventLog, steadyNow, TokenBucket } from "@winchpath/core";
import { type RateGrant, type RateReport } from "./ratelimits.js";

/** A bucket saves up what comes in this time, and at least one request. */
const savedSeconds = 0.25;
/** An upstream that takes less is sent a request this often all the same, to learn whether that is still so. */
const leastPerSecond = 0.25;
/** Within this time a new leader hears from processes that know of a rate, in milliseconds. */
const learnMs = 4000;
/**
 * Permits last this long, and longer in proportion to the time between two of them: all processes may use theirs in one
 * moment, so they must not pile up, yet few requests may come to a process. In milliseconds, with the bound.
 */
const shortestLifeMs = 1000;
const lifePerPermit = 2;
const longestLifeMs = 5000;
/** A word that a rate is over is remembered for this long, in milliseconds: an older one may still come. */
const rememberedMs = 60_000;
/** Processes that want a permit ask again within this time, in milliseconds. */
const longestDryMs = 2000;
/** They do so sooner where the leader doesn't know yet whether there is a rate, in milliseconds. */
const learningDryMs = 500;

type LimitedReport = RateReport & { readonly kind: "limited"; };

interface Limit {
    readonly perSecond: number;
    /** What may be granted now. */
    readonly bucket: TokenBucket;
}

/** The newest word on one upstream. */
interface RateRecord {
    /** Undefined where the rate is over. */
    readonly limit: Limit | undefined;
    /** Steady time at which it was named, or at which the request was sent whose answer named none. */
    readonly at: number;
}

/**
 * Each permit is taken out of its upstream's bucket as it is granted, and lost where it isn't used, so what is sent
 * never exceeds what was granted, whoever fails or answers late. A new leader begins with empty buckets.
 */
export class RateLedger {
    private readonly records = new Map<string, RateRecord>();
    private readonly since = steadyNow();

    /** `onChange` is told of each word whether an upstream has a rate. */
    public constructor(
        private readonly log: EventLog,
        private readonly onChange: (upstream: string, limited: boolean) => void,
    ) {}

    /** Takes in what a process tells, and answers each report. */
    public take(from: string, reports: readonly RateReport[]): RateGrant[] {
        this.forgetOld();
        return reports.map(report => {
            this.hear(from, report);
            return this.answer(report);
        });
    }

    private hear(from: string, report: RateReport): void {
        const perSecond = report.kind === "limited" ? report.perSecond : undefined;
        if (report.kind === "limited" && perSecond === undefined) {
            return;
        }
        const { upstream, ageMs } = report;
        const at = steadyNow() - ageMs;
        const before = this.records.get(upstream);
        if (before !== undefined && at <= before.at) {
            return;
        }
        const limit = perSecond === undefined ? undefined : limitOf(perSecond, before?.limit);
        this.records.set(upstream, { limit, at });
        if (before?.limit?.perSecond !== perSecond) {
            const event = limit === undefined ? "upstream.unlimited" : "upstream.limited";
            this.log.info(event, { upstream, perSecond, before: before?.limit?.perSecond, from, ageMs });
        }
        this.onChange(upstream, limit !== undefined);
    }

    private answer(report: RateReport): RateGrant {
        const { upstream } = report;
        const record = this.records.get(upstream);
        const none = { upstream, lifted: false, permits: 0, lifeMs: 0, dryMs: 0 };
        if (record === undefined) {
            // Others may know of a rate that nobody has told this leader of yet.
            const learning = steadyNow() - this.since < learnMs;
            return learning ? { ...none, dryMs: learningDryMs } : { ...none, lifted: true };
        }
        if (record.limit === undefined) {
            return { ...none, lifted: true };
        }
        return report.kind === "limited" ? grant(record.limit, report) : none;
    }

    private forgetOld(): void {
        const now = steadyNow();
        for (const [upstream, { limit, at }] of this.records) {
            if (limit === undefined && now - at > rememberedMs) {
                this.records.delete(upstream);
            }
        }
    }
}

/** Goes on with what was saved up before: a rate may change with each answer. */
function limitOf(perSecond: number, before: Limit | undefined): Limit {
    const rate = usedRate(perSecond);
    const size = Math.max(1, rate * savedSeconds);
    const bucket = before?.bucket ?? new TokenBucket(rate, size, 0);
    bucket.resize(rate, size);
    return { perSecond, bucket };
}

function grant({ bucket, perSecond }: Limit, { upstream, wanted }: LimitedReport): RateGrant {
    const permits = Math.max(0, Math.min(wanted, Math.floor(bucket.level)));
    bucket.take(permits);
    const lacking = wanted > permits ? Math.max(0, 1 - bucket.level) : 0;
    const periodMs = 1000 / usedRate(perSecond);
    const lifeMs = Math.min(longestLifeMs, shortestLifeMs + lifePerPermit * periodMs);
    return { upstream, lifted: false, permits, lifeMs, dryMs: Math.min(longestDryMs, lacking * periodMs) };
}

function usedRate(perSecond: number): number {
    return Math.max(perSecond, leastPerSecond);
}
