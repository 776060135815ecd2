/** Rate limits that upstreams have announced, and the permits of this process to send within them. */
import { steadyNow } from "@winchpath/core";

/** Assumed time until a permit is available, before the leader has given one. */
const defaultPermitDelayMs = 100;
/**
 * Share of the permits used since the last report that is requested ahead, so that steady traffic needn't wait for
 * permits.
 */
const prefetchShare = 0.5;
/** The oldest entries are evicted beyond this. */
const maxUpstreams = 4096;

/** What a process reports to the leader about the rate limit of an upstream. */
export type RateReport =
    | {
        readonly kind: "limited";
        readonly upstream: string;
        /** Requests per second; undefined if this process knows of the limit only from the leader. */
        readonly perSecond: number | undefined;
        /** Age of the information in milliseconds. */
        readonly ageMs: number;
        /** Number of permits requested. */
        readonly wanted: number;
        /** Number of unused permits from earlier grants. */
        readonly held: number;
    }
    | {
        readonly kind: "lifted";
        readonly upstream: string;
        /** Time since the request was sent whose answer had no limit, in milliseconds. */
        readonly ageMs: number;
    };

/** The leader's response to a report. */
export interface RateGrant {
    readonly upstream: string;
    /** Whether the upstream has no limit as far as the leader knows. */
    readonly lifted: boolean;
    /** Number of permits granted. */
    readonly permits: number;
    /** Validity of the permits in milliseconds, counted from the creation of the report. */
    readonly lifeMs: number;
    /** No further permits are granted for this many milliseconds. */
    readonly dryMs: number;
}

/** Whether the rate limit of an upstream lets a request through. */
export type PermitDecision = "unlimited" | "permitted" | "refused";

/** A limit that the upstream itself has announced to this process. */
interface AnnouncedRate {
    readonly perSecond: number;
    /** Monotonic time from which the rate is known to apply. */
    readonly at: number;
}

/** Permits of one grant. */
interface PermitBatch {
    permits: number;
    /** Monotonic time of expiry. */
    readonly until: number;
}

class LimitedUpstream {
    public announced: AnnouncedRate | undefined;
    /** Epoch of the leader that the limit was last reported to. */
    public reportedTo = "";
    /** Sorted by expiry, earliest first. */
    private batches: PermitBatch[] = [];
    private noPermitsUntil = 0;
    /** Permits used since the last report. */
    public used = 0;
    /** Requests since the last report that would have been sent to this upstream. */
    private readonly waitingRequests = new Set<string>();

    /** `since`: monotonic time at which this process learned of the limit. */
    public constructor(private readonly since: number) {}

    /** Monotonic time of the latest information that the limit applies. */
    public get updatedAt(): number {
        return this.announced?.at ?? this.since;
    }

    public get available(): number {
        this.dropExpired();
        return this.batches.reduce((sum, { permits }) => sum + permits, 0);
    }

    public get isExhausted(): boolean {
        return steadyNow() < this.noPermitsUntil;
    }

    /** Monotonic time at which a permit may become available. */
    public get nextPermitAt(): number {
        return Math.max(this.noPermitsUntil, steadyNow() + defaultPermitDelayMs);
    }

    /** Number of permits to request. */
    public get permitsNeeded(): number {
        const prefetch = Math.floor(this.used * prefetchShare);
        return this.isExhausted ? 0 : Math.max(0, this.waitingRequests.size + prefetch - this.available);
    }

    public addWaiting(request: string): void {
        this.waitingRequests.add(request);
    }

    /** Uses a permit; returns false if there is none. */
    public usePermit(): boolean {
        this.dropExpired();
        if (this.batches.length === 0) {
            return false;
        }
        this.batches[0].permits -= 1;
        this.batches = this.batches.filter(({ permits }) => permits > 0);
        this.used += 1;
        return true;
    }

    /** Resets the counters after they were reported. */
    public markReported(): void {
        this.waitingRequests.clear();
        this.used = 0;
    }

    public applyGrant({ permits, lifeMs, dryMs }: RateGrant, askedAt: number): void {
        if (permits > 0) {
            this.batches.push({ permits, until: askedAt + lifeMs });
            this.batches.sort((a, b) => a.until - b.until);
        }
        this.noPermitsUntil = steadyNow() + dryMs;
    }

    private dropExpired(): void {
        while (this.batches.length > 0 && steadyNow() >= this.batches[0].until) {
            this.batches.shift();
        }
    }
}

/**
 * A rate limit applies to all processes together, so each request needs a permit from the leader; without a leader no
 * request is sent to a limited upstream. Limits are learned from answers of the upstream and from the leader. A limit
 * is lifted once a request that was sent after the latest information on it gets an answer without a limit.
 */
export class RateLimits {
    private readonly limited = new Map<string, LimitedUpstream>();
    /** Monotonic send time of the request that showed a limit to be lifted; kept until a leader has been told. */
    private readonly lifted = new Map<string, number>();
    private requestReport: () => void = () => undefined;
    private onPermits: () => void = () => undefined;

