/**
 * An entry's side of fair shares between accounts. It orders waiting requests by the virtual work of their accounts, and
 * limits accounts that are over their share to the rate that the leader has calculated from the reports of all entries.
 * Without a leader the last rates hold until they expire, and the order is that of the entry's own counts.
 */
import { steadyNow, TokenBucket } from "@winchpath/core";
import { type ClientAccount } from "@winchpath/declarations";
import {
    noLevel,
    positionLifetimeMs,
    shareLifetimeMs,
    type ShareMeter,
    type SharePosition,
    type WorkCounts,
} from "./sharemessages.js";
import { defaultWeight, weightsOf } from "./shareweights.js";
import { VirtualClock, type WaitTicket } from "./virtualclocks.js";

/** Work that an account may send at once within its rate, in seconds of the rate; covers the interval between reports. */
const burstSeconds = 0.5;
/** Bounds of the delay after which a client whose account is over its share is told to retry, in milliseconds. */
const minRetryMs = 100;
const maxRetryMs = 2000;
/**
 * Minimum interval between early reports of lacking capacity, in milliseconds; regular ones follow every 500 ms. Short
 * enough that an account is limited before the requests of others have waited for a usual objective.
 */
const earlyReportIntervalMs = 100;

/** The attributes of a request that matter for shares. */
export interface ShareRequest {
    readonly service: string;
    readonly account: string;
    /** In prompt tokens, or 1 for a plain service. */
    readonly work: number;
    /** 0 is the most urgent. */
    readonly priority: number;
}

/** State of an account at a service, for operators. */
export interface ShareStatus {
    readonly service: string;
    readonly account: string;
    readonly weight: number;
    /** Requests that are waiting for capacity here, and their work. */
    readonly waiting: number;
    readonly backlog: number;
    readonly overShare: boolean;
    /** Work per second that this entry may send for the account; 0 if it is not over its share. */
    readonly workPerSecond: number;
}

class AccountUsage {
    public served = 0;
    public asked = 0;
    public waiting = 0;
    public backlog = 0;
    /** Priorities of the waiting requests that lack capacity. */
    public readonly lacking = new Map<WaitTicket, number>();
    /** Limits the account while it is over its share. */
    public bucket: TokenBucket | undefined;
    public rate = 0;
    public heldFromLevel = 0;
    public positionAt = Number.NEGATIVE_INFINITY;
    public lastPosition: { readonly virtualWork: number; readonly served: number; } | undefined;
    private reported: WorkCounts | undefined;
    /** Number of the last refusal by priority, kept until a report that includes it has succeeded. */
    private readonly refusals = new Map<number, number>();
    private refusalCount = 0;
    /** Number of the last refusal that each report includes. */
    private readonly included = new WeakMap<WorkCounts, number>();
    /** Work to subtract from later requests, since totals that decrease would mean a new process. */
    private returned = 0;

    public addServed(work: number): void {
        const subtracted = Math.min(this.returned, work);
        this.returned -= subtracted;
        this.served += work - subtracted;
    }

    public addReturned(work: number): void {
        this.returned += work;
    }

    public addRefusal(priority: number): void {
        this.refusalCount += 1;
        this.refusals.set(priority, this.refusalCount);
    }

    /** Undefined if the counts have been reported, unless `isComplete` is set. */
    public countsFor(service: string, account: string, isComplete: boolean): WorkCounts | undefined {
        const { served, asked, waiting, backlog, level, reported } = this;
        // The leader lets a lack of capacity expire, so the absence of one needs no report of its own.
        const isLevelReported = this.refusals.size === 0 && (level === noLevel || level === reported?.level);
        const isReported = !isComplete && reported?.served === served && reported.asked === asked
            && reported.waiting === waiting && isLevelReported;
        if (isReported) {
            return undefined;
        }
        const counts = { service, account, served, asked, waiting, backlog, level };
        this.included.set(counts, this.refusalCount);
        return counts;
    }

    /** Records that a report succeeded; refusals since it was created are left for the next one. */
    public markReported(counts: WorkCounts): void {
        this.reported = counts;
        const included = this.included.get(counts) ?? 0;
        for (const [priority, last] of this.refusals) {
            if (last <= included) {
                this.refusals.delete(priority);
            }
        }
    }

    private get level(): number {
        return Math.min(noLevel, ...this.lacking.values(), ...this.refusals.keys());
    }

    public get isPositionFresh(): boolean {
        return steadyNow() - this.positionAt < positionLifetimeMs;
    }
}

class ServiceShares {
    public readonly usage = new Map<string, AccountUsage>();
    public readonly clock: VirtualClock;
    private lastWaitAt = Number.NEGATIVE_INFINITY;

