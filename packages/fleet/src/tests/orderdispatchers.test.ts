import { Notifier, silentLog, sleep, steadyNow, waitUntil } from "@winchpath/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type EngineOrder, type Fence, OrderDispatcher, OrderReply, type Registry } from "../index.js";
import { createAnnouncement, createRegistry, ScriptedEngine } from "./fixtures.js";

function order(kind: EngineOrder["kind"], model: string, adapter = ""): EngineOrder {
    return { kind, model, adapter };
}

async function startDispatcher(
    engine: ScriptedEngine,
    fence: () => Fence | undefined = () => ({ holder: "h", token: 7 }),
) {
    const registry = createRegistry(createAnnouncement("u", 1));
    const changes = new Notifier();
    const fencedIds: string[] = [];
    const unreachableIds: string[] = [];
    const owner = {
        fence,
        onOrderSent: () => undefined,
        onUnreachable: (id: string) => unreachableIds.push(id),
        onFenced: (id: string) => fencedIds.push(id),
        onAlreadyHeld: () => undefined,
        onChange: () => changes.notify(),
    };
    const dispatcher = new OrderDispatcher("u", registry, engine, owner, silentLog);
    await dispatcher.refresh();
    return { dispatcher, registry, fencedIds, unreachableIds, changes };
}

function heldNames(registry: Registry): string[] {
    return registry.get("u")!.upstream.models.flatMap(model => [
        model.name,
        ...model.adapters.map(adapter => `${model.name}/${adapter}`),
    ]);
}

