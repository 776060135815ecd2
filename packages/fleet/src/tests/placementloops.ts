/**
 * A closed loop without a network: callers, one entry, engines, and the plans of a leader that hears the entry's reports.
 * Callers whose request is rejected come back once, or not at all. Time is mocked.
 */
import { create } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { type EngineModel, type EngineSpec } from "@winchpath/declarations";
import { type TestContext } from "node:test";
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { DemandHistory } from "../demandhistories.js";
import {
    DemandRequestSchema,
    DemandTracker,
    EarlierUnservedSchema,
    type ItemDemand,
    ItemDemandSchema,
    itemMapKey,
    type PlannedOrder,
    planOrders,
    StoreLoadLimiter,
} from "../index.js";
import { LoopEngine } from "./loopengines.js";

const stepMs = 50;
const startTimeMs = 1_000_000;
/** Reports of a new leader's first seconds are collected before it plans, in milliseconds. */
const warmUpMs = 2000;
const defaultReturnMs = 400;
/** Resolution of random numbers. */
const randomSteps = 2 ** 30;
const tokensPerRequest = 1000;
/** Prompt tokens that an engine reads each second. */
const tokensPerSecond = 40_000;

export const loopModel: Omit<EngineModel, "name"> = {
    sizeMb: 72_700,
    loadMs: 1200,
    memoryLoadMs: 1200,
    diskLoadMs: 1200,
    adapters: 0,
    adapterMb: 60,
};

/** Specification of engines that hold two of the models at once. */
export function loopSpec(models: readonly (Partial<EngineModel> & { readonly name: string; })[]): EngineSpec {
    return {
        slots: 64,
        cacheTokens: 160_000,
        memoryMb: 200_000,
        adapterPlaces: 8,
        storeLoadsPerSecond: 6,
        models: models.map(model => ({ ...loopModel, ...model })),
    };
}

/** Demand for one item. */
export interface LoopDemand {
    readonly model: string;
    readonly adapter: string;
    readonly perSecond: number;
}

export interface LoopOptions {
    readonly spec: EngineSpec;
    /** Models that each engine holds at first. */
    readonly engines: readonly (readonly string[])[];
    /** Demand at a time, in milliseconds since the start. */
    readonly demandAt: (ms: number) => readonly LoopDemand[];
    readonly requestMs: number;
    readonly seed: number;
    /** Whether each item is requested at intervals of half to one and a half times the usual one; at random if false. */
    readonly isSteady?: boolean;
    /** Time after which callers of a rejected request come back once, in milliseconds; infinite if they don't. */
    readonly returnMs?: number;
    /** Time that an order takes to reach its engine, in milliseconds. */
    readonly orderMs?: number;
}

/** What callers of one item saw. */
export interface ItemOutcome {
    requested: number;
    served: number;
    firstRequestAt: number;
    lastRequestAt: number;
    /** Time of the first request since the last served one, if there is one. */
    unservedSince: number | undefined;
    /** Longest time between such a request and the next served one, or the end. */
    longestUnservedMs: number;
}

/** A model that an engine was ordered to load, in milliseconds since the start. */
export interface LoopLoad {
    readonly engine: string;
    readonly model: string;
    readonly at: number;
}

export class PlacementLoop {
    public readonly outcomes = new Map<string, ItemOutcome>();
    public readonly orders: PlannedOrder[] = [];
    public readonly loads: LoopLoad[] = [];
    public engines: LoopEngine[];
    private readonly random: RandomGenerator;
    private readonly history = new DemandHistory();
    private readonly retries: { readonly demand: LoopDemand; readonly at: number; }[] = [];
    private readonly storeLimiter: StoreLoadLimiter;
    private reports = new Map<string, ItemDemand>();
    /** Time of the next request for each item, if demand is steady. */
    private readonly dueTimes = new Map<string, number>();
    private tracker: DemandTracker;
    private trackerStartedAt = startTimeMs;
    private isFirstReport = true;