    public constructor(weightOf: (account: string) => number) {
        this.clock = new VirtualClock(weightOf);
    }

    public usageOf(account: string): AccountUsage {
        let usage = this.usage.get(account);
        if (usage === undefined) {
            usage = new AccountUsage();
            this.usage.set(account, usage);
        }
        return usage;
    }

    /** Starts a new period of contention if no request has waited for long. */
    public recordWait(): void {
        const now = steadyNow();
        if (this.clock.waitingCount === 0 && now - this.lastWaitAt > shareLifetimeMs) {
            this.clock.reset();
        }
        this.lastWaitAt = now;
    }
}

export class AccountShares implements ShareMeter {
    private readonly services = new Map<string, ServiceShares>();
    private weights: ReadonlyMap<string, number> = new Map();
    private accounts: readonly ClientAccount[] | undefined;
    private earlyReportAt = Number.NEGATIVE_INFINITY;

    /** `requestReport` is called when the leader should be told at once that capacity is lacking. */
    public constructor(private readonly requestReport: () => void) {}

    /** Applies the accounts of the current configuration. */
    public setAccounts(accounts: readonly ClientAccount[] | undefined): void {
        if (accounts === this.accounts) {
            return;
        }
        this.accounts = accounts;
        this.weights = weightsOf(accounts ?? []);
        for (const { usage, clock } of this.services.values()) {
            for (const account of [...usage.keys()].filter(name => !this.weights.has(name))) {
                usage.delete(account);
                clock.remove(account);
            }
        }
    }

    /** Discards all state when shares are no longer active. */
    public clear(): void {
        this.services.clear();
    }

    /** Records the demand of a request that competes for capacity. */
    public asked({ service, account, work }: ShareRequest): void {
        const usage = this.usageOf(service, account);
        if (usage !== undefined) {
            usage.asked += work;
        }
    }

    /**
     * Records that a request waits for capacity; `lacksCapacity`: because upstreams are full, not to keep a share; `tag`:
     * place of a request that was assigned before and was not sent.
     */
    public enter(
        { service, account, work, priority }: ShareRequest,
        lacksCapacity: boolean,
        tag?: number,
    ): WaitTicket {
        const shares = this.serviceOf(service);
        shares.recordWait();
        const ticket = shares.clock.enter(account, work, tag);
        const usage = this.usageOf(service, account);
        if (usage === undefined) {
            return ticket;
        }
        usage.waiting += 1;
        usage.backlog += work;
        if (lacksCapacity) {
            usage.lacking.set(ticket, priority);
            this.reportLack(usage);
        }
        return ticket;
    }

    /** Records that a waiting request is sent or no longer waits. */
    public leave({ service, account, work }: ShareRequest, ticket: WaitTicket): void {
        const shares = this.services.get(service);
        shares?.clock.leave(ticket);
        const usage = shares?.usage.get(account);
        if (usage === undefined) {
            return;
        }
        usage.lacking.delete(ticket);
        usage.waiting = Math.max(0, usage.waiting - 1);
        usage.backlog = usage.waiting === 0 ? 0 : Math.max(0, usage.backlog - work);
    }

    /** Records that a request is sent to an upstream. */
    public served({ service, account, work }: ShareRequest, ticket: WaitTicket | undefined): void {
        const shares = this.serviceOf(service);
        const usage = this.usageOf(service, account);
        if (usage === undefined) {
            if (ticket !== undefined) {
                shares.clock.leave(ticket);
            }
            return;
        }
        usage.addServed(work);
        usage.bucket?.take(work);
        shares.clock.serve(account, work, ticket);
    }

    /**
     * Takes back the work of a request that the upstream did not execute. Returns the virtual work at which the account
     * then continues, undefined if the account isn't configured.
     */
    public returned({ service, account, work }: ShareRequest): number | undefined {
        const shares = this.services.get(service);
        const usage = shares?.usage.get(account);
        if (shares === undefined || usage === undefined) {
            return undefined;
        }
        usage.addReturned(work);
        usage.bucket?.take(-work);
        shares.clock.advance(account, -work / this.weightOf(account));
        return shares.clock.positionOf(account);
    }

    /** Records that a request was rejected because all upstreams were full. */
    public refused({ service, account, priority }: ShareRequest): void {
        const usage = this.usageOf(service, account);
        if (usage !== undefined) {
            usage.addRefusal(priority);
            this.reportLack(usage);
        }
    }

    /** Virtual work at which a request of the account would start to wait. */
    public nextTag(service: string, account: string): number {
        return this.serviceOf(service).clock.nextTag(account);
    }

