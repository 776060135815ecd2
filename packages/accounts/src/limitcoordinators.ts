/**
 * The leader's side of account limits that apply across all entries. While an account is far from its limit, entries
 * admit its requests and only count them. Once its bucket is half empty, entries admit only what the leader has
 * granted, and grants never exceed the content of the bucket. A limit is divided among entries by demand, as in B.
 * Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007.
 */
import { type EventLog, steadyNow, TokenBucket } from "@winchpath/core";
import { type AccountLimit, type ClientAccount } from "@winchpath/declarations";
import {
    type AccountCounts,
    type Allowance,
    grantLifetimeMs,
    type LimitTolerance,
    maxUnreportedUnits,
} from "./counts.js";
import { ShareCoordinator } from "./sharecoordinators.js";

/** Fill levels, as shares of the bucket size, below which admission requires grants, and above which it no longer does. */
export interface EnforcementThresholds {
    readonly enforceBelow: number;
    readonly releaseAbove: number;
}

const defaultThresholds: EnforcementThresholds = { enforceBelow: 0.5, releaseAbove: 0.8 };
/** Initial fill level of buckets at a new leader, which doesn't know the usage before it took over. */
const initialFillShare = 0.5;
/** A request larger than the bucket is admitted once the bucket is filled to this share. */
const oversizedRequestShare = 0.8;
/** Minimum size of a bucket in seconds of its rate, so that a limit without a burst can be used at all. */
const minBurstSeconds = 0.25;
/** Time within which a new leader learns from all entries which accounts the previous leader enforced. */
const learningPeriodMs = 1500;
/** Grants of an entry that hasn't reported for this long have expired. */
const entryTimeoutMs = grantLifetimeMs;
/** Half-life of the moving average of an entry's demand. */
const demandHalfLifeMs = 1000;
/** Grants cover the demand until the next report, at most half a second later. */
const grantHorizonSeconds = 0.5;
/**
 * Share of the fallback rate divided by demand; the rest is divided evenly, so that entries without demand so far get
 * some.
 */
const demandWeight = 0.9;
/**
 * Grants are capped at this multiple of the entry's share of the demand, so that the first to report doesn't get
 * everything.
 */
const maxGrantShares = 2;
/** Bounds of the time for which an entry is told that there will be no grants. */
const minRetryDelayMs = 50;
const maxRetryDelayMs = 2000;

/** Report of one entry. */
export interface EntryCounts {
    readonly entry: string;
    /** Identifies the process of the entry: totals restart with a new one. */
    readonly process: number;
    readonly counts: readonly AccountCounts[];
    /** Number of live entries, including this one. */
    readonly entries: number;
}

interface EntryDemand {
    process: number;
    used: number;
    asked: number;
    /** Requested units per second, as of `updatedAt`. */
    demandRate: number;
    updatedAt: number;
    credit: number;
}

/** Limit of one account. */
class AccountLimitState {
    public strict = false;
    private readonly bucket: TokenBucket;
    private readonly demands = new Map<string, EntryDemand>();

    public constructor(public limit: AccountLimit, private readonly thresholds: EnforcementThresholds) {
        this.bucket = new TokenBucket(limit.perSecond, bucketSize(limit), bucketSize(limit) * initialFillShare);
    }

    public setLimit(limit: AccountLimit): void {
        this.limit = limit;
        this.bucket.resize(limit.perSecond, bucketSize(limit));
    }

    /**
     * Adds the increase of an entry's totals. Totals of an entry first seen here are the baseline: the previous leader
     * may have counted them.
     */
    public recordCounts(entry: string, process: number, counts: AccountCounts): EntryDemand {
        const now = steadyNow();
        let demand = this.demands.get(entry);
        if (demand === undefined || demand.process !== process) {
            const base = demand === undefined ? counts : { used: 0, asked: 0 };
            demand = { process, used: base.used, asked: base.asked, demandRate: 0, updatedAt: now, credit: 0 };
            this.demands.set(entry, demand);
        }
        this.bucket.take(counts.used - demand.used);
        demand.demandRate = decayedRate(demand, now)
            + Math.max(0, counts.asked - demand.asked) * Math.LN2 / (demandHalfLifeMs / 1000);
        demand.used = counts.used;
        demand.asked = counts.asked;
        demand.credit = counts.credit;
        demand.updatedAt = now;
        return demand;
    }

    /** Starts enforcement with an empty bucket if an entry already enforced the limit under the previous leader. */
    public enforceFromEmpty(): void {
        if (!this.strict) {
            this.strict = true;
            this.bucket.take(Math.max(0, this.bucket.level));
        }
    }

    /** Updates by the fill level whether entries may only use grants; returns whether that changed. */
    public updateEnforcement(): boolean {
        const share = this.bucket.level / bucketSize(this.limit);
        const strict = share < (this.strict ? this.thresholds.releaseAbove : this.thresholds.enforceBelow);
        const changed = strict !== this.strict;
        this.strict = strict;
        return changed;
    }