describe("OrderDispatcher", () => {
    it("sends no order to an engine that is busy with another sender's load", async () => {
        const engine = new ScriptedEngine();
        engine.busy = true;
        const { dispatcher } = await startDispatcher(engine);
        expect(dispatcher.isReady).toEqual(false);
        engine.busy = false;
        await dispatcher.refresh();
        expect(dispatcher.isReady).toEqual(true);
    });

    it("sends nothing while the engine asks this host to back off, and resumes afterwards", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher, registry } = await startDispatcher(engine);
        engine.backoffUntil = steadyNow() + 120;
        const startedAt = steadyNow();
        await dispatcher.execute(order("load", "m1"), 1);
        expect(heldNames(registry)).toEqual(["m1"]);
        expect(steadyNow() - startedAt).toBeGreaterThanOrEqual(120);
    });

    it("adds a model to the registry once its load has completed", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher, registry } = await startDispatcher(engine);
        await dispatcher.execute(order("load", "m1"), 1);
        expect(heldNames(registry)).toEqual(["m1"]);
        expect(engine.orders[0].fence).toEqual({ holder: "h", token: 7 });
    });

    it("lists a model as loading before the engine has accepted the order", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher } = await startDispatcher(engine);
        const execution = dispatcher.execute(order("load", "m1"), 1);
        expect(dispatcher.loadingModels).toEqual(["m1"]);
        await execution;
        expect(dispatcher.loadingModels).toEqual([]);
    });

    it("counts the unload of an adapter, so that the next order is accepted", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { dispatcher, registry, changes } = await startDispatcher(engine);
        await dispatcher.execute(order("load", "m1", "a1"), 1);
        await waitUntil(() => dispatcher.loadingAdapters.size === 0, changes, 1000, "the adapter to be loaded");
        const before = engine.orders.length;
        await dispatcher.execute(order("unload", "m1", "a1"), 1);
        await dispatcher.execute(order("load", "m2"), 1);
        expect(engine.orders.slice(before).map(({ expected }) => expected)).toEqual([1, 2, 3]);
        expect(heldNames(registry)).toEqual(["m1", "m2"]);
    });

    it("reads the engine's state after unloading an adapter that another sender has loaded", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set(["a1"]));
        const { dispatcher, registry } = await startDispatcher(engine);
        await dispatcher.execute(order("unload", "m1", "a1"), 1);
        expect([dispatcher.isReady, heldNames(registry)]).toEqual([false, ["m1"]]);
        await dispatcher.refresh();
        await dispatcher.execute(order("load", "m2"), 1);
        expect(engine.orders.map(({ expected }) => expected)).toEqual([0, 1, 2]);
        expect(heldNames(registry)).toEqual(["m1", "m2"]);
    });

    it("resends an unanswered order with the same expected count, so that it is executed once", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher, registry } = await startDispatcher(engine);
        engine.handlers.push((one, expected) => {
            // The order is executed, but the reply is lost.
            engine.execute(one, expected);
            return OrderReply.unknown;
        });
        await dispatcher.execute(order("load", "m1"), 1);
        expect([engine.accepted, engine.crashed]).toEqual([1, false]);
        expect(heldNames(registry)).toEqual(["m1"]);
    });

    it("makes a late copy of an order fail", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher } = await startDispatcher(engine);
        const late: (() => OrderReply)[] = [];
        engine.handlers.push((one, expected) => {
            late.push(() => engine.execute(one, expected));
            return OrderReply.unknown;
        });
        await dispatcher.execute(order("load", "m1"), 1);
        await dispatcher.execute(order("unload", "m1"), 1);
        expect(late.map(run => run())).toEqual([OrderReply.conflict]);
        expect([...engine.models.keys()]).toEqual([]);
    });

    it("requires the engine's state to be read after an accepted adapter load fails to complete", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { dispatcher, changes } = await startDispatcher(engine);
        engine.handlers.push(() => OrderReply.accepted);
        for (let attempt = 0; attempt < 9; attempt++) {
            engine.handlers.push(() => OrderReply.conflict);
        }
        await dispatcher.execute(order("load", "m1", "a1"), 1);
        expect(dispatcher.loadingAdapters.has("m1/a1")).toEqual(true);
        await waitUntil(() => dispatcher.loadingAdapters.size === 0, changes, 10_000, "polling to end");
        expect(dispatcher.isReady).toEqual(false);
    });

    it("sends no order without an expected count, even if an adapter load fails while another order is in flight", async () => {
        const engine = new ScriptedEngine();
        engine.models.set("m1", new Set());
        const { dispatcher, changes } = await startDispatcher(engine);
        engine.handlers.push(() => OrderReply.accepted, () => OrderReply.refused, () => OrderReply.accepted);
        engine.answerAfterMs = 100;
        await dispatcher.execute(order("load", "m1", "a1"), 1);
        // The second order is sent while the first adapter is polled; that poll is answered first.
        await sleep(50);
        await dispatcher.execute(order("load", "m1", "a2"), 1);
        await waitUntil(() => dispatcher.loadingAdapters.size === 0, changes, 10_000, "polling to end");
        expect(dispatcher.isReady).toEqual(false);
        await dispatcher.execute(order("load", "m1", "a3"), 1);
        expect(engine.orders.filter(({ expected }) => !Number.isInteger(expected))).toEqual([]);
    });

    it("stops when the engine has seen a higher fencing token", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher, fencedIds } = await startDispatcher(engine);
        engine.handlers.push(() => OrderReply.fenced);
        await dispatcher.execute(order("load", "m1"), 1);
        expect([fencedIds, dispatcher.isReady]).toEqual([["u"], false]);
    });

    it("stops when the engine refuses connections, and notifies its owner", async () => {
        const engine = new ScriptedEngine();
        const { dispatcher, unreachableIds } = await startDispatcher(engine);
        engine.handlers.push(() => OrderReply.unreachable);
        await dispatcher.execute(order("load", "m1"), 1);
        expect([engine.orders.length, unreachableIds, dispatcher.isReady]).toEqual([1, ["u"], false]);
    });

    it("sends nothing once its host may no longer send orders", async () => {
        const engine = new ScriptedEngine();
        let fence: Fence | undefined = { holder: "h", token: 7 };
        const { dispatcher } = await startDispatcher(engine, () => fence);
        fence = undefined;
        await dispatcher.execute(order("load", "m1"), 1);
        expect(engine.orders.length).toEqual(0);
    });
});
