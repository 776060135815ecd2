/** Policies to enforce an account limit across entries, behind a common interface and without a network. */
import {
    AccountLimitCoordinator,
    AccountLimiter,
    type EnforcementThresholds,
    type LimitTolerance,
} from "@winchpath/accounts";
import { silentLog, TokenBucket } from "@winchpath/core";
import { type AccountLimit, type ClientAccount } from "@winchpath/declarations";

/** Messages and bytes that a policy has sent. */
export interface LimitPolicyCost {
    messages: number;
    bytes: number;
}

/** Enforces one account limit across all entries. */
export interface LimitPolicy {
    readonly cost: LimitPolicyCost;
    /** Resolves to whether an entry admits a request. */
    admit(entry: number, units: number): Promise<boolean>;
    /** Changes the limit at all entries and at the leader. */
    applyLimit(limit: AccountLimit): void;
    /** Simulates the failure of the leader. */
    stopLeader(): void;
    /** Simulates the start of a new leader without state. */
    startLeader(): void;
    stop(): void;
}

export const accountName = "a";

export function accountsWith(limit: AccountLimit): ClientAccount[] {
    return [{ name: accountName, keyDigests: [], limit }];
}

/** Splits the limit evenly between entries, without coordination. */
export class EvenShares implements LimitPolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly buckets: TokenBucket[];

    public constructor(private readonly entries: number, limit: AccountLimit) {
        this.buckets = Array.from(
            { length: entries },
            () => new TokenBucket(limit.perSecond / entries, limit.burst / entries),
        );
    }

    public async admit(entry: number, units: number): Promise<boolean> {
        const bucket = this.buckets[entry];
        const isAdmitted = bucket.level > 0;
        if (isAdmitted) {
            bucket.take(units);
        }
        return isAdmitted;
    }

    public applyLimit(limit: AccountLimit): void {
        this.buckets.forEach(bucket => bucket.resize(limit.perSecond / this.entries, limit.burst / this.entries));
    }

    public stopLeader(): void {}

    public startLeader(): void {}

    public stop(): void {}
}

/** Maximum interval between two reports of an entry, in milliseconds. */
const maxReportIntervalMs = 500;
/** Minimum interval between two requested reports of an entry: per entry in the fleet, and its lower bound, in milliseconds. */
const reportIntervalPerEntryMs = 2.7;
const minReportIntervalMs = 25;
const networkDelayMs = 2;
/** Approximate size of an account's counts in a report and its response. */
const bytesPerMessage = 60;

/** The production policy: entries only count usage far below the limit, and need grants near it as `thresholds` define. */
export class GrantedLimits implements LimitPolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly limiters: AccountLimiter[];
    private readonly reportRequested: boolean[];
    private readonly reportedAt: number[];
    private readonly timer: NodeJS.Timeout;
    private book: AccountLimitCoordinator | undefined;
    private accounts: ClientAccount[];

    public constructor(
        private readonly entries: number,
        limit: AccountLimit,
        private readonly tolerance: LimitTolerance,
        private readonly thresholds?: EnforcementThresholds,
    ) {
        this.accounts = accountsWith(limit);
        this.reportRequested = Array.from({ length: entries }, () => false);
        this.reportedAt = Array.from(
            { length: entries },
            (_, index) => Date.now() - index * maxReportIntervalMs / entries,
        );
        this.limiters = Array.from({ length: entries }, (_, index) =>
            new AccountLimiter(tolerance, () => {
                this.reportRequested[index] = true;
            }));
        this.limiters.forEach(limiter => limiter.setAccounts(this.accounts, entries));
        this.startLeader();
        this.timer = setInterval(() => this.sendDueReports(), minReportIntervalMs);
    }

    public async admit(entry: number, units: number): Promise<boolean> {
        return (await this.limiters[entry].admit(accountName, units)).kind === "admitted";
    }

    public applyLimit(limit: AccountLimit): void {
        this.accounts = accountsWith(limit);
        this.limiters.forEach(limiter => limiter.setAccounts(this.accounts, this.entries));
        this.book?.setAccounts(this.accounts);
    }

    public stopLeader(): void {
        this.book = undefined;
    }

    public startLeader(): void {
        this.book = new AccountLimitCoordinator(this.tolerance, silentLog, this.thresholds);
        this.book.setAccounts(this.accounts);
    }

    public stop(): void {
        clearInterval(this.timer);
    }

    private sendDueReports(): void {
        const now = Date.now();
        const pauseMs = Math.max(minReportIntervalMs, this.entries * reportIntervalPerEntryMs);
        this.limiters.forEach((limiter, index) => {
            const sinceMs = now - this.reportedAt[index];
            if (
                this.book !== undefined
                && (sinceMs >= maxReportIntervalMs || (this.reportRequested[index] && sinceMs >= pauseMs))
            ) {
                this.reportRequested[index] = false;
                this.reportedAt[index] = now;
                this.sendReport(limiter, index);
            }
        });
    }

    private sendReport(limiter: AccountLimiter, index: number): void {
        const counts = limiter.counts();
        if (counts.length === 0 || this.book === undefined) {
            return;
        }
        this.cost.messages += 1;
        this.cost.bytes += bytesPerMessage;
        const allowances = this.book.processCounts({ entry: `e${index}`, process: 1, counts, entries: this.entries });
        setTimeout(() => limiter.applyAllowances(counts, allowances), networkDelayMs);
    }
}