    public get level(): number {
        return this.bucket.level;
    }

    /** The entry's share of the total demand. */
    public demandShare(demand: EntryDemand, entries: number): number {
        const now = steadyNow();
        let total = 0;
        for (const other of this.demands.values()) {
            total += decayedRate(other, now);
        }
        return total > 0 ? decayedRate(demand, now) / total : 1 / entries;
    }

    public grant(
        demand: EntryDemand,
        waiting: number,
        entries: number,
    ): { readonly grant: number; readonly dryMs: number; } {
        const available = this.ungrantedLevel();
        const need = Math.max(waiting, demand.demandRate * grantHorizonSeconds) - demand.credit;
        const required = Math.min(waiting, bucketSize(this.limit));
        const isAffordable = waiting > 0 && available >= required * oversizedRequestShare;
        const fairShare = available * Math.min(1, this.demandShare(demand, entries) * maxGrantShares);
        const grant = Math.max(0, Math.floor(Math.min(need, Math.max(fairShare, isAffordable ? waiting : 0))));
        demand.credit += grant;
        const missing = Math.max(waiting, 1) - Math.max(available - grant, -bucketSize(this.limit));
        const dryMs = grant > 0 || missing <= 0 ? 0 : missing / this.limit.perSecond * 1000;
        return { grant, dryMs: dryMs === 0 ? 0 : Math.min(maxRetryDelayMs, Math.max(minRetryDelayMs, dryMs)) };
    }

    /** Units in the bucket that aren't covered by outstanding grants. */
    private ungrantedLevel(): number {
        const now = steadyNow();
        let granted = 0;
        for (const demand of this.demands.values()) {
            granted += now - demand.updatedAt > entryTimeoutMs ? 0 : demand.credit;
        }
        return this.bucket.level - granted;
    }
}

export class AccountLimitCoordinator {
    /** Shares of the same accounts while capacity is short. */
    public readonly shares: ShareCoordinator;
    private readonly states = new Map<string, AccountLimitState>();
    private readonly startedAt = steadyNow();

    public constructor(
        private readonly tolerance: LimitTolerance,
        private readonly log: EventLog,
        private readonly thresholds = defaultThresholds,
    ) {
        this.shares = new ShareCoordinator(log);
    }

    /** Applies the accounts of the current configuration. */
    public setAccounts(accounts: readonly ClientAccount[]): void {
        this.shares.setAccounts(accounts);
        const limited = new Map(accounts.map(({ name, limit }) => [name, limit]));
        for (const name of this.states.keys()) {
            if (limited.get(name) === undefined) {
                this.states.delete(name);
            }
        }
        for (const [name, limit] of limited) {
            if (limit !== undefined) {
                this.setLimit(name, limit);
            }
        }
    }

    /** Processes the counts of an entry and returns its allowances. */
    public processCounts({ entry, process, counts, entries }: EntryCounts): Allowance[] {
        const isLearning = steadyNow() - this.startedAt < learningPeriodMs;
        const allowances: Allowance[] = [];
        for (const count of counts) {
            const state = this.states.get(count.account);
            if (state === undefined) {
                continue;
            }
            const demand = state.recordCounts(entry, process, count);
            if (isLearning && count.held) {
                state.enforceFromEmpty();
            }
            this.updateEnforcement(count.account, state);
            allowances.push(this.createAllowance(count, state, demand, entries));
        }
        return allowances;
    }

    private setLimit(name: string, limit: AccountLimit): void {
        const state = this.states.get(name);
        if (state === undefined) {
            this.states.set(name, new AccountLimitState(limit, this.thresholds));
        }
        else {
            state.setLimit(limit);
        }
    }

    private updateEnforcement(account: string, state: AccountLimitState): void {
        if (state.updateEnforcement()) {
            const { perSecond, burst, unit } = state.limit;
            this.log.info(state.strict ? "account.held" : "account.free", {
                account,
                level: Math.round(state.level),
                perSecond,
                burst,
                unit,
            });
        }
    }

    private createAllowance(
        count: AccountCounts,
        state: AccountLimitState,
        demand: EntryDemand,
        entries: number,
    ): Allowance {
        const { grant, dryMs } = state.strict
            ? state.grant(demand, count.waiting, entries)
            : { grant: 0, dryMs: 0 };
        return {
            account: count.account,
            strict: state.strict,
            grant,
            dryMs,
            fallbackPerSecond: state.limit.perSecond
                * (demandWeight * state.demandShare(demand, entries) + (1 - demandWeight) / entries),
            reportAfter: maxUnreportedUnits(state.limit, this.tolerance, entries),
        };
    }
}

function bucketSize({ perSecond, burst }: AccountLimit): number {
    return Math.max(burst, perSecond * minBurstSeconds);
}

function decayedRate({ demandRate, updatedAt }: EntryDemand, now: number): number {
    return demandRate * 2 ** (-(now - updatedAt) / demandHalfLifeMs);
}
