/** Guards against engines that are ordered to load more than their memory holds after a change of what is declared. */
import { create } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { type Configuration, declaredModelSizes, type EngineModel, ModelSizeHistory } from "@winchpath/declarations";
import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import {
    DemandRequestSchema,
    DemandTracker,
    type EngineOrder,
    HeldModelSchema,
    OrderReply,
    PlacementController,
    type PlanInput,
    planOrders,
    Registry,
} from "../index.js";
import { createAnnouncement, createEngine, createNeed, spec } from "./fixtures.js";
import { advanceTime } from "./mocktimes.js";

/** Time in which a leader learns of demand and acts on it several times, in milliseconds. */
const settleMs = 6000;
const loadMs = 80;
const reportMs = 400;

/** Sizes that a configuration declares, by model, in megabytes. */
type Sizes = Readonly<Record<string, number>>;

function modelsOf(sizes: Sizes): EngineModel[] {
    return Object.entries(sizes).map(([name, sizeMb]) => ({ ...spec.models[0], name, sizeMb, adapterMb: 10 }));
}

/** An engine that keeps the size that each model had when it was loaded. */
class SizedEngine {
    public readonly held = new Map<string, { readonly sizeMb: number; readonly adapters: Set<string>; }>();
    public readonly orders: string[] = [];
    public crashedBy: string | undefined;
    /** Models whose unload waits, as requests run on them. */
    public readonly running = new Set<string>();
    private accepted = 0;
    private busyUntil = 0;
    private unloading: string | undefined;

    public constructor(private readonly trueSizes: () => Sizes, held: Sizes) {
        Object.entries(held).forEach(([name, sizeMb]) => this.held.set(name, { sizeMb, adapters: new Set() }));
    }

    public order({ kind, model, adapter }: EngineOrder, expected: number): OrderReply {
        this.finishUnload();
        if (this.crashedBy !== undefined) {
            return OrderReply.unreachable;
        }
        if (this.isBusy) {
            return OrderReply.conflict;
        }
        const held = this.held.get(model);
        if (adapter === "" && (held !== undefined) === (kind === "load")) {
            return OrderReply.done;
        }
        if (expected !== this.accepted) {
            return OrderReply.conflict;
        }
        const name = adapter === "" ? model : `${model}/${adapter}`;
        this.orders.push(`${kind} ${name}`);
        this.accepted += 1;
        if (adapter !== "") {
            if (kind === "load") {
                held!.adapters.add(adapter);
            }
            else {
                held!.adapters.delete(adapter);
            }
        }
        else if (kind === "load") {
            this.held.set(model, { sizeMb: this.trueSizes()[model], adapters: new Set() });
            this.busyUntil = Date.now() + loadMs;
        }
        else {
            this.unloading = model;
        }
        this.finishUnload();
        if (this.usedMb > spec.memoryMb) {
            this.crashedBy = `${kind} ${name}: ${this.usedMb} MB`;
        }
        return OrderReply.accepted;
    }

    public report() {
        this.finishUnload();
        const models = [...this.held].map(([name, { adapters }]) =>
            create(HeldModelSchema, { name, adapters: [...adapters] })
        );
        return { orders: this.accepted, busy: this.isBusy, models };
    }

    private get isBusy(): boolean {
        return Date.now() < this.busyUntil || this.unloading !== undefined;
    }

    private get usedMb(): number {
        return [...this.held.values()].reduce((sum, { sizeMb, adapters }) => sum + sizeMb + adapters.size * 10, 0);
    }

    private finishUnload(): void {
        if (this.unloading !== undefined && !this.running.has(this.unloading)) {
            this.held.delete(this.unloading);
            this.unloading = undefined;
        }
    }
}

/** A control group whose leader gives orders to one engine, under configurations that change. */
class World {
    public readonly engine: SizedEngine;
    public demand: Readonly<Record<string, number>> = {};
    public readonly running: Record<string, number> = {};
    private configuration!: Configuration;
    private declared: Sizes = {};
    private readonly sizeHistory = new ModelSizeHistory();
    private leader: AbortController | undefined;

    public constructor(declared: Sizes, held: Sizes) {
        this.engine = new SizedEngine(() => this.declared, held);
        this.declare(declared);
    }

    public declare(sizes: Sizes): void {
        this.declared = { ...this.declared, ...sizes };
        const models = modelsOf(sizes);
        this.configuration = { services: [{ name: "s", engine: { ...spec, models } }] } as unknown as Configuration;
        this.sizeHistory.add(declaredModelSizes(this.configuration));
    }

