/** Guards against models and adapters that callers ask for again and again and that are never served. */
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { type LoopDemand, type LoopOptions, loopSpec, PlacementLoop } from "./placementloops.js";

const lightRequestMs = 300;
const streamMs = 3000;

function adaptersOf(model: string, count: number, perSecond: (index: number) => number): LoopDemand[] {
    return Array.from({ length: count }, (_, index) => ({ model, adapter: `a${index}`, perSecond: perSecond(index) }));
}

/** Rates that fall from 1 to a tenth. */
const uneven = (index: number) => 1 / (1 + index / 8);
const even = () => 0.3;

function play(t: TestContext, ms: number, options: Partial<LoopOptions> & Pick<LoopOptions, "spec" | "engines">) {
    const loop = new PlacementLoop(t, { demandAt: () => [], requestMs: lightRequestMs, seed: 1, ...options });
    loop.play(ms);
    return loop;
}

describe("demand for more adapters of a model than its engines have places for", () => {
    const spec = loopSpec([{ name: "m0", adapters: 80 }, { name: "m1" }, { name: "m2" }, { name: "m3" }]);

    it("is all served while engines are empty", t => {
        const engines = [["m0"], ["m0"], [], [], [], [], [], []];
        const loop = play(t, 30_000, { spec, engines, demandAt: () => adaptersOf("m0", 72, even) });
        t.diagnostic(`served ${loop.servedShare.toFixed(2)}, ${loop.loads.length} loads, ${loop.orders.length} orders`);
        expect(loop.neverServed).toEqual([]);
    });

    it("is all served while engines with other models have free memory", t => {
        const engines = [["m0"], ["m0"], ["m1"], ["m1"], ["m2"], ["m2"], ["m3"], ["m3"]];
        const others = ["m1", "m2", "m3"].map(model => ({ model, adapter: "", perSecond: 2 }));
        const loop = play(t, 30_000, { spec, engines, demandAt: () => [...adaptersOf("m0", 72, even), ...others] });
        t.diagnostic(`served ${loop.servedShare.toFixed(2)}, ${loop.loads.length} loads, ${loop.orders.length} orders`);
        expect(loop.neverServed).toEqual([]);
    });

    it("is all served in turns while all engines hold the model", t => {
        const engines = [["m0"], ["m0"], ["m0"], ["m0"]];
        for (const perSecond of [even, uneven]) {
            const demandAt = () => adaptersOf("m0", 72, perSecond);
            const loop = play(t, 60_000, { spec, engines, requestMs: streamMs, demandAt });
            t.diagnostic(`served ${loop.servedShare.toFixed(2)}, ${loop.orders.length} orders`);
            expect(loop.neverServed).toEqual([]);
        }
    });
});

describe("demand for rare models", () => {
    const busy = Array.from({ length: 6 }, (_, index) => `m${index}`);
    const rare = Array.from({ length: 14 }, (_, index) => `r${index}`);
    const spec = loopSpec([...busy, ...rare].map(name => ({ name })));
    const demandFor = (models: readonly string[], perSecond: number): LoopDemand[] =>
        models.map(model => ({ model, adapter: "", perSecond }));
    /** Each busy model is held twice, and all memory is in use. */
    const engines = busy.map((model, index) => [model, busy[(index + 1) % busy.length]]);

    it("is served while busy models have several replicas", t => {
        const demandAt = () => [...demandFor(busy, 45), ...demandFor(rare.slice(0, 3), 0.5)];
        const loop = play(t, 30_000, { spec, engines, demandAt });
        t.diagnostic(`unserved for ${loop.longestUnservedMs} ms at most, ${loop.loads.length} loads`);
        expect(loop.neverServed).toEqual([]);
    });

    it("is served in turns while memory is too small for all", t => {
        const demandAt = () => [...demandFor(busy, 10), ...demandFor(rare, 0.4)];
        const loop = play(t, 60_000, { spec, engines, requestMs: 2000, demandAt });
        t.diagnostic(`unserved for ${loop.longestUnservedMs} ms at most, ${loop.loads.length} loads`);
        expect(loop.neverServed).toEqual([]);
    });

    it("is served although its only holder rejects all requests", t => {
        const options = {
            spec,
            engines: [["r0"], ...engines],
            demandAt: () => [...demandFor(busy, 35), ...demandFor(["r0"], 0.7)],
        };
        const loop = new PlacementLoop(t, { ...options, requestMs: lightRequestMs, seed: 1 });
        loop.engines[0].rejectsAll = true;
        loop.play(30_000);
        expect(loop.neverServed).toEqual([]);
    });
});

