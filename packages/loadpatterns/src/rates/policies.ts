/** Policies to enforce an upstream's advertised rate limit across entries, behind a common interface and without a network. */
import { RateLimitCoordinator, RateLimits, type RateReport } from "@winchpath/availability";
import { silentLog, steadyNow, TokenBucket } from "@winchpath/core";
import { createHash } from "node:crypto";
import { type SeededRandom } from "../seededrandoms.js";
import { type SimulatedNetwork } from "./simulatednetworks.js";

const upstream = "u";

/** Burst capacity of a bucket, as seconds of its rate. */
const burstSeconds = 0.25;
/** Lower bound of the rate, so that an upstream with a limit of 0 is still probed. */
const minPerSecond = 0.25;

/** Messages and bytes that a policy has sent. */
export interface RatePolicyCost {
    messages: number;
    bytes: number;
}

/** Enforces one rate limit across all entries, which are identified by their index. */
export interface RatePolicy {
    readonly cost: RatePolicyCost;
    /** Requests permission to send a request; calls `done` with the decision, immediately or later. */
    requestPermit(entry: number, done: (isPermitted: boolean) => void): void;
    /** Handles the response to a request sent at `sentAt`, with the limit that it advertises, if any. */
    onResponse(entry: number, perSecond: number | undefined, sentAt: number): void;
    /** Runs periodic work; called after each step of the clock. */
    tick(): void;
    /** Simulates the failure of the coordinator. */
    loseCoordinator(): void;
    /** Simulates the recovery of the coordinator, or its replacement. */
    restoreCoordinator(): void;
    /** Disconnects an entry from the other entries and the leader, or reconnects it. */
    setPartitioned(entry: number, isPartitioned: boolean): void;
}

export interface RatePolicyContext {
    readonly entries: number;
    readonly network: SimulatedNetwork;
    readonly random: SeededRandom;
}

/** Base of policies in which each entry enforces its part of the limit without coordination. */
abstract class LocalRatePolicy implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly buckets = new Map<number, TokenBucket>();

    public constructor(protected readonly context: RatePolicyContext) {}

    public requestPermit(entry: number, done: (isPermitted: boolean) => void): void {
        const bucket = this.buckets.get(entry);
        const isPermitted = bucket === undefined || bucket.level >= 1;
        if (isPermitted) {
            bucket?.take(1);
        }
        done(isPermitted);
    }

    public onResponse(entry: number, perSecond: number | undefined): void {
        const bucket = this.buckets.get(entry);
        if (perSecond === undefined) {
            this.buckets.delete(entry);
        }
        else if (bucket === undefined) {
            const rate = Math.max(minPerSecond / this.context.entries, this.rateFor(entry, perSecond));
            this.buckets.set(entry, new TokenBucket(rate, Math.max(1, rate * burstSeconds), this.initialLevel()));
        }
    }

    public tick(): void {}

    public loseCoordinator(): void {}

    public restoreCoordinator(): void {}

    public setPartitioned(): void {}

    /** Returns the requests per second that an entry may send. */
    protected abstract rateFor(entry: number, perSecond: number): number;

    /** Returns the initial level of a bucket. */
    protected abstract initialLevel(): number;
}

/** Splits the limit evenly between entries; each entry can save up at least one request. */
export class EvenRateShares extends LocalRatePolicy {
    protected rateFor(_entry: number, perSecond: number): number {
        return perSecond / this.context.entries;
    }

    protected initialLevel(): number {
        return 0;
    }
}

/** Splits the limit evenly, with random initial bucket levels so that entries don't send their first requests at once. */
export class PhasedRateShares extends EvenRateShares {
    protected override initialLevel(): number {
        return this.context.random.uniform();
    }
}

/** Restricts sending to a number of entries that fits the limit, chosen by rendezvous hashing. */
export class HashedSenders extends LocalRatePolicy {
    protected rateFor(entry: number, perSecond: number): number {
        const senders = Math.max(1, Math.min(this.context.entries, Math.floor(perSecond) + 1));
        return rankOf(entry, this.context.entries) < senders ? perSecond / senders : 0;
    }

    protected initialLevel(): number {
        return 0;
    }
}

/** Returns the rank of an entry in the rendezvous order, which every entry computes without coordination. */
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

/** Approximate size of a permit request and its response. */
const permitMessageBytes = 60;
/** Time after which an entry tries the next coordinator, in milliseconds. */
const coordinatorTimeoutMs = 300;
/** Number of coordinators that an entry tries before it refuses the request. */
const maxCoordinators = 3;

