/** Counts the requests that arrive at an entry, and reports them to the leader. */
import { clone, create } from "@bufbuild/protobuf";
import { type AccountCounts, type Allowance, type ShareMeter } from "@winchpath/accounts";
import { type LevelCounter } from "@winchpath/admission";
import { AvailabilityTracker } from "@winchpath/availability";
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type RetryBudgetTable } from "@winchpath/retries";
import { type PeerClients } from "@winchpath/rpc";
import { encodeLevels } from "./admissioncoordinators.js";
import { DemandHistory } from "./demandhistories.js";
import { DrainReports } from "./drainreports.js";
import { EngineTimingReports } from "./enginetimings.js";
import { minResponseIntervalMs } from "./feedintervals.js";
import {
    type AccountAllowance,
    type EarlierUnserved,
    EarlierUnservedSchema,
    FleetService,
    type ItemDemand,
    ItemDemandSchema,
    type Mismatch,
    RejectionSchema,
    type RetrySlotGrants,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type ItemKey, itemMapKey, modelMapKey } from "./items.js";
import { encodeRate } from "./rateencodings.js";
import { decodeSlotGrants, encodeSlotReports } from "./slotencodings.js";
import { type UnservedRequests } from "./unservedspans.js";
import { encodeWork } from "./workencodings.js";

/** Interval between regular reports, in milliseconds; a model load takes a second or more. */
const reportMs = 500;
/** Urgent changes are batched for this long before it is reported, in milliseconds. */
const urgentDelayMs = 5;
/**
 * Minimum interval between reports, in milliseconds; bounds the leader's load while many requests can't be served, since
 * each report costs it 0.4 ms.
 */
const minReportIntervalMs = 25;
const reportTimeoutMs = 800;
/** Maximum number of mismatches in one report. */
const maxMismatches = 20;

/** Counts the usage of client accounts and applies the leader's allowances. */
export interface AccountMeter {
    counts(): AccountCounts[];
    applyAllowances(counts: readonly AccountCounts[], allowances: readonly Allowance[]): void;
}

/** Reports the leases of retry slots and applies the leader's grants. */
export type RetrySlotMeter = Pick<RetryBudgetTable, "applyGrants" | "createReports" | "hasReports" | "term">;

/** The leader that an entry currently follows. */
export interface FollowedLeader {
    /** Empty if there is none. */
    readonly url: string;
    /**
     * Identifies the leadership; empty until the leader has answered. A host that becomes leader again starts a new
     * epoch without earlier reports.
     */
    readonly epoch: string;
}

interface Throughput {
    readonly service: string;
    readonly model: string;
    /** Prompt tokens processed per second. */
    readonly tokensPerSecond: number;
    /** Whether it has changed since the last report. */
    isUnreported: boolean;
}

/** Counts demand since the last report, and sends reports to the leader. */
export class DemandMeter {
    private readonly items = new Map<string, ItemDemand>();
    private mismatches: Mismatch[] = [];
    private readonly unreachable = new Set<string>();
    private readonly refusing = new Set<string>();
    private readonly outcomes = new Map<string, { readonly upstream: string; served: number; failed: number; }>();
    private readonly drainReports: DrainReports;
    private readonly urgent = new Notifier();
    /** Monotonic time of the last report. */
    private reportedAt = Number.NEGATIVE_INFINITY;
    private readonly throughputs = new Map<string, Throughput>();
    /** Past demand, reported to each new leader. */
    private readonly history = new DemandHistory();
    /** Speeds of engines that this entry has observed. */
    public readonly engineTimings = new EngineTimingReports();
    /** Epoch of the leadership that received the last report. */
    private reportedEpoch = "";

    /** Distinguishes this process from earlier ones of the same entry, whose totals were different. */
    private readonly process = Date.now();
    private accounts: AccountMeter | undefined;
    private levels: LevelCounter | undefined;
    private shares: ShareMeter | undefined;
    private retries: RetrySlotMeter | undefined;
    /** Number of reports so far. */
    private sequence = 0;
    private pendingWake: NodeJS.Timeout | undefined;

    /** @param availability source of draining upstreams and upstream rate limits, which are reported to the leader */
    public constructor(private readonly log: EventLog, private readonly availability = new AvailabilityTracker()) {
        this.drainReports = new DrainReports(availability);
    }

    /** Includes the usage of client accounts in reports. */
    public includeAccounts(accounts: AccountMeter): void {
        this.accounts = accounts;
    }

    /** Includes the demand by priority level in reports. */
    public includeLevels(levels: LevelCounter): void {
        this.levels = levels;
    }

    /** Includes the work of client accounts in reports. */
    public includeShares(shares: ShareMeter): void {
        this.shares = shares;
    }

    /** Includes leases of retry slots in reports. */
    public includeRetries(retries: RetrySlotMeter): void {
        this.retries = retries;
    }

