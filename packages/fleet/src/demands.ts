/** Aggregates demand at the leader from the reports of all entries. */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type DemandRequest, type EnginePace, type ItemDemand } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type ItemKey, itemMapKey, modelMapKey } from "./items.js";
import { patienceMsOf } from "./overdueneeds.js";
import { UnservedSpan } from "./unservedspans.js";

/** An entry's counts are ignored after this long without a report, in milliseconds; covers three missed reports. */
const reportExpiryMs = 2000;
/**
 * Half-life of the request rate averages, in milliseconds. Demand shifts within a few seconds; if shorter, a single
 * request would look like rising demand.
 */
export const halfLifeMs = 3000;
/** Contribution of one request to an exponentially decaying rate average. */
const ratePerRequest = Math.LN2 / (halfLifeMs / 1000);
/**
 * A rejected request counts as unserved for this long, since the client may retry it, in milliseconds; a third of a usual
 * deadline.
 */
const refusalWindowMs = 3000;
/** Entries report a request at most this long after its arrival, in milliseconds. */
const maxReportDelayMs = 500;
/** Weight of a new report in the moving average of a model's throughput. */
const throughputWeight = 0.3;
/** Items without requests for this long are removed, in milliseconds. */
const retentionMs = 120_000;

/** Reports are collected for this long before demand is acted upon, in milliseconds. */
const minObservationMs = 1500;
/** The same if entries have reported their history, in milliseconds: enough for one report from each. */
const minObservationWithHistoryMs = 600;

/** An unserved item is listed for this long after its last request, in milliseconds. */
const unservedListMs = 10_000;

/** Reason of a rejection because no upstream holds the item. */
export const lackingReason = "lacking";

const emptySet: ReadonlySet<string> = new Set();

/** Demand for one model or adapter across all entries. */
export interface ItemNeed {
    readonly key: ItemKey;
    /** Smoothed requests per second. */
    readonly rate: number;
    /** Cost of these requests, in prompt tokens per second. */
    readonly work: number;
    /** Requests that are running. */
    readonly running: number;
    /** Requests that wait or were recently rejected because no upstream holds the item. */
    readonly unserved: number;
    /** Milliseconds since the last request. */
    readonly idleMs: number;
    /** Milliseconds since the first of the requests that have all gone unserved; 0 if the item is served or not requested. */
    readonly unservedMs: number;
    /** Number of these requests. */
    readonly unservedRequests: number;
    /** Longest time between two successive ones of these, in milliseconds; 0 if there is only one. */
    readonly longestPauseMs: number;
    /** Milliseconds since all requests have gone unserved although an upstream held the item; 0 if some were served. */
    readonly unservedAtHoldersMs: number;
    /** Milliseconds since the item was served again after it had been overdue; infinite if it has not been. */
    readonly recoveredMs: number;
}

/** What has become of the requests for an item that is not being served. */
export interface UnservedItem {
    readonly key: ItemKey;
    readonly unservedMs: number;
    /** Requests, and responses that upstreams began, since the leadership began. */
    readonly requested: number;
    readonly served: number;
    readonly waiting: number;
    /** Requests that no upstream answered since the last served one, by reason. */
    readonly rejections: Readonly<Record<string, number>>;
}

interface EntryCounts {
    readonly receivedAt: number;
    readonly running: number;
    readonly waiting: number;
}

interface ItemRecord {
    readonly key: ItemKey;
    readonly countsByEntry: Map<string, EntryCounts>;
    rate: number;
    work: number;
    updatedAt: number;
    lastRequestAt: number;
    refusals: { readonly at: number; readonly count: number; }[];
    readonly unservedSpan: UnservedSpan;
    /** As above, without requests that were rejected because no upstream held the item. */
    readonly holderSpan: UnservedSpan;
    requested: number;
    served: number;
    /** Requests that no upstream answered since the last served one, by reason. */
    rejections: Record<string, number>;
}

/** Demand and throughput per item, from the reports of all entries. */
export class DemandTracker {
    private readonly items = new Map<string, ItemRecord>();
    private readonly throughputs = new Map<string, number>();
    /** Models that requests wait for in each entry's latest report. */
    private readonly awaitedByEntry = new Map<string, ReadonlySet<string>>();
    private readonly startedAt = steadyNow();
    /** When an entry first reported demand history; undefined if none has. */
    private historySince: number | undefined;

    public constructor(private readonly log: EventLog) {}

    public take(report: DemandRequest): void {
        report.items.forEach(demand => this.updateItem(report.entry, demand));
        const waiting = report.items.filter(item => item.waiting > 0);
        this.awaitedByEntry.set(report.entry, new Set(waiting.map(item => modelMapKey(item.service, item.model))));
        report.paces.forEach(pace => this.updateThroughput(pace));
    }

    /** Prompt tokens per second that an engine processes for a model; undefined if unknown. */
    public throughputOf(service: string, model: string): number | undefined {
        return this.throughputs.get(modelMapKey(service, model));
    }

