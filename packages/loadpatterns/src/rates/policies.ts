/** Ways to hold the rate that an upstream names over all entries, behind one interface, to compare them without a network. */
import { RateLimitCoordinator, RateLimits, type RateReport } from "@winchpath/availability";
import { silentLog, steadyNow, TokenBucket } from "@winchpath/core";
import { createHash } from "node:crypto";
import { type Draws } from "../draws.js";
import { type Post } from "./posts.js";

/** The one upstream. */
const upstream = "u";

/** As the product does: a bucket saves up what comes in this time, and an upstream that takes nothing is asked now and then. */
const savedSeconds = 0.25;
const leastPerSecond = 0.25;

/** What a policy costs. */
export interface RateCost {
    messages: number;
    bytes: number;
}

/** One rate, as all entries hold it. An entry is known by its number. */
export interface RatePolicy {
    readonly cost: RateCost;
    /** A request would go to the upstream; `done` is told whether it may, now or after a moment. */
    ask(entry: number, done: (passes: boolean) => void): void;
    /** A request that was sent at such a steady time has got an answer; undefined where that names no rate. */
    heard(entry: number, perSecond: number | undefined, sentAt: number): void;
    /** Time has moved on. */
    step(): void;
    /** What coordinates is lost, and another takes its place or it comes back. */
    lose(): void;
    restore(): void;
    /** An entry can't reach the others or the leader, or can again. */
    cut(entry: number, isCut: boolean): void;
}

export interface PolicyParts {
    readonly entries: number;
    readonly post: Post;
    readonly draws: Draws;
}

/** What one entry knows of the rate by itself. */
abstract class LocalPolicy implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly buckets = new Map<number, TokenBucket>();

    public constructor(protected readonly parts: PolicyParts) {}

    public ask(entry: number, done: (passes: boolean) => void): void {
        const bucket = this.buckets.get(entry);
        const passes = bucket === undefined || bucket.level >= 1;
        if (passes) {
            bucket?.take(1);
        }
        done(passes);
    }

    public heard(entry: number, perSecond: number | undefined): void {
        const bucket = this.buckets.get(entry);
        if (perSecond === undefined) {
            this.buckets.delete(entry);
        }
        else if (bucket === undefined) {
            const rate = Math.max(leastPerSecond / this.parts.entries, this.shareOf(entry, perSecond));
            this.buckets.set(entry, new TokenBucket(rate, Math.max(1, rate * savedSeconds), this.firstLevel()));
        }
    }

    public step(): void {}

    public lose(): void {}

    public restore(): void {}

    public cut(): void {}

    /** Requests a second that the entry may send. */
    protected abstract shareOf(entry: number, perSecond: number): number;

    /** What a bucket holds at first. */
    protected abstract firstLevel(): number;
}

/** Each entry takes an equal part, and saves up one request. */
export class EvenRateShares extends LocalPolicy {
    protected shareOf(_entry: number, perSecond: number): number {
        return perSecond / this.parts.entries;
    }

    protected firstLevel(): number {
        return 0;
    }
}

/** The same, with phases by chance, so that what is saved up doesn't come at once. */
export class PhasedRateShares extends EvenRateShares {
    protected override firstLevel(): number {
        return this.parts.draws.share();
    }
}

/** As many entries as the rate bears send at all: those that rendezvous hashing puts first. */
export class FewSenders extends LocalPolicy {
    protected shareOf(entry: number, perSecond: number): number {
        const senders = Math.max(1, Math.min(this.parts.entries, Math.floor(perSecond) + 1));
        return rankOf(entry, this.parts.entries) < senders ? perSecond / senders : 0;
    }

    protected firstLevel(): number {
        return 0;
    }
}

/** Place of an entry in the order that all entries find without talking. */
function rankOf(entry: number, entries: number): number {
    return rendezvousOrder(entries).indexOf(entry);
}

const orders = new Map<number, readonly number[]>();

function rendezvousOrder(entries: number): readonly number[] {
    let order = orders.get(entries);
    if (order === undefined) {
        const weight = (entry: number) => createHash("md5").update(`${upstream} e${entry}`).digest().readUInt32LE(0);
        order = Array.from({ length: entries }, (_, entry) => entry).sort((a, b) => weight(b) - weight(a));
        orders.set(entries, order);
    }
    return order;
}

/** Bytes of a question for one request and of its answer. */
const askBytes = 60;
/** An entry that gives no permits for this long is passed over, in milliseconds. */
const gateSilenceMs = 300;
/** Entries that are tried for a permit. */
const mostGates = 3;

