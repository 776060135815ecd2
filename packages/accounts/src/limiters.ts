/**
 * An entry's side of account limits that apply across all entries. While an account is far from its limit, its requests
 * are admitted at once and counted. Near the limit they are admitted within the leader's grants, and wait briefly for a
 * grant unless the leader has said that there will be none.
 */
import { Deferred, startFairTimer, steadyNow } from "@winchpath/core";
import { type AccountLimit, type ClientAccount } from "@winchpath/declarations";
import {
    type AccountCounts,
    type Allowance,
    grantLifetimeMs,
    type LimitTolerance,
    maxUnreportedUnits,
    unitsOf,
} from "./counts.js";

/** How long a request waits for a grant: a report, its answer and the minimum interval between two reports. */
const grantTimeoutMs = 150;
/**
 * Time after which a leader that doesn't answer counts as unresponsive, plus a term per entry, since entries report
 * less often when there are many. Requests may be admitted without a bound until then, so higher values exceed the
 * tolerance when a leader is lost: with 600 ms, an account that began to send 3.5 times its limit at that moment
 * exceeded the tolerance by a quarter.
 */
const leaderTimeoutMs = 250;
const leaderTimeoutPerEntryMs = 3;
/** Burst size of the fallback rate, in seconds. */
const fallbackSeconds = 1;
/** Minimum retry delay told to clients that are over their limit. */
const minRetryAfterMs = 300;

/** Units that a request has consumed. */
export interface Charge {
    /** Refunds the units of a request that didn't run. */
    refund(): void;
}

/** Whether a request is within the limit of its account. */
export type Admission =
    | { readonly kind: "admitted"; readonly charge: Charge; }
    | {
        readonly kind: "over";
        readonly retryAfterMs: number;
        /** For the log: units of the request, units left at this entry, and the limit. */
        readonly units: number;
        readonly credit: number;
        readonly limit: AccountLimit;
    };

interface PendingRequest {
    readonly units: number;
    readonly done: Deferred<boolean>;
}

/** Charge of a request without a limit. */
export const noCharge: Charge = { refund: () => undefined };

class AccountState {
    public used = 0;
    public asked = 0;
    public strict = false;
    public reportAfter: number;
    public pending: PendingRequest[] = [];
    private reportedUsed = 0;
    private reportedAsked = 0;
    private credit = 0;
    private noGrantsUntil = Number.NEGATIVE_INFINITY;
    private fallbackPerSecond: number;
    /** Monotonic time up to which fallback units were added; undefined while the leader responds. */
    private refilledAt: number | undefined;
    private allowanceAt = Number.NEGATIVE_INFINITY;
    /** Whether the limit is enforced because the leader doesn't respond. */
    private enforcesFallback = false;
    /** Monotonic time since which the leader owes an answer. */
    private unansweredSince: number | undefined;

    public constructor(public limit: AccountLimit, tolerance: LimitTolerance, private readonly entries: number) {
        this.fallbackPerSecond = limit.perSecond / entries;
        this.reportAfter = maxUnreportedUnits(limit, tolerance, entries);
    }

    public setLimit(limit: AccountLimit): void {
        if (limit.perSecond < this.limit.perSecond || limit.burst < this.limit.burst) {
            // The old grants are too high: wait for new ones from the leader.
            this.strict = true;
            this.credit = 0;
            this.reportAfter *= limit.perSecond / this.limit.perSecond;
            this.fallbackPerSecond *= limit.perSecond / this.limit.perSecond;
        }
        else if (limit.perSecond > this.limit.perSecond) {
            this.strict = false;
        }
        this.limit = limit;
    }

    public recordDemand(units: number): void {
        this.asked += units;
        if (this.strict || this.enforcesFallback) {
            this.unansweredSince ??= steadyNow();
        }
    }

    /** Whether requests are admitted only within grants, or within the fallback rate. */
    public get isEnforced(): boolean {
        // Stays set until the leader answers.
        this.enforcesFallback ||= this.unresponsiveSince !== undefined && this.unreported > this.reportAfter;
        return this.strict || this.enforcesFallback;
    }

    public get unreported(): number {
        return this.used - this.reportedUsed;
    }

    public get isExhausted(): boolean {
        return steadyNow() < this.noGrantsUntil;
    }

    public get retryAfterMs(): number {
        return Math.max(minRetryAfterMs, this.noGrantsUntil - steadyNow());
    }

    /** Units that may be admitted now. */
    public get available(): number {
        const now = steadyNow();
        const { unresponsiveSince } = this;
        if (unresponsiveSince !== undefined) {
            // Under enforcement nothing was admitted beyond grants since the last answer, so that time adds units.
            // Without it, an unknown amount was admitted, so only the time since the leader became unresponsive does.
            const from = this.refilledAt ?? (this.strict ? this.allowanceAt : unresponsiveSince);
            const seconds = Math.min(fallbackSeconds, (now - from) / 1000);
            const maxCredit = Math.max(this.credit, this.fallbackPerSecond * fallbackSeconds);
            this.credit = Math.min(maxCredit, this.credit + this.fallbackPerSecond * seconds);
            this.refilledAt = now;
        }
        else if (now - this.allowanceAt > grantLifetimeMs) {
            this.credit = 0;
        }
        return this.credit;
    }

    public charge(units: number, isEnforced: boolean): void {
        this.used += units;
        if (isEnforced) {
            this.credit -= units;
        }
        if (this.unreported > this.reportAfter) {
            this.unansweredSince ??= steadyNow();
        }
    }