/** Lets one entry, chosen by rendezvous hashing, grant a permit for each request; falls back to the next on a timeout. */
export class SingleCoordinator implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly limitedEntries = new Set<number>();
    private readonly buckets = new Map<number, TokenBucket>();
    private readonly partitioned = new Set<number>();
    private perSecond = 0;
    private isCoordinatorLost = false;

    public constructor(private readonly context: RatePolicyContext) {}

    public requestPermit(entry: number, done: (isPermitted: boolean) => void): void {
        if (this.limitedEntries.has(entry)) {
            this.requestFromCoordinator(entry, 0, done);
        }
        else {
            done(true);
        }
    }

    public onResponse(entry: number, perSecond: number | undefined): void {
        if (perSecond === undefined) {
            this.limitedEntries.delete(entry);
        }
        else {
            this.perSecond = perSecond;
            this.limitedEntries.add(entry);
        }
    }

    public tick(): void {}

    public loseCoordinator(): void {
        this.isCoordinatorLost = true;
        this.buckets.delete(this.coordinatorAt(0));
    }

    public restoreCoordinator(): void {
        this.isCoordinatorLost = false;
    }

    public setPartitioned(entry: number, isPartitioned: boolean): void {
        if (isPartitioned) {
            this.partitioned.add(entry);
        }
        else {
            this.partitioned.delete(entry);
        }
    }

    private coordinatorAt(rank: number): number {
        return rendezvousOrder(this.context.entries)[rank % this.context.entries];
    }

    private requestFromCoordinator(entry: number, rank: number, done: (isPermitted: boolean) => void): void {
        if (rank >= maxCoordinators) {
            done(false);
            return;
        }
        const coordinator = this.coordinatorAt(rank);
        const isUnreachable = coordinator !== entry
            && (this.partitioned.has(coordinator) || this.partitioned.has(entry));
        if (isUnreachable || (rank === 0 && this.isCoordinatorLost)) {
            this.context.network.schedule(
                coordinatorTimeoutMs,
                () => this.requestFromCoordinator(entry, rank + 1, done),
            );
            return;
        }
        this.cost.messages += coordinator === entry ? 0 : 1;
        this.cost.bytes += coordinator === entry ? 0 : permitMessageBytes;
        this.context.network.send(() => {
            const isPermitted = this.takePermit(coordinator);
            this.context.network.send(() => done(isPermitted));
        });
    }

    private takePermit(coordinator: number): boolean {
        const rate = Math.max(minPerSecond, this.perSecond);
        const bucket = this.buckets.get(coordinator) ?? new TokenBucket(rate, Math.max(1, rate * burstSeconds), 0);
        this.buckets.set(coordinator, bucket);
        const isPermitted = bucket.level >= 1;
        if (isPermitted) {
            bucket.take(1);
        }
        return isPermitted;
    }
}

/** Bounds of the interval between two reports of an entry, in milliseconds; the minimum grows with the number of entries. */
const maxReportIntervalMs = 500;
const minReportIntervalMs = 25;
const reportIntervalPerEntryMs = 2.7;
/** Approximate size of one upstream's data in a report and its response. */
const reportBytes = 60;

interface ReportingEntry {
    readonly rates: RateLimits;
    reportedAt: number;
    isReportRequested: boolean;
}

/** The production policy: the leader grants permits that expire, and without them no requests are sent to a limited upstream. */
export class GrantedPermits implements RatePolicy {
    public readonly cost = { messages: 0, bytes: 0 };
    private readonly entries: readonly ReportingEntry[];
    private readonly partitioned = new Set<number>();
    private ledger: RateLimitCoordinator | undefined;
    private epoch = 0;
    private requests = 0;

    public constructor(private readonly context: RatePolicyContext) {
        this.entries = Array.from({ length: context.entries }, () => {
            const entry = {
                rates: new RateLimits(),
                reportedAt: steadyNow() - maxReportIntervalMs,
                isReportRequested: false,
            };
            entry.rates.setCallbacks(() => entry.isReportRequested = true, () => undefined);
            return entry;
        });
        this.restoreCoordinator();
    }

    public requestPermit(entry: number, done: (isPermitted: boolean) => void): void {
        const { rates } = this.entries[entry];
        const verdict = rates.acquirePermit(upstream);
        if (verdict === "refused") {
            this.requests += 1;
            rates.addWaiting(upstream, `q${this.requests}`);
        }
        done(verdict !== "refused");
    }

    public onResponse(entry: number, perSecond: number | undefined, sentAt: number): void {
        const { rates } = this.entries[entry];
        if (perSecond === undefined) {
            rates.recordUnlimitedAnswer(upstream, sentAt);
        }
        else {
            rates.recordRate(upstream, perSecond, sentAt);
        }
    }

    public tick(): void {
        const now = steadyNow();
        const pauseMs = Math.max(minReportIntervalMs, reportIntervalPerEntryMs * this.context.entries);
        this.entries.forEach((entry, index) => {
            const sinceMs = now - entry.reportedAt;
            const isReportDue = sinceMs >= maxReportIntervalMs || (entry.isReportRequested && sinceMs >= pauseMs);
            if (isReportDue && entry.rates.hasReports(String(this.epoch))) {
                this.sendReport(entry, index);
            }
        });
    }

    public loseCoordinator(): void {
        this.ledger = undefined;
    }

    public restoreCoordinator(): void {
        this.epoch += 1;
        this.ledger = new RateLimitCoordinator(silentLog, (id, limited) => {
            if (limited) {
                this.entries.forEach(({ rates }, index) => this.deliverTo(index, () => rates.recordKnownLimit(id)));
            }
        });
    }

    public setPartitioned(entry: number, isPartitioned: boolean): void {
        if (isPartitioned) {
            this.partitioned.add(entry);
        }
        else {
            this.partitioned.delete(entry);
        }
    }

    private deliverTo(entry: number, deliver: () => void): void {
        this.context.network.send(() => {
            if (!this.partitioned.has(entry)) {
                deliver();
            }
        });
    }

    private sendReport(entry: ReportingEntry, index: number): void {
        const { ledger } = this;
        if (ledger === undefined || this.partitioned.has(index)) {
            return;
        }
        const epoch = String(this.epoch);
        const askedAt = steadyNow();
        const reports = entry.rates.createReports(epoch);
        entry.reportedAt = askedAt;
        entry.isReportRequested = false;
        this.cost.messages += 1;
        this.cost.bytes += reportBytes;
        this.context.network.send(() => this.handleReport(ledger, index, reports, { epoch, askedAt }));
    }

    private handleReport(
        ledger: RateLimitCoordinator,
        index: number,
        reports: readonly RateReport[],
        sent: { readonly epoch: string; readonly askedAt: number; },
    ): void {
        if (ledger !== this.ledger) {
            return;
        }
        const grants = ledger.processReports(`e${index}`, reports);
        this.deliverTo(index, () => this.entries[index].rates.applyGrants(reports, grants, sent));
    }
}