    /** The next leader knows the replicated state, and what the engine and entries tell. */
    public changeLeader(): void {
        this.leader?.abort();
        const stopped = new AbortController();
        this.leader = stopped;
        const registry = new Registry(silentLog);
        const models = this.engine.report().models;
        registry.announce(createAnnouncement("u", 1, { models }));
        const tracker = new DemandTracker(silentLog);
        const configuration = () => this.configuration;
        const control = {
            announceMs: 60_000,
            fence: () => stopped.signal.aborted ? undefined : { holder: "h", token: 7 },
            orderSent: () => undefined,
            get configuration() {
                return configuration();
            },
            documents: { modelSizes: this.sizeHistory },
        };
        const calls = {
            sendOrder: async (_upstream: unknown, order: EngineOrder, expected: number) =>
                this.engine.order(order, expected),
            fetchReport: async () => this.engine.report(),
            backoffMs: () => 0,
        };
        const placement = new PlacementController(control, registry, tracker, calls, silentLog);
        void placement.run(stopped.signal);
        void this.report(tracker, placement, stopped.signal);
    }

    public end(): void {
        this.leader?.abort();
    }

    private async report(tracker: DemandTracker, placement: PlacementController, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const names = [...new Set([...Object.keys(this.demand), ...Object.keys(this.running)])];
            tracker.take(create(DemandRequestSchema, {
                entry: "e",
                intervalMs: reportMs,
                items: names.map(name => {
                    const [model, adapter = ""] = name.split("/");
                    const waiting = this.demand[name] ?? 0;
                    const running = this.running[name] ?? 0;
                    return { service: "s", model, adapter, arrived: waiting, waiting, running };
                }),
            }));
            placement.notify();
            await new Promise(resolve => setTimeout(resolve, reportMs));
        }
    }
}