    /**
     * Requests an early report of account usage, of demand on rate-limited upstreams, or of retries that lack slots.
     *
     * @param entries number of reporting entries; the more there are, the longer the delay, which limits the leader's load
     */
    public reportSoon(entries: number): void {
        const dueMs = Math.max(0, this.reportedAt + minResponseIntervalMs(entries) - steadyNow());
        this.pendingWake ??= setTimeout(() => this.urgent.notify(), dueMs);
    }

    /** @param work cost of the request, in prompt tokens */
    public arrived(key: ItemKey, work: number): void {
        const item = this.itemFor(key);
        item.arrived += 1;
        item.work += BigInt(Math.round(work));
        this.history.record(key, work);
    }

    public started(key: ItemKey): void {
        this.itemFor(key).running += 1;
    }

    public ended(key: ItemKey): void {
        this.itemFor(key).running -= 1;
    }

    /** A request started waiting because no upstream holds its model or adapter. */
    public waitStarted(key: ItemKey): void {
        this.itemFor(key).waiting += 1;
        this.urgent.notify();
    }

    public waitEnded(key: ItemKey): void {
        this.itemFor(key).waiting -= 1;
    }

    /** A request was rejected because no upstream holds its model or adapter; the client may retry it. */
    public refused(key: ItemKey): void {
        this.itemFor(key).refused += 1;
        this.urgent.notify();
    }

    /** An upstream has begun to answer a request. */
    public served(key: ItemKey): void {
        this.itemFor(key).served += 1;
        this.history.recordServed(itemMapKey(key));
    }

    /** No upstream answered a request. @param reason as in the response */
    public unserved(key: ItemKey, reason: string): void {
        const { rejections } = this.itemFor(key);
        const rejection = rejections.find(one => one.reason === reason);
        if (rejection === undefined) {
            rejections.push(create(RejectionSchema, { reason, count: 1 }));
        }
        else {
            rejection.count += 1;
        }
        this.history.recordUnserved(itemMapKey(key));
    }

    /** An upstream reported that it does not hold a model or adapter that it is listed with. */
    public recordMismatch(mismatch: Mismatch): void {
        if (this.mismatches.length < maxMismatches) {
            this.mismatches.push(mismatch);
            this.urgent.notify();
        }
    }

    /** A connection to an upstream was refused (`isRefused`) or timed out. */
    public connectionFailed(upstream: string, isRefused = false): void {
        this.unreachable.add(upstream);
        if (isRefused) {
            this.refusing.add(upstream);
        }
        this.urgent.notify();
    }

    /** An upstream announced to this process that it is draining; this is reported soon. */
    public leaving(): void {
        this.urgent.notify();
    }

    /** A request ended at an upstream; failures are reported soon. */
    public recordOutcome(upstream: string, failed: boolean): void {
        let counts = this.outcomes.get(upstream);
        if (counts === undefined) {
            counts = { upstream, served: 0, failed: 0 };
            this.outcomes.set(upstream, counts);
        }
        if (failed) {
            counts.failed += 1;
            this.urgent.notify();
        }
        else {
            counts.served += 1;
        }
    }

    /** Records how many prompt tokens per second a service's engines process for a model. */
    public recordThroughput(service: string, model: string, tokensPerSecond: number): void {
        this.throughputs.set(modelMapKey(service, model), { service, model, tokensPerSecond, isUnreported: true });
    }

    /** Reports to the leader until the signal is aborted. */
    public async run(
        entry: string,
        clients: PeerClients,
        leader: () => FollowedLeader,
        signal: AbortSignal,
    ): Promise<void> {
        while (!signal.aborted) {
            await this.urgent.wait(reportMs);
            await sleep(Math.max(urgentDelayMs, this.reportedAt + minReportIntervalMs - steadyNow()), signal);
            const { url, epoch } = leader();
            if (url === "" || epoch === "" || signal.aborted || !this.hasUnreported(epoch)) {
                continue;
            }
            await this.report(entry, clients, url, epoch);
        }
    }

