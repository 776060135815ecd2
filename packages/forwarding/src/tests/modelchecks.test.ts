/** Guards against requests that wait for a model which the configuration doesn't declare, or are told to come back never. */
import { type EngineSpec } from "@winchpath/declarations";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";

const model = { sizeMb: 1, loadMs: 60_000, memoryLoadMs: 60_000, diskLoadMs: 60_000, adapters: 1, adapterMb: 0 };
const engine: EngineSpec = {
    slots: 8,
    cacheTokens: 1000,
    memoryMb: 10,
    adapterPlaces: 1,
    storeLoadsPerSecond: 1,
    models: ["m1", "m2"].map(name => ({ ...model, name })),
};
const without = (name: string): EngineSpec => ({ ...engine, models: engine.models.filter(each => each.name !== name) });
/** Long enough to wait for a load. */
const route = testRoute({ objectiveMs: 100_000, timeoutMs: 100_000 });
const headers = (name: string) => ({ "X-Model": name, "X-Deadline": "100000" });

describe("a request for a model that the configuration doesn't declare", () => {
    let entry: TestEntry;
    let upstream: RawUpstream;
    const pending: ReceivedRequest[] = [];

    beforeEach(async () => {
        upstream = await RawUpstream.start(received => void pending.push(received));
        entry = new TestEntry(TestEntry.configuration([route], engine));
        await entry.start();
        entry.setUpstreams(
            {
                id: "u0",
                address: upstream.address,
                models: [{
                    $typeName: "winchpath.fleet.v1.HeldModel",
                    name: "m1",
                    adapters: [],
                    readyInMs: 0,
                    leaving: false,
                }],
            } as unknown as Parameters<TestEntry["setUpstreams"]>[0],
        );
    });

    afterEach(async () => {
        pending.splice(0);
        await entry.stop();
        upstream.stop();
    });

    async function until(isDone: () => boolean): Promise<void> {
        while (!isDone()) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    it("is refused at once, and told when to come back", async () => {
        const { status, headers: sent, body } = await entry.call("q1", { headers: headers("m9") });
        expect([status, JSON.parse(body)]).toEqual([503, { error: "model-undeclared" }]);
        expect(Number(sent["retry-after"])).toEqual(1);
    });

    it("is refused even if an upstream still holds it", async () => {
        entry.replaceConfiguration(TestEntry.configuration([route], without("m1")));
        expect((await entry.call("q1", { headers: headers("m1") })).status).toEqual(503);
        expect(upstream.received.length).toEqual(0);
    });

    it("is refused at once if it waits as the model is dropped", async () => {
        const waiting = entry.call("q1", { headers: headers("m2") });
        await until(() => entry.forwarder.waiting === 1);
        entry.replaceConfiguration(TestEntry.configuration([route], without("m2")));
        const { status, body } = await waiting;
        expect([status, JSON.parse(body)]).toEqual([503, { error: "model-undeclared" }]);
    });

    it("is answered if it runs as the model is dropped", async () => {
        const running = entry.call("q1", { headers: headers("m1") });
        await until(() => pending.length === 1);
        entry.replaceConfiguration(TestEntry.configuration([route], without("m1")));
        pending[0].socket.write(completeResponse("q1", "done"));
        expect((await running).status).toEqual(200);
    });
});