describe("the memory of an engine, after a change of what is declared", () => {
    const worlds: World[] = [];

    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 }));

    afterEach(async () => {
        worlds.splice(0).forEach(world => world.end());
        await advanceTime(1000);
        mock.timers.reset();
    });

    async function play(declared: Sizes, held: Sizes): Promise<World> {
        const world = new World(declared, held);
        worlds.push(world);
        world.changeLeader();
        await advanceTime(2000);
        return world;
    }

    const four = { m1: 100, m2: 100, m3: 100, m4: 100 };
    const held = { m1: 100, m2: 100, m3: 100 };
    const busy = { m2: 9, m3: 9, m4: 9 };

    // Guards against a model that counts as no memory because it isn't declared any more.
    it("is still taken by a model that was dropped, until that is unloaded", async () => {
        const world = await play(four, held);
        world.declare({ m2: 100, m3: 100, m4: 100 });
        world.demand = busy;
        await advanceTime(settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
        expect([...world.engine.held.keys()].sort()).toEqual(["m2", "m3", "m4"]);
        expect(world.engine.orders).toEqual(["unload m1", "load m4"]);
    });

    it("is still taken by a dropped model on which requests run, and they complete first", async () => {
        const world = await play(four, held);
        world.declare({ m2: 100, m3: 100, m4: 100 });
        world.engine.running.add("m1");
        world.running.m1 = 2;
        world.demand = { m4: 9 };
        await advanceTime(settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
        expect(world.engine.held.has("m1")).toEqual(true);
        delete world.running.m1;
        world.engine.running.delete("m1");
        await advanceTime(settleMs);
        expect(world.engine.held.has("m1")).toEqual(false);
        expect(world.engine.held.has("m4")).toEqual(true);
    });

    it("is still taken by a dropped model that a later leader finds", async () => {
        const world = await play(four, held);
        world.declare({ m2: 100, m3: 100, m4: 100 });
        world.changeLeader();
        world.demand = busy;
        await advanceTime(settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
        expect([...world.engine.held.keys()].sort()).toEqual(["m2", "m3", "m4"]);
    });

    it("is taken by a model of which no declaration is known, as if it were all", async () => {
        const world = await play({ m2: 100, m3: 100 }, { m9: 250 });
        world.demand = { m2: 9 };
        await advanceTime(settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
        expect(world.engine.orders.slice(0, 2)).toEqual(["unload m9", "load m2"]);
    });

    for (const changesLeader of [false, true]) {
        const suffix = changesLeader ? " that another leader has loaded" : "";

        it(`is taken at the size of its load by a model${suffix}, whatever is declared later`, async () => {
            const world = await play({ m1: 250, m2: 100, m3: 100 }, { m1: 250 });
            world.declare({ m1: 50, m2: 100, m3: 100 });
            if (changesLeader) {
                world.changeLeader();
            }
            world.demand = { m1: 9, m2: 9, m3: 9 };
            await advanceTime(settleMs);
            expect(world.engine.crashedBy).toEqual(undefined);
        });
    }

    it("is filled again at the new size once a model was loaded under it", async () => {
        const world = await play({ m1: 250, m2: 100, m3: 100 }, { m1: 250 });
        world.declare({ m2: 100, m3: 100 });
        await advanceTime(settleMs);
        world.declare({ m1: 100, m2: 100, m3: 100 });
        world.demand = { m1: 9, m2: 9, m3: 9 };
        await advanceTime(4 * settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
        expect([...world.engine.held.keys()].sort()).toEqual(["m1", "m2", "m3"]);
    });

    it("is taken at the size of its load by a model that is dropped and declared again, smaller", async () => {
        const world = await play({ m1: 250, m2: 100, m3: 100 }, { m1: 250 });
        world.engine.running.add("m1");
        world.running.m1 = 1;
        world.declare({ m2: 100, m3: 100 });
        await advanceTime(1000);
        world.declare({ m1: 50, m2: 100, m3: 100 });
        world.demand = { m2: 9, m3: 9 };
        await advanceTime(settleMs);
        expect(world.engine.crashedBy).toEqual(undefined);
    });

    const seed = 20261207;

    it(`is never exceeded in random worlds (seed ${seed})`, async () => {
        const names = ["m1", "m2", "m3", "m4"] as const;
        const size = fc.constantFrom(50, 100, 140, 200);
        const step = fc.record({
            declared: fc.dictionary(fc.constantFrom(...names), size, { minKeys: 1 }),
            demanded: fc.subarray(["m1", "m2", "m3", "m4", "m1/a1", "m2/a1", "m3/a2"]),
            running: fc.subarray([...names]),
            changesLeader: fc.boolean(),
            forMs: fc.constantFrom(50, 500, 4000),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 5 }), async steps => {
                const first = { m1: 100, m2: 100, m3: 100, m4: 100 };
                const world = await play(first, { m1: 100, m2: 100, m3: 100 });
                for (const { declared, demanded, running, changesLeader, forMs } of steps) {
                    world.declare(declared as Sizes);
                    world.demand = Object.fromEntries(demanded.map(name => [name, 9]));
                    world.engine.running.clear();
                    names.forEach(name => delete world.running[name]);
                    running.forEach(name => {
                        world.engine.running.add(name);
                        world.running[name] = 1;
                    });
                    if (changesLeader) {
                        world.changeLeader();
                    }
                    await advanceTime(forMs);
                    expect(world.engine.crashedBy).toEqual(undefined);
                }
                world.end();
            }),
            { seed, numRuns: 60, endOnFailure: true },
        );
    });
});

describe("a plan for engines with models that are not declared", () => {
    function plan(values: Partial<PlanInput>): string[] {
        const { orders } = planOrders({
            service: "s",
            spec: { ...spec, models: spec.models.filter(({ name }) => name !== "m1") },
            engines: [],
            needs: [],
            storeLoadBudget: 1,
            throughputOf: () => 10_000,
            ...values,
        });
        return orders.map(({ engine, order }) =>
            `${engine}: ${order.kind} ${order.model}${order.adapter && `/${order.adapter}`}`
        );
    }

    it("unloads them without any demand", () => {
        expect(plan({ engines: [createEngine("e1", ["m1", "m2"])] })).toEqual(["e1: unload m1"]);
    });

    it("doesn't unload them while requests run on them", () => {
        const needs = [createNeed("m1", { running: 1 })];
        expect(plan({ engines: [createEngine("e1", ["m1", "m2"])], needs })).toEqual([]);
    });

    // Guards against adapters that count as no memory because their model isn't declared any more.
    it("loads none of their adapters", () => {
        const needs = [createNeed("m1", { running: 1 }), createNeed("m1", { unserved: 3 }, "a1")];
        const orders = plan({ engines: [createEngine("e1", ["m1"])], needs });
        expect(orders.filter(order => order.includes("m1"))).toEqual([]);
    });

    it("isn't held up by memory that is being freed for one of them", () => {
        const engines = [createEngine("e1", ["m2"], { pendingModel: "m1" })];
        expect(plan({ engines, needs: [createNeed("m3", { unserved: 3 })] })).toEqual(["e1: load m3"]);
    });
});
