/**
 * The leader's side of limits that hold over all entries. Far from its limit an account is let through
 * everywhere and only counted. Once its bucket is half empty, entries let through what the leader has
 * granted them, and grants never exceed what the bucket holds. Entries that share one limit by their
 * demand: B. Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007.
 */
import { type EventLog, steadyNow, TokenBucket } from "@winchpath/core";
import { type AccountLimit, type ClientAccount } from "@winchpath/declarations";
import { type AccountCounts, type Allowance, creditLifeMs, type LimitTolerance, untoldUnits } from "./counts.js";

/** When an account is held to grants, in shares of what its bucket can hold. */
export interface HoldingShares {
    readonly heldBelow: number;
    readonly freeAbove: number;
}

const usualShares: HoldingShares = { heldBelow: 0.5, freeAbove: 0.8 };
/** Share of a full bucket that a new leader begins with: what ran before it is not known. */
const firstShare = 0.5;
/** A request that is larger than the bucket passes once that holds this share. */
const fullShare = 0.8;
/** A bucket holds at least this many seconds of its rate, so that a limit without a burst can be used at all. */
const leastBurstSeconds = 0.25;
/** Within this time a leader hears from all entries which accounts they hold since before it began, in milliseconds. */
const learnMs = 1500;
/** An entry that was silent for this long uses nothing of its grants any more, in milliseconds. */
const silentMs = creditLifeMs;
/** What an entry asks for in a second is an average that halves in this time, in milliseconds. */
const halfLifeMs = 1000;
/** Grants last an entry until its next report, half a second later at most. */
const horizonSeconds = 0.5;
/** What passes while no leader is heard goes by what was asked for, to this share; the rest is even, for newcomers. */
const askedShare = 0.9;
/** Grants of one report, in shares that the entry has in the demand: another may come first. */
const grantShares = 2;
/** Bounds of the time for which an entry is told to grant nothing, in milliseconds. */
const shortestDryMs = 50;
const longestDryMs = 2000;

/** What one entry tells. */
export interface EntryCounts {
    readonly entry: string;
    /** Of the process: another one counts anew. */
    readonly process: number;
    readonly counts: readonly AccountCounts[];
    /** Entries that are alive, this one among them. */
    readonly entries: number;
}

interface EntryUse {
    process: number;
    used: number;
    asked: number;
    /** Units asked for in a second, as of `at`. */
    rate: number;
    at: number;
    credit: number;
}

/** One account's limit. */
class AccountBook {
    public strict = false;
    private readonly bucket: TokenBucket;
    private readonly uses = new Map<string, EntryUse>();

    public constructor(public limit: AccountLimit, private readonly shares: HoldingShares) {
        this.bucket = new TokenBucket(limit.perSecond, sizeOf(limit), sizeOf(limit) * firstShare);
    }

    public follow(limit: AccountLimit): void {
        this.limit = limit;
        this.bucket.resize(limit.perSecond, sizeOf(limit));
    }

    /** Takes totals in. What an entry counted before this leader heard of it may have been told to another. */
    public count(entry: string, process: number, counts: AccountCounts): EntryUse {
        const now = steadyNow();
        let use = this.uses.get(entry);
        if (use === undefined || use.process !== process) {
            const base = use === undefined ? counts : { used: 0, asked: 0 };
            use = { process, used: base.used, asked: base.asked, rate: 0, at: now, credit: 0 };
            this.uses.set(entry, use);
        }
        this.bucket.take(counts.used - use.used);
        use.rate = fadedRate(use, now) + Math.max(0, counts.asked - use.asked) * Math.LN2 / (halfLifeMs / 1000);
        use.used = counts.used;
        use.asked = counts.asked;
        use.credit = counts.credit;
        use.at = now;
        return use;
    }

    /** An entry held the account before this leader began: there is nothing left over from that time. */
    public inherit(): void {
        if (!this.strict) {
            this.strict = true;
            this.bucket.take(Math.max(0, this.bucket.level));
        }
    }

    /** Whether entries are held to grants, by what the bucket holds. */
    public review(): boolean {
        const share = this.bucket.level / sizeOf(this.limit);
        const strict = share < (this.strict ? this.shares.freeAbove : this.shares.heldBelow);
        const changed = strict !== this.strict;
        this.strict = strict;
        return changed;
    }

