/** What callers ask for, as the leader hears it from all entries. */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type DemandRequest, type EnginePace, type ItemDemand } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type ItemKey, itemName, modelName } from "./items.js";

/** An entry's counts are left out after this long without a report: three reports at the usual half second. */
const staleMs = 2000;
/**
 * Rates halve in this time without requests. Demand moves within a few seconds;
 * with less, a single request would look like a model that becomes busy.
 */
export const halfLifeMs = 3000;
/** What one request adds to an average that fades so. */
const perSecond = Math.LN2 / (halfLifeMs / 1000);
/** A refused request may come again within this time, a third of a usual deadline. */
const refusedMs = 3000;
/** A request is reported within this time of its arrival. */
const reportedWithinMs = 500;
/** Share of one entry's report in what is known of a pace. */
const paceShare = 0.3;
/** What was not asked for in this time is forgotten. */
const forgetMs = 120_000;

/** Nothing is ordered before demand was heard for this long: three reports of each entry. */
const leastHeardMs = 1500;
/** The same where entries told what was asked for before: one report of each. */
const leastToldMs = 600;

const nothing: ReadonlySet<string> = new Set();

/** Demand for one model or adapter over all entries. */
export interface ItemNeed {
    readonly key: ItemKey;
    /** Requests a second, smoothed. */
    readonly rate: number;
    /** What those need of engines, in tokens of a prompt a second. */
    readonly work: number;
    /** Requests that run now. */
    readonly running: number;
    /** Requests that wait, or were refused lately, since nobody holds it. */
    readonly lacking: number;
    /** Milliseconds since it was last asked for. */
    readonly idleMs: number;
}

interface Counts {
    readonly at: number;
    readonly running: number;
    readonly waiting: number;
}

interface Item {
    readonly key: ItemKey;
    readonly byEntry: Map<string, Counts>;
    rate: number;
    work: number;
    ratedAt: number;
    askedAt: number;
    refusals: { readonly at: number; readonly count: number; }[];
}

export class DemandBook {
    private readonly items = new Map<string, Item>();
    private readonly paces = new Map<string, number>();
    /** Models that requests wait for, by entry, as each has reported last. */
    private readonly awaited = new Map<string, ReadonlySet<string>>();
    private readonly since = steadyNow();
    /** Since when entries tell what was asked for before; undefined where none did. */
    private toldSince: number | undefined;

    public constructor(private readonly log: EventLog) {}

    public take(report: DemandRequest): void {
        report.items.forEach(demand => this.takeItem(report.entry, demand));
        const waiting = report.items.filter(item => item.waiting > 0);
        this.awaited.set(report.entry, new Set(waiting.map(item => modelName(item.service, item.model))));
        report.paces.forEach(pace => this.takePace(pace));
    }

    /** What an engine can read for a model in a second, in tokens of a prompt; undefined where nobody knows. */
    public paceOf(service: string, model: string): number | undefined {
        return this.paces.get(modelName(service, model));
    }

    /** Models that requests wait for at an entry, by {@link modelName}. */
    public awaitedAt(entry: string): ReadonlySet<string> {
        return this.awaited.get(entry) ?? nothing;
    }

    /** Whether enough is known of demand to act on it. */
    public get isHeard(): boolean {
        const now = steadyNow();
        const told = this.toldSince !== undefined && now - this.toldSince >= leastToldMs;
        return told || now - this.since >= leastHeardMs;
    }

    /** All that was asked for lately. */
    public needs(): ItemNeed[] {
        this.forgetOld();
        // Averages that have just begun tell of less than there is.
        const heardMs = Math.max(halfLifeMs / 2, steadyNow() - this.since);
        const heardShare = this.toldSince === undefined ? 1 - 2 ** (-heardMs / halfLifeMs) : 1;
        return [...this.items.values()].map(item => needOf(item, heardShare));
    }

    private takePace(pace: EnginePace): void {
        const name = modelName(pace.service, pace.model);
        const before = this.paces.get(name) ?? pace.tokensPerSecond;
        this.paces.set(name, before + (pace.tokensPerSecond - before) * paceShare);
    }

    private takeItem(entry: string, demand: ItemDemand): void {
        const now = steadyNow();
        const key = { service: demand.service, model: demand.model, adapter: demand.adapter };
        const name = itemName(key);
        let item = this.items.get(name);
        if (item === undefined) {
            item = { key, byEntry: new Map(), rate: 0, work: 0, ratedAt: now, askedAt: now, refusals: [] };
            this.items.set(name, item);
        }
        item.byEntry.set(entry, { at: now, running: demand.running, waiting: demand.waiting });
        const kept = keptShare(item, now);
        item.rate = item.rate * kept + (demand.arrived + demand.earlier) * perSecond;
        item.work = item.work * kept + (Number(demand.work) + demand.earlierWork) * perSecond;
        item.ratedAt = now;
        if (demand.refused > 0) {
            item.refusals.push({ at: now, count: demand.refused });
        }
        if (demand.earlier > 0) {
            this.toldSince ??= now;
        }
        if (demand.arrived + demand.running + demand.waiting > 0) {
            item.askedAt = now;
        }
        if (demand.waiting + demand.refused > 0) {
            this.log.info("demand.lacking", { entry, item: name, waiting: demand.waiting, refused: demand.refused });
        }
    }

    private forgetOld(): void {
        const now = steadyNow();
        for (const [name, item] of this.items) {
            item.refusals = item.refusals.filter(refusal => now - refusal.at < refusedMs);
            if (now - item.askedAt > forgetMs) {
                this.items.delete(name);
            }
        }
    }
}

function needOf(item: Item, heardShare: number): ItemNeed {
    const now = steadyNow();
    const idleMs = now - item.askedAt;
    // Silence tells sooner than the average that demand has moved on.
    const average = item.rate * keptShare(item, now) / heardShare;
    const rate = Math.min(average, 1000 / Math.max(1, idleMs - reportedWithinMs));
    const workPerRequest = item.rate > 0 ? item.work / item.rate : 0;
    const fresh = [...item.byEntry.values()].filter(counts => now - counts.at < staleMs);
    const waiting = sum(fresh.map(counts => counts.waiting));
    return {
        key: item.key,
        rate,
        work: rate * workPerRequest,
        running: sum(fresh.map(counts => counts.running)),
        lacking: waiting + sum(item.refusals.map(refusal => refusal.count)),
        idleMs,
    };
}

/** What is left of an average after the time since it was last brought up to date. */
function keptShare(item: Item, now: number): number {
    return 2 ** (-(now - item.ratedAt) / halfLifeMs);
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
