/** Ways to keep one limit over many entries, behind one interface, to compare them without a network. */
import {
    AccountLimitCoordinator,
    AccountLimiter,
    type EnforcementThresholds,
    type LimitTolerance,
} from "@winchpath/accounts";
import { silentLog, TokenBucket } from "@winchpath/core";
import { type AccountLimit, type ClientAccount } from "@winchpath/declarations";

/** What a policy costs. */
export interface PolicyCost {
    messages: number;
    bytes: number;
}

/** One limit, as all entries keep it. */
export interface LimitPolicy {
    readonly cost: PolicyCost;
    /** Whether an entry lets a request pass. */
    admit(entry: number, units: number): Promise<boolean>;
    /** Entries and leader follow another limit. */
    follow(limit: AccountLimit): void;
    /** The leader is lost, or another one begins. */
    loseLeader(): void;
    beginLeader(): void;
    end(): void;
}

export const account = "a";

export function accountsWith(limit: AccountLimit): ClientAccount[] {
    return [{ name: account, keyDigests: [], limit }];
}

/** Each entry keeps an equal part of the limit; nobody tells anybody. */
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
        const passes = bucket.level > 0;
        if (passes) {
            bucket.take(units);
        }
        return passes;
    }

    public follow(limit: AccountLimit): void {
        this.buckets.forEach(bucket => bucket.resize(limit.perSecond / this.entries, limit.burst / this.entries));
    }

    public loseLeader(): void {}

    public beginLeader(): void {}

    public end(): void {}
}

/** An entry reports after a pause that grows with their number, or this often at least, in milliseconds. */
const reportMs = 500;
/** Pause between two reports of an entry for each entry there is, in milliseconds, and at least. */
const pausePerEntryMs = 2.7;
const shortestPauseMs = 25;
const tripMs = 2;
/** Bytes of a report's part and of its answer's. */
const bytesPerMessage = 60;

/** The product's own: counted far from the limit, granted near it; `shares` say what is near. */
export class Granted implements LimitPolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly limiters: AccountLimiter[];
    private readonly pressed: boolean[];
    private readonly reportedAt: number[];
    private readonly timer: NodeJS.Timeout;
    private book: AccountLimitCoordinator | undefined;
    private accounts: ClientAccount[];

    public constructor(
        private readonly entries: number,
        limit: AccountLimit,
        private readonly tolerance: LimitTolerance,
        private readonly shares?: EnforcementThresholds,
    ) {
        this.accounts = accountsWith(limit);
        this.pressed = Array.from({ length: entries }, () => false);
        this.reportedAt = Array.from({ length: entries }, (_, index) => Date.now() - index * reportMs / entries);
        this.limiters = Array.from({ length: entries }, (_, index) =>
            new AccountLimiter(tolerance, () => {
                this.pressed[index] = true;
            }));
        this.limiters.forEach(limiter => limiter.setAccounts(this.accounts, entries));
        this.beginLeader();
        this.timer = setInterval(() => this.reportDue(), shortestPauseMs);
    }

    public async admit(entry: number, units: number): Promise<boolean> {
        return (await this.limiters[entry].admit(account, units)).kind === "admitted";
    }

    public follow(limit: AccountLimit): void {
        this.accounts = accountsWith(limit);
        this.limiters.forEach(limiter => limiter.setAccounts(this.accounts, this.entries));
        this.book?.setAccounts(this.accounts);
    }

    public loseLeader(): void {
        this.book = undefined;
    }

    public beginLeader(): void {
        this.book = new AccountLimitCoordinator(this.tolerance, silentLog, this.shares);
        this.book.setAccounts(this.accounts);
    }

    public end(): void {
        clearInterval(this.timer);
    }

    private reportDue(): void {
        const now = Date.now();
        const pauseMs = Math.max(shortestPauseMs, this.entries * pausePerEntryMs);
        this.limiters.forEach((limiter, index) => {
            const sinceMs = now - this.reportedAt[index];
            if (this.book !== undefined && (sinceMs >= reportMs || (this.pressed[index] && sinceMs >= pauseMs))) {
                this.pressed[index] = false;
                this.reportedAt[index] = now;
                this.report(limiter, index);
            }
        });
    }

    private report(limiter: AccountLimiter, index: number): void {
        const counts = limiter.counts();
        if (counts.length === 0 || this.book === undefined) {
            return;
        }
        this.cost.messages += 1;
        this.cost.bytes += bytesPerMessage;
        const allowances = this.book.processCounts({ entry: `e${index}`, process: 1, counts, entries: this.entries });
        setTimeout(() => limiter.applyAllowances(counts, allowances), tripMs);
    }
}
