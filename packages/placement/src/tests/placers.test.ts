import { Catalogue, type Resource } from "@winchpath/declarations";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type AcceleratorView, type Demand, IncrementalPlacer, nameOf, type PlacementView } from "../index.js";

const seed = 20261202;
const gibibyte = 2 ** 30;
const spareDelayMs = 60_000;

function model(name: string, gibibytes: number, spec: object = {}): Resource {
    const full = { version: "1", memory: `${gibibytes} GiB`, ...spec };
    return { kind: "Model", name, version: 1, operator: "o", changeId: "c", spec: full };
}

/** An accelerator that holds these items (sizes in GiB), all ready. */
function accelerator(
    upstream: string,
    gibibytes: number,
    held: Record<string, number>,
    changes: Partial<AcceleratorView> = {},
): AcceleratorView {
    const used = Object.values(held).reduce((sum, size) => sum + size, 0);
    return {
        upstream,
        accelerator: "a0",
        dataCentre: upstream,
        speed: 1,
        bytes: gibibytes * gibibyte,
        capacity: 8,
        stays: true,
        orderable: true,
        free: (gibibytes - used) * gibibyte,
        items: new Map(
            Object.entries(held).map((
                [item, size],
            ) => [item, { state: "resident", bytes: size * gibibyte, ready: true }]),
        ),
        ...changes,
    };
}

function view(
    resources: Resource[],
    accelerators: AcceleratorView[],
    demand: Record<string, number> = {},
): PlacementView {
    const busy = Object.entries(demand).map(([name, value]): [string, Demand] => [name, { rate: 0, busy: value }]);
    return { catalogue: new Catalogue(1, resources), accelerators, demand: new Map(busy), moveCost: 0.5 };
}

function plan(planned: PlacementView, placer = new IncrementalPlacer(spareDelayMs)): string[] {
    return placer.plan(planned).map(({ kind, item, upstream }) => `${kind} ${item} ${upstream}`);
}