    public constructor(private readonly t: TestContext, private readonly options: LoopOptions) {
        t.mock.timers.reset();
        t.mock.timers.enable({ apis: ["Date"], now: startTimeMs });
        this.random = xoroshiro128plus(options.seed);
        this.engines = options.engines.map((models, index) => new LoopEngine(`e${index}`, options.spec, models));
        this.engines.forEach(engine => engine.orderMs = options.orderMs ?? 0);
        this.tracker = new DemandTracker(silentLog);
        this.storeLimiter = new StoreLoadLimiter(0);
    }

    /** Milliseconds since the start. */
    public get now(): number {
        return Date.now() - startTimeMs;
    }

    /** Plays for a time, in milliseconds. */
    public play(ms: number): void {
        const end = this.now + ms;
        while (this.now < end) {
            this.t.mock.timers.tick(stepMs);
            this.engines.forEach(engine => engine.advance());
            this.request();
            this.report();
            if (Date.now() - this.trackerStartedAt >= warmUpMs) {
                this.plan();
            }
        }
    }

    /** Another leader takes over; it knows only what the entry tells it. */
    public changeLeader(): void {
        this.tracker = new DemandTracker(silentLog);
        this.trackerStartedAt = Date.now();
        this.isFirstReport = true;
    }

    /** Items that were requested four times or more, over eight seconds, and never served. */
    public get neverServed(): string[] {
        return [...this.outcomes].filter(([, { requested, served, firstRequestAt, lastRequestAt }]) =>
            served === 0 && requested >= 4 && lastRequestAt - firstRequestAt >= 8000
        ).map(([name]) => name).sort();
    }

    /** Number of loads of models that were unloaded before they had served a request. */
    public get unusedLoads(): number {
        return sum(this.engines.map(({ unusedLoads }) => unusedLoads));
    }

    /** Longest time that some item went unserved while it was requested, in milliseconds. */
    public get longestUnservedMs(): number {
        return Math.max(0, ...[...this.outcomes.values()].map(outcome => this.unservedMs(outcome)));
    }

    public get servedShare(): number {
        const outcomes = [...this.outcomes.values()];
        return sum(outcomes.map(({ served }) => served)) / sum(outcomes.map(({ requested }) => requested));
    }

    private unservedMs({ unservedSince, longestUnservedMs, lastRequestAt }: ItemOutcome): number {
        return Math.max(longestUnservedMs, unservedSince === undefined ? 0 : lastRequestAt - unservedSince);
    }

    private request(): void {
        const due = this.retries.filter(({ at }) => at <= Date.now());
        due.forEach(retry => this.retries.splice(this.retries.indexOf(retry), 1));
        due.forEach(({ demand }) => this.attempt(demand, true));
        for (const demand of this.options.demandAt(this.now)) {
            if (this.isDue(demand)) {
                this.attempt(demand, false);
            }
        }
    }

    private isDue({ model, adapter, perSecond }: LoopDemand): boolean {
        if (this.options.isSteady !== true) {
            return this.uniform() < perSecond * stepMs / 1000;
        }
        const name = `${model}/${adapter}`;
        const nextAt = () => Date.now() + 1000 / perSecond * (0.5 + this.uniform());
        const dueAt = this.dueTimes.get(name) ?? nextAt();
        const isDue = Date.now() >= dueAt;
        this.dueTimes.set(name, isDue ? nextAt() : dueAt);
        return isDue;
    }

    private attempt(demand: LoopDemand, isRetry: boolean): void {
        const { model, adapter } = demand;
        const key = { service: "s", model, adapter };
        const item = this.itemReport(model, adapter);
        item.arrived += 1;
        item.work += BigInt(tokensPerRequest);
        this.history.record(key, tokensPerRequest);
        const holders = this.engines.filter(engine => engine.holds(model, adapter)).sort((a, b) => a.load - b.load);
        const isServed = holders.some(engine => engine.run(model, adapter, this.options.requestMs));
        this.record(demand, isServed);
        if (isServed) {
            item.served += 1;
            this.history.recordServed(itemMapKey(key));
            return;
        }
        const reason = holders.length === 0 ? "lacking" : "resting";
        item.refused += holders.length === 0 ? 1 : 0;
        item.rejections.push({ $typeName: "winchpath.fleet.v1.Rejection", reason, count: 1 });
        this.history.recordUnserved(itemMapKey(key));
        const { returnMs = defaultReturnMs } = this.options;
        if (!isRetry && Number.isFinite(returnMs)) {
            this.retries.push({ demand, at: Date.now() + returnMs });
        }
    }