    public get level(): number {
        return this.bucket.level;
    }

    /** Share of an entry in what is asked for. */
    public shareOf(use: EntryUse, entries: number): number {
        const now = steadyNow();
        let total = 0;
        for (const other of this.uses.values()) {
            total += fadedRate(other, now);
        }
        return total > 0 ? fadedRate(use, now) / total : 1 / entries;
    }

    public grant(use: EntryUse, waiting: number, entries: number): { readonly grant: number; readonly dryMs: number; } {
        const free = this.ungranted();
        const need = Math.max(waiting, use.rate * horizonSeconds) - use.credit;
        const whole = Math.min(waiting, sizeOf(this.limit));
        const passes = waiting > 0 && free >= whole * fullShare;
        const fair = free * Math.min(1, this.shareOf(use, entries) * grantShares);
        const grant = Math.max(0, Math.floor(Math.min(need, Math.max(fair, passes ? waiting : 0))));
        use.credit += grant;
        const lacking = Math.max(waiting, 1) - Math.max(free - grant, -sizeOf(this.limit));
        const dryMs = grant > 0 || lacking <= 0 ? 0 : lacking / this.limit.perSecond * 1000;
        return { grant, dryMs: dryMs === 0 ? 0 : Math.min(longestDryMs, Math.max(shortestDryMs, dryMs)) };
    }

    /** What the bucket holds beyond what entries may use already. */
    private ungranted(): number {
        const now = steadyNow();
        let granted = 0;
        for (const use of this.uses.values()) {
            granted += now - use.at > silentMs ? 0 : use.credit;
        }
        return this.bucket.level - granted;
    }
}

export class LimitBook {
    private readonly books = new Map<string, AccountBook>();
    private readonly since = steadyNow();

    public constructor(
        private readonly tolerance: LimitTolerance,
        private readonly log: EventLog,
        private readonly shares = usualShares,
    ) {}

    /** Follows the accounts of the configuration in force. */
    public follow(accounts: readonly ClientAccount[]): void {
        const limited = new Map(accounts.map(({ name, limit }) => [name, limit]));
        for (const name of this.books.keys()) {
            if (limited.get(name) === undefined) {
                this.books.delete(name);
            }
        }
        for (const [name, limit] of limited) {
            if (limit !== undefined) {
                this.followLimit(name, limit);
            }
        }
    }

    /** Takes in what an entry has counted, and says what it may let through. */
    public take({ entry, process, counts, entries }: EntryCounts): Allowance[] {
        const learning = steadyNow() - this.since < learnMs;
        const allowances: Allowance[] = [];
        for (const count of counts) {
            const book = this.books.get(count.account);
            if (book === undefined) {
                continue;
            }
            const use = book.count(entry, process, count);
            if (learning && count.held) {
                book.inherit();
            }
            this.review(count.account, book);
            allowances.push(this.allowance(count, book, use, entries));
        }
        return allowances;
    }

    private followLimit(name: string, limit: AccountLimit): void {
        const book = this.books.get(name);
        if (book === undefined) {
            this.books.set(name, new AccountBook(limit, this.shares));
        }
        else {
            book.follow(limit);
        }
    }

    private review(account: string, book: AccountBook): void {
        if (book.review()) {
            const { perSecond, burst, unit } = book.limit;
            this.log.info(book.strict ? "account.held" : "account.free", {
                account,
                level: Math.round(book.level),
                perSecond,
                burst,
                unit,
            });
        }
    }

    private allowance(count: AccountCounts, book: AccountBook, use: EntryUse, entries: number): Allowance {
        const { grant, dryMs } = book.strict
            ? book.grant(use, count.waiting, entries)
            : { grant: 0, dryMs: 0 };
        return {
            account: count.account,
            strict: book.strict,
            grant,
            dryMs,
            fallbackPerSecond: book.limit.perSecond
                * (askedShare * book.shareOf(use, entries) + (1 - askedShare) / entries),
            reportAfter: untoldUnits(book.limit, this.tolerance, entries),
        };
    }
}

function sizeOf({ perSecond, burst }: AccountLimit): number {
    return Math.max(burst, perSecond * leastBurstSeconds);
}

function fadedRate({ rate, at }: EntryUse, now: number): number {
    return rate * 2 ** (-(now - at) / halfLifeMs);
}
