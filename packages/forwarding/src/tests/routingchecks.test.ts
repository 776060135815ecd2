/** Guards against requests that wait while their route changes, and are then sent by the route of their arrival. */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
    type ClientResponse,
    completeResponse,
    RawUpstream,
    type ReceivedRequest,
    TestEntry,
    testRoute,
} from "./testservers.js";

describe("a request that waits for capacity", () => {
    let entry: TestEntry;
    let earlier: RawUpstream;
    let later: RawUpstream;
    let held: ReceivedRequest[];

    const services = ["s", "t"].map(name => ({ name, maxConnections: 1 }));
    const configurationOf = (routes: Parameters<typeof testRoute>[0][]) => ({
        ...TestEntry.configuration(
            routes.map(route => testRoute({ objectiveMs: 10_000, timeoutMs: 20_000, ...route })),
        ),
        services,
    });
    const answer = ({ id, socket }: ReceivedRequest) => void socket.write(completeResponse(id, "done"));
    const until = async (isDone: () => boolean) => {
        const deadline = Date.now() + 2000;
        while (!isDone()) {
            expect(Date.now()).toBeLessThan(deadline);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    };

    beforeEach(async () => {
        held = [];
        earlier = await RawUpstream.start(received => void held.push(received));
        later = await RawUpstream.start(answer);
        entry = new TestEntry(configurationOf([{ prefix: "/a/" }]));
        await entry.start();
        entry.setUpstreams(
            { id: "e", address: earlier.address, slots: 1 },
            { id: "l", address: later.address, service: "t", slots: 1 },
        );
    });

    afterEach(async () => {
        await entry.stop();
        earlier.stop();
        later.stop();
    });

    /** Starts as many requests as the upstream takes, and one that waits behind them. */
    async function runAndWait() {
        const running: Promise<ClientResponse>[] = [];
        for (const id of ["running1", "running2"]) {
            running.push(entry.call(id, { path: "/a/x" }));
            await until(() => held.length === running.length);
        }
        const waiting = entry.call("waiting", { path: "/a/x" });
        await until(() => entry.forwarder.waiting === 1);
        return { running, waiting };
    }

    it("is served by the service to which its route has moved meanwhile", async () => {
        const { running, waiting } = await runAndWait();
        entry.replaceConfiguration(configurationOf([{ prefix: "/a/", targets: [{ service: "t", weight: 1 }] }]));
        const { status, body } = await waiting;
        expect([status, body]).toEqual([200, "done"]);
        expect(later.received.map(({ id }) => id)).toEqual(["waiting"]);
        held.splice(0).forEach(answer);
        const responses = await Promise.all(running);
        expect(responses.map(response => response.status)).toEqual([200, 200]);
        expect(earlier.received.map(({ id }) => id)).toEqual(["running1", "running2"]);
    });

    it("is denied if its route has been removed meanwhile", async () => {
        const { running, waiting } = await runAndWait();
        entry.replaceConfiguration(configurationOf([{ prefix: "/b/" }]));
        expect((await waiting).status).toEqual(404);
        expect(earlier.received.length).toEqual(2);
        held.splice(0).forEach(answer);
        await Promise.all(running);
    });

    it("keeps its place if a newer configuration still routes it to its service", async () => {
        const { running, waiting } = await runAndWait();
        entry.replaceConfiguration(configurationOf([{ prefix: "/a/", timeoutMs: 2500 }, { prefix: "/b/" }]));
        expect(entry.forwarder.waiting).toEqual(1);
        held.splice(0).forEach(answer);
        await until(() => held.length === 1);
        held.forEach(answer);
        expect((await waiting).status).toEqual(200);
        expect(later.received).toEqual([]);
        await Promise.all(running);
    });
});
