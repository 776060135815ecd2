import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
    type EngineSnapshot,
    type ItemNeed,
    type ModelSnapshot,
    type PlanInput,
    type PlannedOrder,
    planOrders,
} from "../index.js";
import { createEngine, createNeed, spec } from "./fixtures.js";

const base: PlanInput = {
    service: "s",
    spec,
    engines: [],
    needs: [],
    storeLoadBudget: 1,
    throughputOf: () => 10_000,
};

function plan(values: Partial<PlanInput>): string[] {
    return planOrders({ ...base, ...values }).orders.map(describePlanned);
}

function describePlanned({ engine: id, order }: PlannedOrder): string {
    return `${id}: ${order.kind} ${order.model}${order.adapter === "" ? "" : `/${order.adapter}`}`;
}

/** Orders that load a model or free memory for it. */
function planFor(model: string, values: Partial<PlanInput>): string[] {
    return planOrders({ ...base, ...values }).orders
        .filter(({ order, freesMemoryFor }) =>
            freesMemoryFor === model || (order.kind === "load" && order.model === model)
        )
        .map(describePlanned);
}

describe("planOrders", () => {
    describe("a model without replicas", () => {
        const unserved = createNeed("m4", { unserved: 1 });
        const full = ["m1", "m2", "m3"];

        it("is loaded on an engine with enough free memory", () => {
            expect(
                planFor("m4", { engines: [createEngine("e1", full), createEngine("e2", ["m1"])], needs: [unserved] }),
            )
                .toEqual(["e2: load m4"]);
        });

        it("is loaded from a host's copy rather than from the store", () => {
            const engines = [createEngine("e1", ["m1"]), createEngine("e2", ["m1"], { onDisk: new Set(["m4"]) })];
            expect(planFor("m4", { engines, needs: [unserved] })).toEqual(["e2: load m4"]);
        });

        it("is loaded from a host's copy even if another model must be evicted", () => {
            const engines = [
                createEngine("e1", ["m1"]),
                createEngine("e2", full, { onDisk: new Set(["m1", "m2", "m3", "m4"]) }),
            ];
            expect(planFor("m4", { engines, needs: [unserved] })).toEqual(["e2: unload m1"]);
        });

        it("is not loaded from the store while no store load may start", () => {
            const values = { engines: [createEngine("e1", ["m1"])], needs: [unserved], storeLoadBudget: 0 };
            expect(planFor("m4", values)).toEqual([]);
        });

        it("replaces a redundant replica, but not the last one of a model in use", () => {
            const needs = [unserved, createNeed("m1", { work: 10 }), createNeed("m2"), createNeed("m3")];
            expect(planFor("m4", { engines: [createEngine("e1", full)], needs })).toEqual([]);
            expect(planFor("m4", { engines: [createEngine("e1", full), createEngine("e2", full)], needs }))
                .toEqual(["e1: unload m1"]);
        });

        it("replaces the last replica of a model without demand", () => {
            const onDisk = new Set(["m1", "m2", "m3", "m4"]);
            const needs = [
                unserved,
                createNeed("m1"),
                createNeed("m2", { idleMs: 30_000, rate: 0, work: 0 }),
                createNeed("m3"),
            ];
            expect(planFor("m4", { engines: [createEngine("e1", full, { onDisk })], needs })).toEqual([
                "e1: unload m2",
            ]);
        });

        it("is not loaded on a second engine while memory is being freed for it on another", () => {
            const engines = [
                createEngine("e1", ["m1", "m2"], { pendingModel: "m4", acceptsModelOrders: false }),
                createEngine("e2", ["m1"]),
            ];
            expect(planFor("m4", { engines, needs: [unserved] })).toEqual([]);
        });

        it("is loaded on the engine where memory was freed for it", () => {
            const engines = [createEngine("e1", ["m1", "m2"], { pendingModel: "m4" }), createEngine("e2", full)];
            expect(planFor("m4", { engines, needs: [unserved] })).toEqual(["e1: load m4"]);
        });

        it("is loaded even if all engines are overloaded", () => {
            const needs = [
                createNeed("m1", { rate: 20, work: 60_000 }),
                createNeed("m4", { rate: 10, work: 30_000, unserved: 20 }),
            ];
            const engines = ["e1", "e2", "e3"].map(id => createEngine(id, full, { onDisk: new Set(["m4"]) }));
            expect(planFor("m4", { engines, needs }).length).toEqual(1);
        });

        // Guards against loads that are given up for the next rare model before they have served anyone.
        it("replaces the last replica of a model that waits for its callers only once it has served them", () => {
            const engines = [createEngine("e1", ["m1"], { onDisk: new Set(["m4"]) })];
            const unservedAdapter = createNeed("m1", { rate: 0.2, unservedMs: 4000, unservedRequests: 4 }, "a1");
            const needsWith = (values: Partial<ItemNeed>) => [
                createNeed("m4", { rate: 20, unserved: 20 }),
                createNeed("m1", { rate: 0.2, ...values }),
                unservedAdapter,
            ];
            const oneModel = { spec: { ...spec, memoryMb: 100 }, engines };
            expect(plan({ ...oneModel, needs: needsWith({ unservedMs: 4000, unservedRequests: 1 }) })).toEqual([]);
            expect(plan({ ...oneModel, needs: needsWith({ idleMs: 300 }) })).toEqual(["e1: unload m1"]);
        });

        it("does not cause a model that it replaces to evict a third one", () => {
            const engines = [
                createEngine("e1", ["m1"], { onDisk: new Set(["m4"]) }),
                createEngine("e2", ["m3"], { onDisk: new Set(["m1"]) }),
            ];
            const needs = [createNeed("m4", { rate: 20, unserved: 20 }), createNeed("m1", { rate: 0.2 })];
            expect(plan({ spec: { ...spec, memoryMb: 100 }, engines, needs })).toEqual(["e1: unload m1"]);
        });
    });

    it("reports models with unserved requests that it loads nowhere", () => {
        const needs = ["m1", "m2", "m3"].map(model => createNeed(model));
        const engines = [createEngine("e1", ["m1", "m2", "m3"])];
        const { unmet } = planOrders({ ...base, engines, needs: [...needs, createNeed("m4", { unserved: 1 })] });
        expect(unmet.map(({ model, availableEngines }) => [model, availableEngines])).toEqual([["m4", 1]]);
    });

    describe("a model without demand", () => {
        it("is loaded into free memory, so that its first requests need not wait", () => {
            expect(plan({ engines: [createEngine("e1", ["m1", "m2", "m3"]), createEngine("e2", ["m1", "m2"])] }))
                .toEqual(["e2: load m4"]);
        });

        it("leaves two replicas of other models before any demand is known", () => {
            const full = ["m1", "m2", "m3"];
            const two = [createEngine("e1", full), createEngine("e2", full)];
            expect(plan({ engines: two })).toEqual([]);
            expect(plan({ engines: [...two, createEngine("e3", full)] })).toEqual(["e1: unload m1"]);
        });

        it("replaces no model that is in use", () => {
            const needs = ["m1", "m2", "m3"].map(model => createNeed(model));
            expect(plan({ engines: [createEngine("e1", ["m1", "m2", "m3"])], needs })).toEqual([]);
        });
    });

    describe("a model with more demand than its replicas can serve", () => {
        it("gets another replica", () => {
            const engines = [createEngine("e1", ["m1"]), createEngine("e2", ["m2"])];
            expect(planFor("m1", { engines, needs: [createNeed("m1", { work: 9000 })] })).toEqual(["e2: load m1"]);
        });

        it("gets no replica while the capacity of engines is unknown", () => {
            const engines = [createEngine("e1", ["m1"]), createEngine("e2", ["m2"])];
            const needs = [createNeed("m1", { work: 9000 })];
            expect(planFor("m1", { engines, needs, throughputOf: () => undefined })).toEqual([]);
        });

        it("replaces a model with few running requests rather than one with many", () => {
            const engines = [
                createEngine("e1", ["m1"]),
                createEngine("e2", ["m2", "m3", "m4"]),
                createEngine("e3", ["m2", "m3", "m4"]),
            ];
            const needs = [
                createNeed("m1", { rate: 10, work: 20_000 }),
                createNeed("m2", { rate: 0.1, work: 1, running: 20 }),
                createNeed("m3", { rate: 0.1, work: 200 }),
                createNeed("m4", { rate: 0.1, work: 200, running: 20 }),
            ];
            expect(planFor("m1", { engines, needs })).toEqual(["e2: unload m3"]);
        });

        it("does not evict a model in use for a load from the store", () => {
            const engines = [createEngine("e1", ["m1"]), createEngine("e2", ["m2", "m3", "m4"])];
            const needs = [createNeed("m1", { work: 9000 }), ...["m2", "m3", "m4"].map(model => createNeed(model))];
            expect(planFor("m1", { engines, needs })).toEqual([]);
        });
    });

    describe("an adapter", () => {
        const unserved = createNeed("m1", { unserved: 1 }, "a1");
        const holding = (adapters: readonly string[]): Partial<EngineSnapshot> => ({
            models: new Map([["m1", {
                isReady: true,
                isUnloading: false,
                sizeMb: 100,
                adapterMb: 1,
                adapters: new Map(adapters.map(name => [name, "held"])),
            }]]),
        });

        it("is loaded on an engine that has loaded its model", () => {
            const engines = [createEngine("e1", ["m1", "m2"]), createEngine("e2", ["m3", "m4"])];
            expect(plan({ engines, needs: [unserved] })).toEqual(["e1: load m1/a1"]);
        });

        it("with unserved requests keeps its engine from loading a model", () => {
            const engines = [createEngine("e1", ["m1"], { freeAdapterLoads: 0 })];
            const needs = [unserved, createNeed("m4", { unserved: 1 })];
            expect(plan({ engines, needs })).toEqual([]);
            expect(plan({ engines, needs: [createNeed("m4", { unserved: 1 })] })).toEqual(["e1: load m4"]);
        });

        it("replaces the adapter that has been idle for longest", () => {
            const engines = [createEngine("e1", [], holding(["a2", "a3"]))];
            const needs = [
                unserved,
                createNeed("m1", { idleMs: 5000, rate: 0, work: 0 }, "a2"),
                createNeed("m1", { idleMs: 9000, rate: 0, work: 0 }, "a3"),
            ];
            expect(plan({ engines, needs })).toEqual(["e1: unload m1/a3"]);
        });

        it("is not loaded for requests of long ago", () => {
            const engines = [createEngine("e1", [], holding(["a2", "a3"])), createEngine("e2", ["m2", "m3", "m4"])];
            expect(plan({ engines, needs: [createNeed("m1", { rate: 0.001, work: 1, idleMs: 5000 }, "a1")] })).toEqual(
                [],
            );
        });

        it("replaces no adapter that is in use", () => {
            const engines = [createEngine("e1", [], holding(["a2", "a3"]))];
            expect(
                plan({
                    engines,
                    needs: [unserved, createNeed("m1", {}, "a2"), createNeed("m1", { running: 1 }, "a3")],
                }),
            )
                .toEqual([]);
        });
    });

    it("never plans a load that exceeds an engine's memory or adapter slots (seed 20261202)", () => {
        const names = spec.models.map(model => model.name);
        const held = fc.record({
            isReady: fc.boolean(),
            isUnloading: fc.boolean(),
            sizeMb: fc.constant(100),
            adapterMb: fc.constant(1),
            adapters: fc.subarray(["a1", "a2"]),
        });
        const anyEngine = fc.record({
            models: fc.dictionary(fc.constantFrom(...names), held, { maxKeys: 3 }),
            coming: fc.option(fc.constantFrom(...names), { nil: undefined }),
            takesModels: fc.boolean(),
        });
        const anyNeed = fc.record({
            model: fc.constantFrom(...names),
            adapter: fc.constantFrom("", "a1", "a2", "a3"),
            work: fc.integer({ min: 0, max: 40_000 }),
            unserved: fc.integer({ min: 0, max: 3 }),
            idleMs: fc.integer({ min: 0, max: 30_000 }),
        });
        fc.assert(
            fc.property(
                fc.array(anyEngine, { maxLength: 4 }),
                fc.array(anyNeed, { maxLength: 6 }),
                (engineValues, needValues) => {
                    const engines = engineValues.map((values, index) =>
                        createEngine(`e${index}`, [], {
                            pendingModel: values.coming,
                            acceptsModelOrders: values.takesModels,
                            models: new Map(
                                Object.entries(values.models).map(([name, model]) => [
                                    name,
                                    { ...model, adapters: new Map(model.adapters.map(adapter => [adapter, "held"])) },
                                ]),
                            ),
                        })
                    );
                    const needs = needValues.map(({ model, adapter, ...values }) => createNeed(model, values, adapter));
                    const { orders } = planOrders({
                        service: "s",
                        spec,
                        engines,
                        needs,
                        storeLoadBudget: 1,
                        throughputOf: () => 10_000,
                    });
                    for (const { engine: id, order } of orders.filter(one => one.order.kind === "load")) {
                        const models = engines.find(one => one.id === id)!.models;
                        expect(usedMb(models) + (order.adapter === "" ? 100 : 1) <= spec.memoryMb).toEqual(true);
                        expect(order.adapter === "" || adapterCount(models) < spec.adapterPlaces).toEqual(true);
                    }
                },
            ),
            { seed: 20261202, numRuns: 300 },
        );
    });
});

function adapterCount(models: ReadonlyMap<string, ModelSnapshot>): number {
    return [...models.values()].reduce((sum, model) => sum + model.adapters.size, 0);
}

function usedMb(models: ReadonlyMap<string, ModelSnapshot>): number {
    return models.size * 100 + adapterCount(models);
}
