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
 * All processes may use their permits in one moment, so they hold together no more than come in this time, and two at
 * least.
 */
const heldSeconds = 1;
const leastHeld = 2;
/**
 * Permits last this long, or twice the time between two of them, with the bound, in milliseconds: few requests may come
 * to a process that holds one, and the others can't have it meanwhile.
 */
const shortestLifeMs = 2000;
const lifePerPermit = 2;
const longestLifeMs = 5000;
/** A word that a rate is over is remembered for this long, in milliseconds: an older one may still come. */
const rememberedMs = 60_000;
/** Processes that want a permit ask again within this time, in milliseconds. */
const longestDryMs = 2000;
/** They do so sooner where the leader doesn't know yet whether there is a rate, in milliseconds. */
const learningDryMs = 500;

type LimitedReport = RateReport & { readonly kind: "limited"; };

/** Permits that a process may still use. */
interface Holding {
    readonly permits: number;
    /** Steady time at which the last of them lapses. */
    readonly until: number;
}

interface Limit {
    readonly perSecond: number;
    /** What may be granted now. */
    readonly bucket: TokenBucket;
    /** By process. */
    readonly holdings: Map<string, Holding>;
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
 * never exceeds what was granted, whoever fails or answers late. A new leader counts as many permits as processes may
 * hold as granted by the one before.
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
            return this.answer(from, report);
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
        const limit = perSecond === undefined ? undefined : this.limitOf(perSecond, before?.limit);
        this.records.set(upstream, { limit, at });
        if (before?.limit?.perSecond !== perSecond) {
            const event = limit === undefined ? "upstream.unlimited" : "upstream.limited";
            this.log.info(event, { upstream, perSecond, before: before?.limit?.perSecond, from, ageMs });
        }
        this.onChange(upstream, limit !== undefined);
    }

    private answer(from: string, report: RateReport): RateGrant {
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
        return report.kind === "limited" ? grant(record.limit, from, report) : none;
    }

    /** Goes on with what was saved up before: a rate may change with each answer. */
    private limitOf(perSecond: number, before: Limit | undefined): Limit {
        const rate = usedRate(perSecond);
        const size = Math.max(1, rate * savedSeconds);
        // Permits of the leader before may still be held.
        const isNew = steadyNow() - this.since < longestLifeMs;
        const bucket = before?.bucket ?? new TokenBucket(rate, size, isNew ? -mostHeld(rate) : 0);
        bucket.resize(rate, size);
        return { perSecond, bucket, holdings: before?.holdings ?? new Map() };
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

function grant(limit: Limit, from: string, { upstream, wanted, held }: LimitedReport): RateGrant {
    const { bucket, holdings } = limit;
    const rate = usedRate(limit.perSecond);
    const lifeMs = Math.min(longestLifeMs, Math.max(shortestLifeMs, lifePerPermit * 1000 / rate));
    holdings.delete(from);
    const free = mostHeld(rate) - held - heldBy(holdings);
    const permits = Math.max(0, Math.min(wanted, Math.floor(bucket.level), Math.floor(free)));
    bucket.take(permits);
    holdings.set(from, { permits: held + permits, until: steadyNow() + lifeMs });
    const lacking = wanted > permits ? Math.max(0, 1 - bucket.level) : 0;
    return { upstream, lifted: false, permits, lifeMs, dryMs: Math.min(longestDryMs, lacking / rate * 1000) };
}

/** Permits that processes may still use; forgets those that have lapsed. */
function heldBy(holdings: Map<string, Holding>): number {
    const now = steadyNow();
    let sum = 0;
    for (const [process, { permits, until }] of holdings) {
        if (until <= now) {
            holdings.delete(process);
        }
        else {
            sum += permits;
        }
    }
    return sum;
}

function mostHeld(rate: number): number {
    return Math.max(leastHeld, rate * heldSeconds);
}

function usedRate(perSecond: number): number {
    return Math.max(perSecond, leastPerSecond);
}