    /** Models that requests wait for at an entry, as {@link modelMapKey} keys. */
    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.awaitedByEntry.get(entry) ?? emptySet;
    }

    /** Whether enough reports have been received to act on demand. */
    public get hasEnoughReports(): boolean {
        const now = steadyNow();
        const hasHistory = this.historySince !== undefined && now - this.historySince >= minObservationWithHistoryMs;
        return hasHistory || now - this.startedAt >= minObservationMs;
    }

    /** Demand for all items requested within the retention time. */
    public needs(): ItemNeed[] {
        this.removeExpired();
        // Corrects for averages that started at zero recently and underestimate the rate.
        const observedMs = Math.max(halfLifeMs / 2, steadyNow() - this.startedAt);
        const observedShare = this.historySince === undefined ? 1 - 2 ** (-observedMs / halfLifeMs) : 1;
        return [...this.items.values()].map(item => needOf(item, observedShare));
    }

    /** Items of which all requests have gone unserved for `minMs` or more, and still do, the longest first. */
    public unservedItems(minMs: number): UnservedItem[] {
        const now = steadyNow();
        return [...this.items.values()]
            .filter(({ lastRequestAt }) => now - lastRequestAt < unservedListMs)
            .map(item => ({ item, unservedMs: item.unservedSpan.durationMs }))
            .filter(({ unservedMs }) => unservedMs >= minMs)
            .sort((a, b) => b.unservedMs - a.unservedMs)
            .map(({ item: { key, requested, served, rejections, countsByEntry }, unservedMs }) => ({
                key,
                unservedMs,
                requested,
                served,
                waiting: sum(freshCounts(countsByEntry).map(counts => counts.waiting)),
                rejections,
            }));
    }

    private updateThroughput(report: EnginePace): void {
        const name = modelMapKey(report.service, report.model);
        const previous = this.throughputs.get(name) ?? report.tokensPerSecond;
        this.throughputs.set(name, previous + (report.tokensPerSecond - previous) * throughputWeight);
    }

    private updateItem(entry: string, demand: ItemDemand): void {
        const now = steadyNow();
        const key = { service: demand.service, model: demand.model, adapter: demand.adapter };
        const name = itemMapKey(key);
        let item = this.items.get(name);
        if (item === undefined) {
            item = {
                key,
                countsByEntry: new Map(),
                rate: 0,
                work: 0,
                updatedAt: now,
                lastRequestAt: now,
                refusals: [],
                unservedSpan: new UnservedSpan(),
                holderSpan: new UnservedSpan(),
                requested: 0,
                served: 0,
                rejections: {},
            };
            this.items.set(name, item);
        }
        item.countsByEntry.set(entry, { receivedAt: now, running: demand.running, waiting: demand.waiting });
        const decay = decayFactor(item, now);
        item.rate = item.rate * decay + (demand.arrived + demand.earlier) * ratePerRequest;
        item.work = item.work * decay + (Number(demand.work) + demand.earlierWork) * ratePerRequest;
        item.updatedAt = now;
        if (demand.refused > 0) {
            item.refusals.push({ at: now, count: demand.refused });
        }
        if (demand.earlier > 0) {
            this.historySince ??= now;
        }
        if (demand.arrived + demand.running + demand.waiting > 0) {
            item.lastRequestAt = now;
        }
        updateService(item, demand);
        if (demand.waiting + demand.refused > 0) {
            this.log.info("demand.lacking", { entry, item: name, waiting: demand.waiting, refused: demand.refused });
        }
    }

    private removeExpired(): void {
        const now = steadyNow();
        for (const [name, item] of this.items) {
            item.refusals = item.refusals.filter(refusal => now - refusal.at < refusalWindowMs);
            if (now - item.lastRequestAt > retentionMs) {
                this.items.delete(name);
            }
        }
    }
}

/** Updates since when the item's requests go unserved. */
function updateService(item: ItemRecord, { arrived, waiting, served, rejections, earlierUnserved }: ItemDemand): void {
    item.requested += arrived;
    item.served += served;
    if (served > 0) {
        item.unservedSpan.end();
        item.holderSpan.end();
        item.rejections = {};
        return;
    }
    for (const { reason, count } of rejections) {
        if (reason !== lackingReason) {
            item.holderSpan.add(count);
        }
        item.rejections[reason] = (item.rejections[reason] ?? 0) + count;
    }
    if (earlierUnserved !== undefined) {
        const now = steadyNow();
        const { firstMs, lastMs, requests, longestPauseMs } = earlierUnserved;
        item.unservedSpan.merge({ firstAt: now - firstMs, lastAt: now - lastMs, count: requests, longestPauseMs });
    }
    else if (rejections.length + waiting > 0) {
        item.unservedSpan.add(sum(rejections.map(({ count }) => count)));
    }
}

function freshCounts(countsByEntry: ReadonlyMap<string, EntryCounts>): EntryCounts[] {
    const now = steadyNow();
    return [...countsByEntry.values()].filter(counts => now - counts.receivedAt < reportExpiryMs);
}

function needOf(item: ItemRecord, observedShare: number): ItemNeed {
    const now = steadyNow();
    const idleMs = now - item.lastRequestAt;
    // The time since the last request bounds the rate sooner than the average decays.
    const average = item.rate * decayFactor(item, now) / observedShare;
    const rate = Math.min(average, 1000 / Math.max(1, idleMs - maxReportDelayMs));
    const workPerRequest = item.rate > 0 ? item.work / item.rate : 0;
    const fresh = freshCounts(item.countsByEntry);
    const waiting = sum(fresh.map(counts => counts.waiting));
    return {
        key: item.key,
        rate,
        work: rate * workPerRequest,
        running: sum(fresh.map(counts => counts.running)),
        unserved: waiting + sum(item.refusals.map(refusal => refusal.count)),
        idleMs,
        unservedMs: item.unservedSpan.durationMs,
        unservedRequests: item.unservedSpan.current?.count ?? 0,
        longestPauseMs: item.unservedSpan.current?.longestPauseMs ?? 0,
        unservedAtHoldersMs: item.holderSpan.durationMs,
        recoveredMs: item.unservedSpan.recoveredMs(patienceMsOf(item.key)),
    };
}

/** Factor by which an average has decayed since its last update. */
function decayFactor(item: ItemRecord, now: number): number {
    return 2 ** (-(now - item.updatedAt) / halfLifeMs);
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
