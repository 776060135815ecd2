import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type PlanInput, type PlannedEngine, type PlannedModel, planOrders } from "../index.js";
import { engine, need, spec } from "./standins.js";

function plan(values: Partial<PlanInput>) {
    const orders = planOrders({
        service: "s",
        spec,
        engines: [],
        needs: [],
        storeOpen: true,
        capacity: 10_000,
        heardMs: 60_000,
        ...values,
    });
    return orders.map(({ engine: id, order }) =>
        `${id}: ${order.kind} ${order.model}${order.adapter === "" ? "" : `/${order.adapter}`}`
    );
}

describe("planOrders", () => {
    describe("a model that nobody holds", () => {
        const lacking = need("m4", { lacking: 1 });

        it("is loaded where there is room", () => {
            expect(plan({ engines: [engine("e1", ["m1", "m2", "m3"]), engine("e2", ["m1"])], needs: [lacking] }))
                .toEqual(["e2: load m4"]);
        });

        it("comes from a copy rather than from the store", () => {
            const engines = [engine("e1", ["m1"]), engine("e2", ["m1"], { onDisk: new Set(["m4"]) })];
            expect(plan({ engines, needs: [lacking] })).toEqual(["e2: load m4"]);
        });

        it("waits while the store takes no more", () => {
            expect(plan({ engines: [engine("e1", ["m1"])], needs: [lacking], storeOpen: false })).toEqual([]);
        });

        it("takes the place of a replica that is not needed, and not of a last one", () => {
            const engines = [engine("e1", ["m1", "m2", "m3"]), engine("e2", ["m1"])].map(one => ({ ...one }));
            const needs = [lacking, need("m1", { work: 10 }), need("m2"), need("m3")];
            expect(plan({ engines: engines.slice(0, 1), needs })).toEqual([]);
            const full = [engine("e1", ["m1", "m2", "m3"]), engine("e2", ["m1", "m2", "m3"])];
            expect(plan({ engines: full, needs })).toEqual(["e1: unload m1"]);
        });

        it("takes the place of a last replica that was idle for long", () => {
            const needs = [lacking, need("m1"), need("m2", { idleMs: 30_000, work: 0 }), need("m3")];
            expect(plan({ engines: [engine("e1", ["m1", "m2", "m3"])], needs })).toEqual(["e1: unload m2"]);
        });

        it("is not loaded twice while it is on its way", () => {
            const engines = [engine("e1", ["m1", "m2"], { coming: "m4", takesModels: false }), engine("e2", ["m1"])];
            expect(plan({ engines, needs: [lacking] })).toEqual([]);
        });

        it("is loaded where room was made for it", () => {
            const engines = [engine("e1", ["m1", "m2"], { coming: "m4" }), engine("e2", ["m1"])];
            expect(plan({ engines, needs: [lacking] })).toEqual(["e1: load m4"]);
        });
    });

    describe("a model with more work than its replicas can do", () => {
        it("gets another replica", () => {
            const engines = [engine("e1", ["m1"]), engine("e2", ["m2"])];
            expect(plan({ engines, needs: [need("m1", { work: 9000 })] })).toEqual(["e2: load m1"]);
        });

        it("gets none while nobody knows what an engine can do", () => {
            const engines = [engine("e1", ["m1"]), engine("e2", ["m2"])];
            expect(plan({ engines, needs: [need("m1", { work: 9000 })], capacity: undefined })).toEqual([]);
        });
    });

    describe("an adapter", () => {
        const wanted = need("m1", { lacking: 1 }, "a1");
        const holding = (adapters: readonly string[]): Partial<PlannedEngine> => ({
            models: new Map([["m1", {
                ready: true,
                leaving: false,
                adapters: new Map(adapters.map(name => [name, true])),
            }]]),
        });

        it("is loaded on an engine that holds its model", () => {
            expect(plan({ engines: [engine("e1", ["m1"]), engine("e2", ["m2"])], needs: [wanted] }))
                .toEqual(["e1: load m1/a1"]);
        });

        it("keeps its engine from loading a model while it is waited for", () => {
            const engines = [engine("e1", ["m1"], { freeTransits: 0 })];
            const needs = [wanted, need("m4", { lacking: 1 })];
            expect(plan({ engines, needs })).toEqual([]);
            expect(plan({ engines, needs: [need("m4", { lacking: 1 })] })).toEqual(["e1: load m4"]);
        });

        it("takes the place of the one that is idle for longest", () => {
            const engines = [engine("e1", [], holding(["a2", "a3"]))];
            const needs = [
                wanted,
                need("m1", { idleMs: 5000, rate: 0, work: 0 }, "a2"),
                need("m1", { idleMs: 9000, rate: 0, work: 0 }, "a3"),
            ];
            expect(plan({ engines, needs })).toEqual(["e1: unload m1/a3"]);
        });

        it("is not loaded again for what was asked long ago", () => {
            const engines = [engine("e1", [], holding(["a2", "a3"]))];
            expect(plan({ engines, needs: [need("m1", { rate: 0.001, work: 1, idleMs: 5000 }, "a1")] })).toEqual([]);
        });

        it("takes no place of one that is in use", () => {
            const engines = [engine("e1", [], holding(["a2", "a3"]))];
            expect(plan({ engines, needs: [wanted, need("m1", {}, "a2"), need("m1", { running: 1 }, "a3")] }))
                .toEqual([]);
        });
    });

    it("never plans more than an engine has room for (seed 20261202)", () => {
        const names = spec.models.map(model => model.name);
        const held = fc.record({ ready: fc.boolean(), leaving: fc.boolean(), adapters: fc.subarray(["a1", "a2"]) });
        const anyEngine = fc.record({
            models: fc.dictionary(fc.constantFrom(...names), held, { maxKeys: 3 }),
            coming: fc.option(fc.constantFrom(...names), { nil: undefined }),
            takesModels: fc.boolean(),
        });
        const anyNeed = fc.record({
            model: fc.constantFrom(...names),
            adapter: fc.constantFrom("", "a1", "a2", "a3"),
            work: fc.integer({ min: 0, max: 40_000 }),
            lacking: fc.integer({ min: 0, max: 3 }),
            idleMs: fc.integer({ min: 0, max: 30_000 }),
        });
        fc.assert(
            fc.property(fc.array(anyEngine, { maxLength: 4 }), fc.array(anyNeed, { maxLength: 6 }), (some, wants) => {
                const engines = some.map((one, index) =>
                    engine(`e${index}`, [], {
                        coming: one.coming,
                        takesModels: one.takesModels,
                        models: new Map(
                            Object.entries(one.models).map(([name, model]) => [
                                name,
                                { ...model, adapters: new Map(model.adapters.map(adapter => [adapter, true])) },
                            ]),
                        ),
                    })
                );
                const needs = wants.map(({ model, adapter, ...values }) => need(model, values, adapter));
                const orders = planOrders({
                    service: "s",
                    spec,
                    engines,
                    needs,
                    storeOpen: true,
                    capacity: 10_000,
                    heardMs: 60_000,
                });
                for (const { engine: id, order } of orders.filter(one => one.order.kind === "load")) {
                    const models = engines.find(one => one.id === id)!.models;
                    expect(usedMb(models) + (order.adapter === "" ? 100 : 1) <= spec.memoryMb).toEqual(true);
                    expect(order.adapter === "" || adapterCount(models) < spec.adapterPlaces).toEqual(true);
                }
            }),
            { seed: 20261202, numRuns: 300 },
        );
    });
});

function adapterCount(models: ReadonlyMap<string, PlannedModel>): number {
    return [...models.values()].reduce((sum, model) => sum + model.adapters.size, 0);
}

function usedMb(models: ReadonlyMap<string, PlannedModel>): number {
    return models.size * 100 + adapterCount(models);
}