/** The entry that rendezvous hashing puts first gives permits for each request; the next one where it is silent. */
export class OneGate implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly limitedAt = new Set<number>();
    private readonly buckets = new Map<number, TokenBucket>();
    private readonly cutOff = new Set<number>();
    private perSecond = 0;
    private isLost = false;

    public constructor(private readonly parts: PolicyParts) {}

    public ask(entry: number, done: (passes: boolean) => void): void {
        if (this.limitedAt.has(entry)) {
            this.askGate(entry, 0, done);
        }
        else {
            done(true);
        }
    }

    public heard(entry: number, perSecond: number | undefined): void {
        if (perSecond === undefined) {
            this.limitedAt.delete(entry);
        }
        else {
            this.perSecond = perSecond;
            this.limitedAt.add(entry);
        }
    }

    public step(): void {}

    public lose(): void {
        this.isLost = true;
        this.buckets.delete(this.gate(0));
    }

    public restore(): void {
        this.isLost = false;
    }

    public cut(entry: number, isCut: boolean): void {
        if (isCut) {
            this.cutOff.add(entry);
        }
        else {
            this.cutOff.delete(entry);
        }
    }

    private gate(place: number): number {
        return rendezvousOrder(this.parts.entries)[place % this.parts.entries];
    }

    private askGate(entry: number, place: number, done: (passes: boolean) => void): void {
        if (place >= mostGates) {
            done(false);
            return;
        }
        const gate = this.gate(place);
        const isApart = gate !== entry && (this.cutOff.has(gate) || this.cutOff.has(entry));
        if (isApart || (place === 0 && this.isLost)) {
            this.parts.post.later(gateSilenceMs, () => this.askGate(entry, place + 1, done));
            return;
        }
        this.cost.messages += gate === entry ? 0 : 1;
        this.cost.bytes += gate === entry ? 0 : askBytes;
        this.parts.post.send(() => {
            const passes = this.takeAt(gate);
            this.parts.post.send(() => done(passes));
        });
    }

    private takeAt(gate: number): boolean {
        const rate = Math.max(leastPerSecond, this.perSecond);
        const bucket = this.buckets.get(gate) ?? new TokenBucket(rate, Math.max(1, rate * savedSeconds), 0);
        this.buckets.set(gate, bucket);
        const passes = bucket.level >= 1;
        if (passes) {
            bucket.take(1);
        }
        return passes;
    }
}

/** An entry reports this often at least, and after this pause, for each entry there is, in milliseconds. */
const reportMs = 500;
const shortestPauseMs = 25;
const pausePerEntryMs = 2.7;
/** Bytes of one upstream in a report and in its answer. */
const reportBytes = 60;

interface ReportingEntry {
    readonly rates: RateLimits;
    reportedAt: number;
    isPressed: boolean;
}

/** The product's own: the leader grants permits, which lapse; nothing goes there without it. */
export class GrantedPermits implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly entries: readonly ReportingEntry[];
    private readonly cutOff = new Set<number>();
    private ledger: RateLimitCoordinator | undefined;
    private epoch = 0;
    private requests = 0;

    public constructor(private readonly parts: PolicyParts) {
        this.entries = Array.from({ length: parts.entries }, () => {
            const entry = { rates: new RateLimits(), reportedAt: steadyNow() - reportMs, isPressed: false };
            entry.rates.setCallbacks(() => entry.isPressed = true, () => undefined);
            return entry;
        });
        this.restore();
    }

    public ask(entry: number, done: (passes: boolean) => void): void {
        const { rates } = this.entries[entry];
        const verdict = rates.acquirePermit(upstream);
        if (verdict === "refused") {
            this.requests += 1;
            rates.addWaiting(upstream, `q${this.requests}`);
        }
        done(verdict !== "refused");
    }

    public heard(entry: number, perSecond: number | undefined, sentAt: number): void {
        const { rates } = this.entries[entry];
        if (perSecond === undefined) {
            rates.recordUnlimitedAnswer(upstream, sentAt);
        }
        else {
            rates.recordRate(upstream, perSecond, sentAt);
        }
    }

    public step(): void {
        const now = steadyNow();
        const pauseMs = Math.max(shortestPauseMs, pausePerEntryMs * this.parts.entries);
        this.entries.forEach((entry, index) => {
            const sinceMs = now - entry.reportedAt;
            const isDue = sinceMs >= reportMs || (entry.isPressed && sinceMs >= pauseMs);
            if (isDue && entry.rates.hasReports(String(this.epoch))) {
                this.report(entry, index);
            }
        });
    }

    public lose(): void {
        this.ledger = undefined;
    }

    public restore(): void {
        this.epoch += 1;
        this.ledger = new RateLimitCoordinator(silentLog, (id, limited) => {
            if (limited) {
                this.entries.forEach(({ rates }, index) => this.tell(index, () => rates.recordKnownLimit(id)));
            }
        });
    }

    public cut(entry: number, isCut: boolean): void {
        if (isCut) {
            this.cutOff.add(entry);
        }
        else {
            this.cutOff.delete(entry);
        }
    }

    private tell(entry: number, act: () => void): void {
        this.parts.post.send(() => {
            if (!this.cutOff.has(entry)) {
                act();
            }
        });
    }

    private report(entry: ReportingEntry, index: number): void {
        const { ledger } = this;
        if (ledger === undefined || this.cutOff.has(index)) {
            return;
        }
        const epoch = String(this.epoch);
        const askedAt = steadyNow();
        const reports = entry.rates.createReports(epoch);
        entry.reportedAt = askedAt;
        entry.isPressed = false;
        this.cost.messages += 1;
        this.cost.bytes += reportBytes;
        this.parts.post.send(() => this.answer(ledger, index, reports, { epoch, askedAt }));
    }

    private answer(
        ledger: RateLimitCoordinator,
        index: number,
        reports: readonly RateReport[],
        asked: { readonly epoch: string; readonly askedAt: number; },
    ): void {
        if (ledger !== this.ledger) {
            return;
        }
        const grants = ledger.processReports(`e${index}`, reports);
        this.tell(index, () => this.entries[index].rates.applyGrants(reports, grants, asked));
    }
}