    public refund(units: number, isEnforced: boolean): void {
        this.used -= units;
        if (isEnforced) {
            this.credit += units;
        }
    }

    /** Counts to report; undefined if the leader knows them already. */
    public counts(account: string): AccountCounts | undefined {
        const { used, asked } = this;
        if (used === this.reportedUsed && asked === this.reportedAsked) {
            return undefined;
        }
        const waiting = this.pending.reduce((most, { units }) => Math.max(most, units), 0);
        return {
            account,
            used,
            asked,
            credit: Math.max(0, Math.floor(this.available)),
            waiting,
            held: this.isEnforced,
        };
    }

    public markReported(counts: AccountCounts): void {
        this.reportedUsed = counts.used;
        this.reportedAsked = counts.asked;
    }

    public applyAllowance(allowance: Allowance): void {
        this.credit = Math.max(0, this.available) + allowance.grant;
        this.strict = allowance.strict;
        this.enforcesFallback = false;
        this.refilledAt = undefined;
        this.noGrantsUntil = steadyNow() + allowance.dryMs;
        this.fallbackPerSecond = allowance.fallbackPerSecond;
        this.reportAfter = allowance.reportAfter;
        this.allowanceAt = steadyNow();
        this.unansweredSince = undefined;
    }

    /** Monotonic time by which the leader should have answered; undefined while it responds. */
    private get unresponsiveSince(): number | undefined {
        const due = this.unansweredSince === undefined
            ? Number.POSITIVE_INFINITY
            : this.unansweredSince + leaderTimeoutMs + this.entries * leaderTimeoutPerEntryMs;
        return steadyNow() > due ? due : undefined;
    }
}

export class AccountLimiter {
    private readonly states = new Map<string, AccountState>();
    private accounts: readonly ClientAccount[] | undefined;

    /** `requestReport` is called when the leader should be told at once. */
    public constructor(private readonly tolerance: LimitTolerance, private readonly requestReport: () => void) {}

    /** Applies the accounts of the current configuration; `entries`: number of entries that share the limits. */
    public setAccounts(accounts: readonly ClientAccount[] | undefined, entries: number): void {
        if (accounts === this.accounts) {
            return;
        }
        this.accounts = accounts;
        const limits = new Map((accounts ?? []).map(({ name, limit }) => [name, limit]));
        for (const name of this.states.keys()) {
            if (limits.get(name) === undefined) {
                this.states.delete(name);
            }
        }
        for (const [name, limit] of limits) {
            const state = this.states.get(name);
            if (limit !== undefined && state === undefined) {
                this.states.set(name, new AccountState(limit, this.tolerance, entries));
            }
            else if (limit !== undefined) {
                state!.setLimit(limit);
            }
        }
    }

    /** Charges a request to the limit of its account; `tokens` as in {@link unitsOf}. */
    public async admit(account: string, tokens: number | undefined): Promise<Admission> {
        const state = this.states.get(account);
        if (state === undefined) {
            return { kind: "admitted", charge: noCharge };
        }
        const units = unitsOf(state.limit, tokens);
        state.recordDemand(units);
        const isEnforced = state.isEnforced;
        const isAdmitted = !isEnforced || state.available >= units
            || (!state.isExhausted && await this.waitForGrant(state, units));
        if (!isAdmitted) {
            const { retryAfterMs, available, limit } = state;
            this.requestReport();
            return { kind: "over", retryAfterMs, units, credit: Math.round(available), limit };
        }
        state.charge(units, isEnforced);
        if (!isEnforced && state.unreported > state.reportAfter) {
            this.requestReport();
        }
        return { kind: "admitted", charge: createCharge(state, units, isEnforced) };
    }

    /** Counts that the leader doesn't know yet. */
    public counts(): AccountCounts[] {
        return [...this.states].map(([account, state]) => state.counts(account)).filter(counts => counts !== undefined);
    }

    /** Applies the leader's answer to a report of `counts`. */
    public applyAllowances(counts: readonly AccountCounts[], allowances: readonly Allowance[]): void {
        counts.forEach(one => this.states.get(one.account)?.markReported(one));
        for (const allowance of allowances) {
            const state = this.states.get(allowance.account);
            state?.applyAllowance(allowance);
            if (state !== undefined) {
                this.resolvePending(state);
            }
        }
    }

    private async waitForGrant(state: AccountState, units: number): Promise<boolean> {
        const pending: PendingRequest = { units, done: new Deferred() };
        state.pending.push(pending);
        this.requestReport();
        const timer = startFairTimer(() => pending.done.resolve(false), grantTimeoutMs);
        const granted = await pending.done.promise;
        timer.cancel();
        state.pending = state.pending.filter(other => other !== pending);
        return granted;
    }

    /** Resolves waiting requests in order of arrival; if the leader has no grants, the rest are refused. */
    private resolvePending(state: AccountState): void {
        let remaining = state.available;
        for (const pending of state.pending) {
            if (!state.strict || remaining >= pending.units) {
                remaining -= pending.units;
                pending.done.resolve(true);
            }
            else if (state.isExhausted) {
                pending.done.resolve(false);
            }
        }
    }
}

function createCharge(state: AccountState, units: number, isEnforced: boolean): Charge {
    let refundable = true;
    return {
        refund: () => {
            if (refundable) {
                refundable = false;
                state.refund(units, isEnforced);
            }
        },
    };
}