    private async report(entry: string, clients: PeerClients, url: string, epoch: string): Promise<void> {
        // Copied, since the counts are reset before the report has been delivered.
        const isFirstReport = epoch !== this.reportedEpoch;
        const items = isFirstReport
            ? this.itemsWithHistory()
            : [...this.items.values()].map(item => clone(ItemDemandSchema, item));
        const { mismatches } = this;
        const unreachable = [...this.unreachable];
        const refused = [...this.refusing];
        const outcomes = [...this.outcomes.values()];
        const leaving = this.drainReports.unreportedTo(epoch);
        const rates = this.availability.rates.createReports(epoch);
        const timings = this.engineTimings.unreportedTo(epoch);
        this.resetCounts();
        const askedAt = steadyNow();
        this.reportedAt = askedAt;
        clearTimeout(this.pendingWake);
        this.pendingWake = undefined;
        const counts = this.accounts?.counts() ?? [];
        const work = this.shares?.workCounts(isFirstReport) ?? [];
        const slots = this.retries?.createReports() ?? [];
        this.sequence += 1;
        try {
            const paces = [...this.throughputs.values()]
                .filter(({ isUnreported }) => isUnreported || isFirstReport)
                .map(({ service, model, tokensPerSecond }) => ({ service, model, tokensPerSecond }));
            this.throughputs.forEach(throughput => throughput.isUnreported = false);
            const req = {
                entry,
                intervalMs: reportMs,
                items,
                mismatches,
                paces,
                unreachable,
                refused,
                outcomes,
                leaving,
                timings,
                accounts: counts.map(encodeCounts),
                rates: rates.map(encodeRate),
                process: BigInt(this.process),
                levels: encodeLevels(this.levels?.take() ?? []),
                accountWork: work.map(encodeWork),
                accountWorkComplete: isFirstReport,
                sequence: BigInt(this.sequence),
                ...encodeSlotReports(this.retries?.term ?? 0, slots),
            };
            const res = await clients.client(FleetService, url).reportDemand(req, { timeoutMs: reportTimeoutMs });
            this.reportedEpoch = epoch;
            this.drainReports.markReported(leaving, epoch);
            this.engineTimings.markReported(timings, epoch);
            this.accounts?.applyAllowances(counts, res.allowances.map(decodeAllowance));
            this.shares?.applyPositions(work, res.shares);
            this.availability.rates.applyGrants(rates, res.permits, { epoch, askedAt });
            this.applySlotGrants(res.retrySlots, askedAt);
        }
        catch (err) {
            // The next report carries the current gauges; losing one interval's arrivals is tolerable.
            this.log.warn("demand.untold", { leader: url, error: messageOf(err) });
        }
    }

    private applySlotGrants(encoded: RetrySlotGrants | undefined, askedAt: number): void {
        const grants = decodeSlotGrants(encoded);
        if (grants !== undefined) {
            this.retries?.applyGrants(grants, askedAt);
        }
    }

    /** The current counts together with the decayed demand that was reported to earlier leaders. */
    private itemsWithHistory(): ItemDemand[] {
        this.history.keys().forEach(key => this.itemFor(key));
        return [...this.items].map(([name, item]) => {
            const copy = clone(ItemDemandSchema, item);
            const { requests, work } = this.history.decayed(name);
            // The history includes arrivals since the last report, which are counted separately.
            copy.earlier = Math.max(0, requests - item.arrived);
            copy.earlierWork = Math.max(0, work - Number(item.work));
            copy.earlierUnserved = encodeUnserved(this.history.unserved(name));
            return copy;
        });
    }

    private hasUnreported(epoch: string): boolean {
        return this.availability.rates.hasReports(epoch) || this.retries?.hasReports === true || this.items.size > 0
            || this.mismatches.length > 0
            || this.unreachable.size > 0
            || this.outcomes.size > 0 || this.drainReports.hasUnreported || this.levels?.isEmpty === false
            || (this.accounts?.counts().length ?? 0) + (this.shares?.workCounts(false).length ?? 0) > 0;
    }

    private resetCounts(): void {
        this.history.removeExpired();
        this.mismatches = [];
        this.unreachable.clear();
        this.refusing.clear();
        this.outcomes.clear();
        for (const [key, item] of this.items) {
            item.arrived = 0;
            item.refused = 0;
            item.served = 0;
            item.rejections = [];
            item.work = 0n;
            if (item.running === 0 && item.waiting === 0) {
                this.items.delete(key);
            }
        }
    }

    private itemFor(key: ItemKey): ItemDemand {
        const name = itemMapKey(key);
        let item = this.items.get(name);
        if (item === undefined) {
            item = create(ItemDemandSchema, key);
            this.items.set(name, item);
        }
        return item;
    }
}

function encodeCounts({ account, used, asked, credit, waiting, held }: AccountCounts) {
    return {
        held,
        account,
        used: toRoundedBigInt(used),
        asked: toRoundedBigInt(asked),
        credit: toRoundedBigInt(credit),
        waiting: toRoundedBigInt(waiting),
    };
}

function toRoundedBigInt(units: number): bigint {
    return BigInt(Math.round(units));
}

function encodeUnserved(requests: UnservedRequests | undefined): EarlierUnserved | undefined {
    if (requests === undefined) {
        return undefined;
    }
    const now = steadyNow();
    return create(EarlierUnservedSchema, {
        firstMs: Math.round(now - requests.firstAt),
        lastMs: Math.round(now - requests.lastAt),
        requests: requests.count,
        longestPauseMs: Math.round(requests.longestPauseMs),
    });
}

function decodeAllowance(allowance: AccountAllowance): Allowance {
    return { ...allowance, grant: Number(allowance.grant), reportAfter: Number(allowance.reportAfter) };
}
