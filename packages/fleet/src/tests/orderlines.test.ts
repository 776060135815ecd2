import { Notifier, silentLog, sleep, steadyNow, until } from "@winchpath/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type EngineOrder, type Fence, OrderLine, OrderReply, type Registry } from "../index.js";
import { announcement, registryWith, ScriptedEngine } from "./standins.js";

function order(kind: EngineOrder["kind"], model: string, adapter = ""): EngineOrder {
    return { kind, model, adapter };
}

async function lineFor(engine: ScriptedEngine, fence: () => Fence | undefined = () => ({ holder: "h", token: 7 })) {
    const registry = registryWith(announcement("u", 1));
    const settled = new Notifier();
    const fenced: string[] = [];
    const unreachable: string[] = [];
    const owner = {
        fence,
        gave: () => undefined,
        unreachable: (id: string) => unreachable.push(id),
        fenced: (id: string) => fenced.push(id),
        settled: () => settled.notify(),
    };
    const line = new OrderLine("u", registry, engine, owner, silentLog);
    await line.sync();
    return { line, registry, fenced, unreachable, settled };
}

function held(registry: Registry): string[] {
    return registry.get("u")!.upstream.models.flatMap(model => [
        model.name,
        ...model.adapters.map(adapter => `${model.name}/${adapter}`),
    ]);
}

describe("OrderLine", () => {
    it("gives no order to an engine that is busy with a load nobody told it of", async () => {
        const engine = new ScriptedEngine();
        engine.busy = true;
        const { line } = await lineFor(engine);
        expect(line.free).toEqual(false);
        engine.busy = false;
        await line.sync();
        expect(line.free).toEqual(true);
    });

    it("sends nothing to an engine that wants rest from this host, and goes on once that is over", async () => {
        const engine = new ScriptedEngine();
        const { line, registry } = await lineFor(engine);
        engine.restsUntil = steadyNow() + 120;
        const startedAt = steadyNow();
        await line.give(order("load", "m1"), 1);
        expect(held(registry)).toEqual(["m1"]);
        expect(steadyNow() - startedAt).toBeGreaterThanOrEqual(120);
    });

    it("says what is held once a load has ended", async () => {
        const engine = new ScriptedEngine();
        const { line, registry } = await lineFor(engine);
        await line.give(order("load", "m1"), 1);
        expect(held(registry)).toEqual(["m1"]);
        expect(engine.orders[0].fence).toEqual({ holder: "h", token: 7 });
    });

    it("counts a model as under way before its engine has accepted the order", async () => {
        const engine = new ScriptedEngine();
        const { line } = await lineFor(engine);
        const given = line.give(order("load", "m1"), 1);
        expect(line.loadingModels).toEqual(["m1"]);
        await given;
        expect(line.loadingModels).toEqual([]);
    });

    it("counts an adapter's unload, so that the next order is taken", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { line, registry, settled } = await lineFor(engine);
        await line.give(order("load", "m1", "a1"), 1);
        await until(() => line.adaptersUnderWay.size === 0, settled, 1000, "the adapter to arrive");
        const before = engine.orders.length;
        await line.give(order("unload", "m1", "a1"), 1);
        await line.give(order("load", "m2"), 1);
        expect(engine.orders.slice(before).map(({ expected }) => expected)).toEqual([1, 2, 3]);
        expect(held(registry)).toEqual(["m1", "m2"]);
    });

    it("reads the engine before anything else after the unload of an adapter that others have loaded", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set(["a1"]));
        const { line, registry } = await lineFor(engine);
        await line.give(order("unload", "m1", "a1"), 1);
        expect([line.free, held(registry)]).toEqual([false, ["m1"]]);
        await line.sync();
        await line.give(order("load", "m2"), 1);
        expect(engine.orders.map(({ expected }) => expected)).toEqual([0, 1, 2]);
        expect(held(registry)).toEqual(["m1", "m2"]);
    });

    it("sends an order without an answer again under the same number, so that it is taken once", async () => {
        const engine = new ScriptedEngine();
        const { line, registry } = await lineFor(engine);
        engine.scripts.push((one, expected) => {
            // It is carried out, and its answer is lost.
            engine.carryOut(one, expected);
            return OrderReply.unknown;
        });
        await line.give(order("load", "m1"), 1);
        expect([engine.accepted, engine.crashed]).toEqual([1, false]);
        expect(held(registry)).toEqual(["m1"]);
    });

    it("lets a late copy of an order fail", async () => {
        const engine = new ScriptedEngine();
        const { line } = await lineFor(engine);
        const late: (() => OrderReply)[] = [];
        engine.scripts.push((one, expected) => {
            late.push(() => engine.carryOut(one, expected));
            return OrderReply.unknown;
        });
        await line.give(order("load", "m1"), 1);
        await line.give(order("unload", "m1"), 1);
        expect(late.map(run => run())).toEqual([OrderReply.conflict]);
        expect([...engine.models.keys()]).toEqual([]);
    });

    it("reads the engine before anything else where an accepted adapter does not show", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { line, settled } = await lineFor(engine);
        engine.scripts.push(() => OrderReply.accepted);
        for (let tries = 0; tries < 9; tries++) {
            engine.scripts.push(() => OrderReply.conflict);
        }
        await line.give(order("load", "m1", "a1"), 1);
        expect(line.adaptersUnderWay.has("m1/a1")).toEqual(true);
        await until(() => line.adaptersUnderWay.size === 0, settled, 10_000, "the checks to end");
        expect(line.free).toEqual(false);
    });

    it("sends no order without a number, also where an adapter fails to show while another order is on its way", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { line, settled } = await lineFor(engine);
        engine.scripts.push(() => OrderReply.accepted, () => OrderReply.refused, () => OrderReply.accepted);
        engine.answerAfterMs = 100;
        await line.give(order("load", "m1", "a1"), 1);
        // The second order goes out while the first adapter is asked after, which is answered before it.
        await sleep(50);
        await line.give(order("load", "m1", "a2"), 1);
        await until(() => line.adaptersUnderWay.size === 0, settled, 10_000, "the checks to end");
        expect(line.free).toEqual(false);
        await line.give(order("load", "m1", "a3"), 1);
        expect(engine.orders.filter(({ expected }) => !Number.isInteger(expected))).toEqual([]);
    });

    it("stops where somebody with a higher token gives orders", async () => {
        const engine = new ScriptedEngine();
        const { line, fenced } = await lineFor(engine);
        engine.scripts.push(() => OrderReply.fenced);
        await line.give(order("load", "m1"), 1);
        expect([fenced, line.free]).toEqual([["u"], false]);
    });

    it("sends no more to an engine that refuses connections, and says so", async () => {
        const engine = new ScriptedEngine();
        const { line, unreachable } = await lineFor(engine);
        engine.scripts.push(() => OrderReply.unreachable);
        await line.give(order("load", "m1"), 1);
        expect([engine.orders.length, unreachable, line.free]).toEqual([1, ["u"], false]);
    });

    it("sends nothing once its host may not give orders any more", async () => {
        const engine = new ScriptedEngine();
        let fence: Fence | undefined = { holder: "h", token: 7 };
        const { line } = await lineFor(engine, () => fence);
        fence = undefined;
        await line.give(order("load", "m1"), 1);
        expect(engine.orders.length).toEqual(0);
    });
});