describe("IncrementalPlacer", () => {
    it("loads unreachable models first, by priority before size", () => {
        const resources = [
            model("big", 6),
            model("urgent", 2, { priority: 9 }),
            model("second", 1, { minReplicas: 2 }),
        ];
        const accelerators = [accelerator("x", 20, { "second@1": 1 }), accelerator("y", 20, {})];
        expect(plan(view(resources, accelerators)).slice(0, 2)).toEqual(["load urgent@1 y", "load big@1 y"]);
    });

    it("places a second replica in another data centre", () => {
        const resources = [model("m", 2, { minReplicas: 2 })];
        const near = accelerator("y", 20, {}, { dataCentre: "x" });
        const accelerators = [accelerator("x", 20, { "m@1": 2 }), near, accelerator("z", 20, {})];
        expect(plan(view(resources, accelerators))).toEqual(["load m@1 z"]);
    });

    it("unloads one of two earlier versions that share a full accelerator", () => {
        const resources = ["a", "b", "c", "d"].map(name => model(name, 3, { version: "3" }));
        const accelerators = [
            accelerator("x", 10, { "a@1": 3, "a@2": 3, "b@1": 3 }),
            accelerator("y", 10, { "c@1": 3, "c@2": 3, "d@1": 3 }),
        ];
        // The other models wait until this memory is free.
        expect(plan(view(resources, accelerators))).toEqual(["unload a@1 x"]);
    });

    it("adds no replica for demand below the move cost", () => {
        const resources = [model("m", 2)];
        const accelerators = () => [accelerator("x", 20, { "m@1": 2 }), accelerator("y", 20, {})];
        // A replica serves 0.7 of its 8 concurrent requests; the move cost is half a replica.
        expect(plan(view(resources, accelerators(), { m: 8 }))).toEqual([]);
        expect(plan(view(resources, accelerators(), { m: 9 }))).toEqual(["load m@1 y"]);
    });

    it("does not unload idle replicas while no model needs their memory", () => {
        const accelerators = [accelerator("x", 10, { "m@1": 2 }), accelerator("y", 10, { "m@1": 2 })];
        expect(plan(view([model("m", 2)], accelerators))).toEqual([]);
    });

    it("unloads a surplus replica for a model that fits nowhere, and loads that model only in a later plan", () => {
        const resources = [model("m", 6), model("n", 6)];
        const accelerators = [accelerator("x", 8, { "m@1": 6 }), accelerator("y", 8, { "m@1": 6 })];
        expect(plan(view(resources, accelerators))).toEqual(["unload m@1 x"]);
    });

    // Guards against a model that is never loaded as long as another one's replicas are all busy.
    it("unloads a busy replica beyond the declared ones for a model that has none", () => {
        const accelerators = () => [accelerator("x", 8, { "m@1": 6 }), accelerator("y", 8, { "m@1": 6 })];
        expect(plan(view([model("m", 6), model("n", 6)], accelerators(), { m: 20 }))).toEqual(["unload m@1 x"]);
        const declared = [model("m", 6, { minReplicas: 2 }), model("n", 6)];
        expect(plan(view(declared, accelerators(), { m: 20 }))).toEqual([]);
    });

    it("relocates a model by loading it elsewhere first", () => {
        const resources = [model("m", 2), model("huge", 8)];
        const accelerators = [accelerator("x", 8, { "m@1": 2 }), accelerator("y", 4, {})];
        expect(plan(view(resources, accelerators))).toEqual(["load m@1 y"]);
    });

    it("keeps an earlier version until the declared one is ready", () => {
        const resources = [model("m", 2, { version: "2" })];
        expect(plan(view(resources, [accelerator("x", 10, { "m@1": 2 })]))).toEqual(["load m@2 x"]);
        expect(plan(view(resources, [accelerator("x", 10, { "m@1": 2, "m@2": 2 })]))).toEqual(["unload m@1 x"]);
    });

    it("replaces the replica of a draining upstream and loads nothing new there", () => {
        const draining = accelerator("x", 20, { "m@1": 2 }, { stays: false });
        expect(plan(view([model("m", 2)], [draining, accelerator("y", 20, {})]))).toEqual(["load m@1 y"]);
    });

    it("unloads an adapter without its model only when memory is short", () => {
        const adapter: Resource = {
            ...model("a", 1),
            kind: "Adapter",
            spec: { model: "m", version: "1", memory: "1 GiB" },
        };
        const full = accelerator("x", 3, { "m@1": 2, "a@1": 1 });
        const planFor = (gibibytes: number) =>
            plan(view([model("m", 2), adapter], [full, accelerator("y", gibibytes, { "a@1": 1 })]));
        expect(planFor(1)).toEqual(["unload a@1 y"]);
        expect(planFor(10)).toEqual([]);
    });

    it("adds a spare in another data centre only after the delay", t => {
        t.mock.timers.enable({ apis: ["Date"] });
        const placer = new IncrementalPlacer(spareDelayMs);
        const planned = view([model("m", 2)], [accelerator("x", 20, { "m@1": 2 }), accelerator("y", 20, {})]);
        expect(plan(planned, placer)).toEqual([]);
        t.mock.timers.tick(spareDelayMs);
        expect(plan(planned, placer)).toEqual(["load m@1 y"]);
    });

    it(`never unloads the last ready replica of a declared model or exceeds the memory (seed ${seed})`, () => {
        const size = fc.integer({ min: 1, max: 6 });
        const holdings = fc.dictionary(fc.constantFrom("a@1", "b@1", "c@1", "a@2", "gone@1"), size, { maxKeys: 4 });
        const inputs = fc.record({
            sizes: fc.record({ a: size, b: size, c: size, d: size }),
            version: fc.constantFrom("1", "2"),
            held: fc.array(holdings, { minLength: 1, maxLength: 4 }),
            busy: fc.record({ a: fc.integer({ min: 0, max: 40 }), b: fc.integer({ min: 0, max: 40 }) }),
        });
        fc.assert(
            fc.property(inputs, ({ sizes, version, held, busy }) => {
                const resources = [
                    model("a", sizes.a, { version }),
                    model("b", sizes.b),
                    model("c", sizes.c),
                    model("d", sizes.d),
                ];
                const accelerators = held.map((items, index) => accelerator(`x${index}`, 24, items));
                const actions = new IncrementalPlacer(0).plan(view(resources, accelerators, busy));
                const readyOf = (name: string) =>
                    accelerators.flatMap(({ upstream, items }) =>
                        [...items.keys()].filter(id => nameOf(id) === name).map(id => `${upstream}/${id}`)
                    );
                for (const { name } of resources) {
                    const unloaded = new Set(
                        actions.filter(({ kind, item }) => kind === "unload" && nameOf(item) === name)
                            .map(({ upstream, item }) => `${upstream}/${item}`),
                    );
                    const before = readyOf(name);
                    expect(before.length === 0 || before.some(place => !unloaded.has(place))).toEqual(true);
                }
                for (const { upstream, free } of accelerators) {
                    const loads = actions.filter(action => action.kind === "load" && action.upstream === upstream);
                    expect(loads.reduce((sum, { bytes }) => sum + bytes, 0) <= free).toEqual(true);
                }
            }),
            { seed, numRuns: 500 },
        );
    });
});