    /** Whether the account asks for more than its share while others lack capacity, as far as the leader knows. */
    public isOverShare(account: string, service: string): boolean {
        const usage = this.services.get(service)?.usage.get(account);
        return usage?.bucket !== undefined && usage.isPositionFresh;
    }

    /** Whether the account has used its share and others lack capacity, so that the request may use spare capacity only. */
    public isHeld({ service, account, priority }: ShareRequest): boolean {
        const usage = this.services.get(service)?.usage.get(account);
        return usage?.bucket !== undefined && usage.isPositionFresh && priority >= usage.heldFromLevel
            && usage.bucket.level <= 0;
    }

    /** Milliseconds until the account may send again. */
    public retryAfterMs({ service, account }: ShareRequest): number {
        const usage = this.services.get(service)?.usage.get(account);
        const overdrawn = -(usage?.bucket?.level ?? 0);
        const ms = usage === undefined || usage.rate <= 0 ? maxRetryMs : overdrawn / usage.rate * 1000;
        return Math.min(maxRetryMs, Math.max(minRetryMs, ms));
    }

    public statuses(): ShareStatus[] {
        return [...this.services].flatMap(([service, { usage }]) =>
            [...usage].map(([account, { waiting, backlog, rate }]): ShareStatus => {
                const overShare = this.isOverShare(account, service);
                const weight = this.weightOf(account);
                return { service, account, weight, waiting, backlog, overShare, workPerSecond: overShare ? rate : 0 };
            })
        );
    }

    public workCounts(isComplete: boolean): WorkCounts[] {
        return [...this.services].flatMap(([service, { usage }]) =>
            [...usage].map(([account, one]) => one.countsFor(service, account, isComplete))
                .filter(counts => counts !== undefined)
        );
    }

    public applyPositions(counts: readonly WorkCounts[], positions: readonly SharePosition[]): void {
        const reported = new Map(counts.map(one => [keyOf(one), one]));
        counts.forEach(one => this.services.get(one.service)?.usage.get(one.account)?.markReported(one));
        for (const position of positions) {
            const shares = this.services.get(position.service);
            const usage = shares?.usage.get(position.account);
            if (shares !== undefined && usage !== undefined) {
                this.applyRate(usage, position);
                const served = reported.get(keyOf(position))?.served ?? usage.lastPosition?.served ?? 0;
                this.applyVirtualWork(shares, usage, position, served);
            }
        }
    }

    private applyRate(usage: AccountUsage, { overShare, workPerSecond, heldFromLevel }: SharePosition): void {
        usage.positionAt = steadyNow();
        usage.heldFromLevel = heldFromLevel;
        usage.rate = workPerSecond;
        if (!overShare) {
            usage.bucket = undefined;
        }
        else if (usage.bucket === undefined) {
            // Empty at first, since the account has just sent more than its share.
            usage.bucket = new TokenBucket(workPerSecond, workPerSecond * burstSeconds, 0);
        }
        else {
            usage.bucket.resize(workPerSecond, workPerSecond * burstSeconds);
        }
    }

    /** Adds what other entries have served since the last position; a decrease means that there is a new leader. */
    private applyVirtualWork(
        { clock }: ServiceShares,
        usage: AccountUsage,
        { account, virtualWork }: SharePosition,
        served: number,
    ): void {
        const last = usage.lastPosition;
        usage.lastPosition = { virtualWork, served };
        if (last === undefined || virtualWork < last.virtualWork) {
            return;
        }
        const own = (served - last.served) / this.weightOf(account);
        clock.advance(account, Math.max(0, virtualWork - last.virtualWork - own));
    }

    private reportLack(usage: AccountUsage): void {
        const now = steadyNow();
        const isLimited = usage.bucket !== undefined && usage.isPositionFresh;
        if (!isLimited && now - this.earlyReportAt >= earlyReportIntervalMs) {
            this.earlyReportAt = now;
            this.requestReport();
        }
    }

    /** Undefined if the account isn't configured: its last requests may end after it was removed. */
    private usageOf(service: string, account: string): AccountUsage | undefined {
        return this.weights.has(account) ? this.serviceOf(service).usageOf(account) : undefined;
    }

    private serviceOf(service: string): ServiceShares {
        let shares = this.services.get(service);
        if (shares === undefined) {
            shares = new ServiceShares(account => this.weightOf(account));
            this.services.set(service, shares);
        }
        return shares;
    }

    private weightOf(account: string): number {
        return this.weights.get(account) ?? defaultWeight;
    }
}

function keyOf({ service, account }: { readonly service: string; readonly account: string; }): string {
    return JSON.stringify([service, account]);
}