    private record({ model, adapter }: LoopDemand, isServed: boolean): void {
        const name = adapter === "" ? model : `${model}/${adapter}`;
        const outcome = this.outcomes.get(name) ?? {
            requested: 0,
            served: 0,
            firstRequestAt: this.now,
            lastRequestAt: this.now,
            unservedSince: undefined,
            longestUnservedMs: 0,
        };
        this.outcomes.set(name, outcome);
        outcome.requested += 1;
        outcome.lastRequestAt = this.now;
        if (isServed) {
            outcome.longestUnservedMs = this.unservedMs(outcome);
            outcome.unservedSince = undefined;
            outcome.served += 1;
        }
        else {
            outcome.unservedSince ??= this.now;
        }
    }

    private report(): void {
        if (this.isFirstReport) {
            this.addHistory();
            this.isFirstReport = false;
        }
        for (const { model, adapter } of this.options.demandAt(this.now)) {
            const running = sum(this.engines.map(engine => engine.runningFor(model, adapter)));
            if (running > 0 || this.reports.has(`${model}/${adapter}`)) {
                this.itemReport(model, adapter).running = running;
            }
        }
        const paces = this.options.spec.models.map(({ name }) => ({ service: "s", model: name, tokensPerSecond }));
        this.tracker.take(
            create(DemandRequestSchema, { entry: "e", intervalMs: stepMs, items: [...this.reports.values()], paces }),
        );
        this.reports = new Map();
    }

    /** Adds what the entry tells a new leader of the time before. */
    private addHistory(): void {
        for (const key of this.history.keys()) {
            const name = itemMapKey(key);
            const item = this.itemReport(key.model, key.adapter);
            const { requests, work } = this.history.decayed(name);
            item.earlier = requests;
            item.earlierWork = work;
            const unserved = this.history.unserved(name);
            item.earlierUnserved = unserved === undefined ? undefined : create(EarlierUnservedSchema, {
                firstMs: Date.now() - unserved.firstAt,
                lastMs: Date.now() - unserved.lastAt,
                requests: unserved.count,
                longestPauseMs: unserved.longestPauseMs,
            });
        }
    }

    private itemReport(model: string, adapter: string): ItemDemand {
        const name = `${model}/${adapter}`;
        const item = this.reports.get(name) ?? create(ItemDemandSchema, { service: "s", model, adapter });
        this.reports.set(name, item);
        return item;
    }

    private plan(): void {
        const { spec } = this.options;
        const { orders } = planOrders({
            service: "s",
            spec,
            engines: this.engines.map(engine => engine.snapshot()),
            needs: this.tracker.needs(),
            storeLoadBudget: this.storeLimiter.availableStarts(spec.storeLoadsPerSecond),
            throughputOf: model => this.tracker.throughputOf("s", model),
        });
        for (const planned of orders) {
            this.orders.push(planned);
            if (planned.fromStore) {
                this.storeLimiter.recordStart();
            }
            if (planned.order.kind === "load" && planned.order.adapter === "") {
                this.loads.push({ engine: planned.engine, model: planned.order.model, at: this.now });
            }
            this.engines.find(({ id }) => id === planned.engine)!.execute(planned.order, planned.freesMemoryFor);
        }
    }

    /** Returns a random number in [0, 1). */
    private uniform(): number {
        return unsafeUniformIntDistribution(0, randomSteps - 1, this.random) / randomSteps;
    }
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
