/** Divides the work that the upstreams of a service sustain among accounts, while requests lack capacity. */
import { type EventLog, steadyNow } from "@winchpath/core";
import { fairLevel, type ShareDemand } from "./fairallocations.js";
import { noLevel, shareLifetimeMs } from "./sharemessages.js";
import { AccountWorkRates, rateHalfLifeMs } from "./workrates.js";

/** Minimum time between two calculations, in milliseconds: half a report interval. */
const calculationIntervalMs = 250;
/** An account is limited only if it asks for this multiple of its share, since averages over few requests vary. */
const limitMargin = 1.25;

interface Lack {
    readonly level: number;
    readonly at: number;
}

export class ShareAllocation {
    public readonly accounts = new Map<string, AccountWorkRates>();
    /** Work per second of the accounts that ask for more than their share. */
    private limits: ReadonlyMap<string, number> = new Map();
    /** The most urgent priority at which each account recently lacked capacity. */
    private readonly lacks = new Map<string, Lack>();
    /** Time of the last report that names the service. */
    public usedAt = steadyNow();
    private calculatedAt = Number.NEGATIVE_INFINITY;
    private readonly startedAt = steadyNow();

    public constructor(private readonly service: string, private readonly log: EventLog) {}

    public ratesOf(account: string): AccountWorkRates {
        let rates = this.accounts.get(account);
        if (rates === undefined) {
            rates = new AccountWorkRates();
            this.accounts.set(account, rates);
        }
        return rates;
    }

    public remove(account: string): void {
        this.accounts.delete(account);
        this.lacks.delete(account);
    }

    /** Work per second of an account that asks for more than its share; undefined for others. */
    public limitOf(account: string): number | undefined {
        return this.limits.get(account);
    }

    /** Returns the most urgent priority at which other accounts recently lacked capacity. */
    public heldFromLevel(account: string): number {
        const now = steadyNow();
        let mostUrgent = noLevel;
        for (const [other, { level, at }] of this.lacks) {
            if (other !== account && now - at <= shareLifetimeMs) {
                mostUrgent = Math.min(mostUrgent, level);
            }
        }
        return mostUrgent;
    }

    /** Records the most urgent priority at which an entry reports that the account lacks capacity. */
    public recordLack(account: string, level: number): void {
        if (level >= noLevel) {
            return;
        }
        const now = steadyNow();
        if (!this.isContended) {
            // Limits are calculated at once when contention starts, since it is then that others lose most.
            this.calculatedAt = Number.NEGATIVE_INFINITY;
        }
        const last = this.lacks.get(account);
        if (last === undefined || level <= last.level || now - last.at > shareLifetimeMs) {
            this.lacks.set(account, { level, at: now });
        }
    }

    /** Updates the limits if the last calculation is old enough. `weights`: of all accounts. */
    public update(weights: ReadonlyMap<string, number>): void {
        const now = steadyNow();
        if (now - this.calculatedAt < calculationIntervalMs) {
            return;
        }
        this.calculatedAt = now;
        // Averages start at 0 and underestimate at first.
        const observedShare = 1 - 2 ** (-Math.max(calculationIntervalMs, now - this.startedAt) / rateHalfLifeMs);
        const demands: ShareDemand[] = [];
        let capacity = 0;
        for (const [account, { askedPerSecond, servedPerSecond }] of this.accounts) {
            demands.push({ account, demand: askedPerSecond / observedShare, weight: weights.get(account)! });
            capacity += servedPerSecond / observedShare;
        }
        const level = this.isContended ? fairLevel(demands, capacity) : Number.POSITIVE_INFINITY;
        const over = demands.filter(({ demand, weight }) => demand > level * weight * limitMargin);
        this.replaceLimits(new Map(over.map(({ account, weight }) => [account, level * weight])), capacity, over);
    }

    private get isContended(): boolean {
        const now = steadyNow();
        return [...this.lacks.values()].some(({ at }) => now - at <= shareLifetimeMs);
    }

    private replaceLimits(limits: ReadonlyMap<string, number>, capacity: number, over: readonly ShareDemand[]): void {
        const before = this.limits;
        this.limits = limits;
        const { service } = this;
        for (const { account, demand, weight } of over.filter(each => !before.has(each.account))) {
            this.log.info("account.over-share", {
                service,
                account,
                weight,
                askedPerSecond: Math.round(demand),
                limitPerSecond: Math.round(limits.get(account)!),
                capacityPerSecond: Math.round(capacity),
                heldFromLevel: this.heldFromLevel(account),
            });
        }
        for (const account of [...before.keys()].filter(each => !limits.has(each))) {
            this.log.info("account.within-share", { service, account, capacityPerSecond: Math.round(capacity) });
        }
    }
}