describe("a model that was loaded for unserved requests", () => {
    const names = Array.from({ length: 24 }, (_, index) => `m${index}`);
    const spec = loopSpec(names.map(name => ({ name })));

    it("is not given up before its callers come back", t => {
        const engines = [0, 2, 4, 6, 8, 10].map(first => names.slice(first, first + 2));
        const demandAt = () => names.map((model, index) => ({ model, adapter: "", perSecond: index < 4 ? 8 : 0.6 }));
        const loop = play(t, 60_000, { spec, engines, requestMs: 1500, demandAt });
        t.diagnostic(
            `${loop.unusedLoads} of ${loop.loads.length} loads served nothing, never served: ${loop.neverServed}`,
        );
        expect(loop.neverServed).toEqual([]);
        expect(loop.unusedLoads).toEqual(0);
    });
});

describe("a bound on the time that an item goes unserved", () => {
    const names = Array.from({ length: 16 }, (_, index) => `m${index}`);
    const spec = loopSpec(names.map((name, index) => ({ name, adapters: index < 2 ? 24 : 0 })));
    const engines = Array.from({ length: 10 }, (_, index) => [names[index % 8], names[(index + 1) % 8]]);
    /** Patience, the drain of what runs, a load, and the time until callers ask again. */
    const maxUnservedMs = 20_000;

    /** Steady demand for eight models and some adapters, which moves on by `offset` models. */
    const demandFrom = (offset: number) => [
        ...names.slice(offset, offset + 8).map((model, index) => ({ model, adapter: "", perSecond: 12 / (1 + index) })),
        ...adaptersOf("m0", 20, even),
    ];

    it("holds though the leader is lost midway", t => {
        const loop = new PlacementLoop(t, {
            spec,
            engines,
            requestMs: 1000,
            seed: 3,
            isSteady: true,
            demandAt: () => demandFrom(0),
        });
        for (let time = 0; time < 8; time++) {
            loop.play(4000);
            loop.changeLeader();
        }
        loop.play(6000);
        t.diagnostic(`unserved for ${loop.longestUnservedMs} ms at most, ${loop.loads.length} loads`);
        expect(loop.neverServed).toEqual([]);
        expect(loop.longestUnservedMs <= maxUnservedMs).toEqual(true);
    });

    it("holds though engines are lost for good", t => {
        const loop = new PlacementLoop(t, {
            spec,
            engines,
            requestMs: 1000,
            seed: 4,
            isSteady: true,
            demandAt: () => demandFrom(0),
        });
        loop.play(5000);
        loop.engines = loop.engines.slice(4);
        loop.play(40_000);
        t.diagnostic(`unserved for ${loop.longestUnservedMs} ms at most, ${loop.loads.length} loads`);
        expect(loop.neverServed).toEqual([]);
        expect(loop.longestUnservedMs <= maxUnservedMs).toEqual(true);
    });

    it("holds while demand moves to other models", t => {
        const demandAt = (ms: number) => demandFrom(Math.floor(ms / 10_000) * 2);
        const loop = play(t, 40_000, { spec, engines, requestMs: 1000, seed: 5, isSteady: true, demandAt });
        t.diagnostic(`unserved for ${loop.longestUnservedMs} ms at most, ${loop.loads.length} loads`);
        expect(loop.neverServed).toEqual([]);
        expect(loop.longestUnservedMs <= maxUnservedMs).toEqual(true);
    });

    const fleetCount = 60;
    it(`holds in ${fleetCount} random fleets with memory for all models (seeds 1 to ${fleetCount})`, t => {
        let longestMs = 0;
        let unused = 0;
        for (let seed = 1; seed <= fleetCount; seed++) {
            const loop = randomFleet(t, seed);
            loop.play(45_000);
            longestMs = Math.max(longestMs, loop.longestUnservedMs);
            unused += loop.unusedLoads;
            expect([seed, loop.neverServed]).toEqual([seed, []]);
        }
        t.diagnostic(`unserved for ${longestMs} ms at most, ${unused} loads unused`);
        expect(longestMs <= maxUnservedMs).toEqual(true);
    });

    /** A fleet with memory for each model once and places for each adapter once, whatever it holds at first. */
    function randomFleet(t: TestContext, seed: number): PlacementLoop {
        const engineCount = 3 + seed % 6;
        const models = names.slice(0, Math.min(names.length, 2 * engineCount - 1 - seed % 2));
        const adapterCount = seed * 7 % (4 * engineCount);
        const demand = [
            ...models.map((model, index) => ({
                model,
                adapter: "",
                perSecond: index === seed % 3 ? 25 : 0.5 + seed % 4 / 2,
            })),
            ...adaptersOf("m0", adapterCount, even),
        ];
        const held = Array.from(
            { length: engineCount },
            (_, index) => seed % 5 === 0 ? [] : [models[index % 2], models[2]],
        );
        const fleetSpec = loopSpec(names.map(name => ({ name, adapters: name === "m0" ? 80 : 0 })));
        return new PlacementLoop(t, {
            spec: fleetSpec,
            engines: held.map(list => [...new Set(list)]),
            requestMs: 400 + seed % 5 * 400,
            seed,
            isSteady: true,
            demandAt: () => demand,
        });
    }
});