    /**
     * `requestReport` is called when the leader should be contacted soon, `onPermits` when blocked requests may
     * proceed.
     */
    public setCallbacks(requestReport: () => void, onPermits: () => void): void {
        this.requestReport = requestReport;
        this.onPermits = onPermits;
    }

    /**
     * Records a rate in requests per second from the answer to a request sent at `sentAt` (monotonic); returns the rate
     * that was known before.
     */
    public recordRate(upstream: string, perSecond: number, sentAt: number): number | undefined {
        const state = this.limited.get(upstream) ?? this.addUpstream(upstream);
        const previous = state.announced;
        if (previous === undefined || perSecond <= previous.perSecond) {
            state.announced = { perSecond, at: steadyNow() };
        }
        else if (sentAt >= previous.at) {
            // An answer to a request sent before the lower rate was known may be outdated.
            state.announced = { perSecond, at: sentAt };
        }
        if (previous === undefined || perSecond < previous.perSecond) {
            state.reportedTo = "";
            this.requestReport();
        }
        return previous?.perSecond;
    }

    /** Records that the leader knows of a limit. */
    public recordKnownLimit(upstream: string): void {
        // A limit that this process has found to be lifted stays lifted until the leader has been told.
        if (!this.limited.has(upstream) && !this.lifted.has(upstream)) {
            this.addUpstream(upstream);
        }
    }

    /** Records an answer without a limit to a request sent at `sentAt`; returns whether that lifted one. */
    public recordUnlimitedAnswer(upstream: string, sentAt: number): boolean {
        const state = this.limited.get(upstream);
        if (state === undefined || sentAt < state.updatedAt) {
            return false;
        }
        this.limited.delete(upstream);
        this.lifted.set(upstream, sentAt);
        this.requestReport();
        return true;
    }

    /** Monotonic time at which a request may be sent; undefined if one may be sent now. */
    public blockedUntil(upstream: string): number | undefined {
        const state = this.limited.get(upstream);
        return state === undefined || state.available > 0 ? undefined : state.nextPermitAt;
    }

    /** Records that a request is waiting for a permit. */
    public addWaiting(upstream: string, request: string): void {
        const state = this.limited.get(upstream);
        state?.addWaiting(request);
        if (state?.isExhausted === false) {
            this.requestReport();
        }
    }

    /** Takes a permit for a request that is about to be sent, if one is needed. */
    public acquirePermit(upstream: string): PermitDecision {
        const state = this.limited.get(upstream);
        if (state === undefined) {
            return "unlimited";
        }
        return state.usePermit() ? "permitted" : "refused";
    }

    /** Whether there is something to report to the leader of this epoch. */
    public hasReports(epoch: string): boolean {
        return this.lifted.size > 0 || [...this.limited.values()].some(state => needsReport(state, epoch));
    }

    /** Creates the reports for the leader of this epoch, and resets the counters that they contain. */
    public createReports(epoch: string): RateReport[] {
        const now = steadyNow();
        const reports: RateReport[] = [];
        for (const [upstream, sentAt] of this.lifted) {
            reports.push({ kind: "lifted", upstream, ageMs: now - sentAt });
        }
        for (const [upstream, state] of this.limited) {
            if (needsReport(state, epoch)) {
                reports.push({
                    kind: "limited",
                    upstream,
                    perSecond: state.announced?.perSecond,
                    ageMs: now - state.updatedAt,
                    wanted: state.permitsNeeded,
                    held: state.available,
                });
                state.markReported();
            }
        }
        return reports;
    }

    /** Applies the leader's response to reports that were created at `askedAt` (monotonic). */
    public applyGrants(
        reports: readonly RateReport[],
        grants: readonly RateGrant[],
        { epoch, askedAt }: { readonly epoch: string; readonly askedAt: number; },
    ): void {
        for (const { kind, upstream } of reports) {
            const state = this.limited.get(upstream);
            if (kind === "lifted") {
                this.lifted.delete(upstream);
            }
            else if (state !== undefined) {
                state.reportedTo = epoch;
            }
        }
        grants.forEach(grant => this.applyGrant(grant, askedAt));
        if (grants.some(({ permits, lifted }) => permits > 0 || lifted)) {
            this.onPermits();
        }
    }

    private applyGrant(grant: RateGrant, askedAt: number): void {
        const state = this.limited.get(grant.upstream);
        if (!grant.lifted) {
            this.recordKnownLimit(grant.upstream);
            this.limited.get(grant.upstream)?.applyGrant(grant, askedAt);
        }
        else if (state !== undefined && state.updatedAt <= askedAt) {
            this.limited.delete(grant.upstream);
        }
    }

    private addUpstream(upstream: string): LimitedUpstream {
        const state = new LimitedUpstream(steadyNow());
        this.limited.set(upstream, state);
        this.lifted.delete(upstream);
        if (this.limited.size > maxUpstreams) {
            const [first] = this.limited.keys();
            this.limited.delete(first);
        }
        return state;
    }
}

/**
 * Whether there are permits to request, used permits to report, or a limit that the leader of this epoch doesn't know.
 */
function needsReport(state: LimitedUpstream, epoch: string): boolean {
    return state.permitsNeeded > 0 || state.used > 0 || (state.announced !== undefined && state.reportedTo !== epoch);
}
