import { Deferred } from "@winchpath/core";
import { UpstreamState } from "@winchpath/fleet";
import { expect } from "earl";
import { once } from "node:events";
import { Agent } from "node:http";
import { afterEach, describe, it } from "node:test";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";

describe("an entry", () => {
    const upstreams: RawUpstream[] = [];
    let entry: TestEntry;

    afterEach(async () => {
        await entry.stop();
        upstreams.splice(0).forEach(upstream => upstream.stop());
    });

    async function upstream(handler: (received: ReceivedRequest, count: number) => void): Promise<RawUpstream> {
        const started = await RawUpstream.start(handler);
        upstreams.push(started);
        return started;
    }

    async function entryFor(
        route: Parameters<typeof testRoute>[0],
        ...handlers: ((received: ReceivedRequest, count: number) => void)[]
    ) {
        entry = new TestEntry(TestEntry.configuration([testRoute(route)]));
        await entry.start();
        const started = await Promise.all(handlers.map(upstream));
        entry.setUpstreams(...started.map(({ address }, index) => ({ id: `u${index}`, address })));
        return started;
    }

    const respondOk = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "hello"));

    describe("forwards", () => {
        it("path, query, body and headers unchanged, with the upstream's name and the remaining time", async () => {
            const [only] = await entryFor({ kind: "unsafe" }, respondOk);
            const response = await entry.call("q1", {
                method: "POST",
                body: "abc",
                headers: { "X-Other": "Kept", Connection: "close, X-Hop", "X-Hop": "gone", "X-Deadline": "900" },
            });
            expect([response.status, response.body, response.headers["x-seal"]]).toEqual([200, "hello", "s"]);
            const [received] = only.received;
            expect(received.body).toEqual("abc");
            expect(received.head).toInclude("POST /a/b?c=%41 HTTP/1.1");
            expect(received.head).toInclude("X-Other: Kept");
            expect(received.head).toInclude("X-Upstream: u0");
            expect(received.head.toLowerCase()).not.toInclude("x-hop");
            const left = Number(/X-Left: (\d+)/.exec(received.head)![1]);
            expect(left > 500 && left <= 900).toEqual(true);
        });

        it("consecutive requests on the same connection", async () => {
            const [only] = await entryFor({}, respondOk);
            await entry.call("q1");
            await entry.call("q2");
            expect(only.received[0].socket === only.received[1].socket).toEqual(true);
        });
    });

    // Guards against heads that state a length of 0 for a body that is only not sent.
    it("forwards the response to a HEAD request with the length that its upstream states", async () => {
        await entryFor({}, ({ id, socket }) => {
            socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n`);
        });
        const { status, headers, whole } = await entry.call("q1", { method: "HEAD" });
        expect([status, headers["content-length"], whole]).toEqual([200, "5", true]);
    });

    describe("refuses", () => {
        it("unmatched requests with 404", async () => {
            await entryFor({ prefix: "/x/" }, respondOk);
            expect((await entry.call("q1")).status).toEqual(404);
        });

        it("all requests with 503 and Retry-After without a configuration", async () => {
            entry = new TestEntry(TestEntry.configuration([testRoute({})]));
            await entry.start();
            const response = await entry.call("q1");
            expect(response.status).toEqual(503);
            expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
        });

        it("too large headers with 431 and a too large body with 413", async () => {
            const [only] = await entryFor({ kind: "unsafe" }, respondOk);
            expect((await entry.call("q1", { headers: { "X-Large": "x".repeat(5000) } })).status).toEqual(431);
            expect((await entry.call("q2", { method: "POST", body: "x".repeat(70_000) })).status).toEqual(413);
            expect(only.received.length).toEqual(0);
        });

        it("requests with 503 and Retry-After if the service has no upstream", async () => {
            await entryFor({});
            const response = await entry.call("q1");
            expect(response.status).toEqual(503);
            expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
        });
    });

    describe("does not repeat a request that is not repeatable", () => {
        for (
            const [what, interrupt] of [
                ["a reset", ({ socket }: ReceivedRequest) => socket.resetAndDestroy()],
                ["a closed connection", ({ socket }: ReceivedRequest) => socket.end()],
                ["invalid response bytes", ({ socket }: ReceivedRequest) => socket.write("garbage\r\n\r\n")],
                [
                    "a response without a seal",
                    ({ id, socket }: ReceivedRequest) =>
                        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`),
                ],
                [
                    "a response to another request",
                    ({ socket }: ReceivedRequest) => socket.write(completeResponse("other", "theirs")),
                ],
            ] as const
        ) {
            it(`after ${what}, and returns 502`, async () => {
                const both = await entryFor({ kind: "unsafe" }, interrupt, interrupt);
                const response = await entry.call("q1", { method: "POST", body: "book" });
                expect(response.status).toEqual(502);
                expect(both.flatMap(({ received }) => received).length).toEqual(1);
            });
        }

        it("unless the upstream declares that it has not executed it", async () => {
            const decline = ({ id, socket }: ReceivedRequest) =>
                socket.write(completeResponse(id, "full", "X-Not-Run: 1\r\n", "503 Service Unavailable"));
            let declined = 0;
            const declineOnce = (received: ReceivedRequest) =>
                declined++ === 0 ? decline(received) : respondOk(received);
            const both = await entryFor({ kind: "unsafe", maxAttempts: 1 }, declineOnce, declineOnce);
            expect((await entry.call("q1", { method: "POST", body: "book" })).status).toEqual(200);
            expect(both.map(({ received }) => received.length)).toEqual([1, 1]);
        });

        it("after an error response, which is forwarded unchanged", async () => {
            const failing = ({ id, socket }: ReceivedRequest) =>
                socket.write(completeResponse(id, "no", "", "500 Error"));
            const both = await entryFor({ kind: "unsafe" }, failing, failing);
            const response = await entry.call("q1", { method: "POST", body: "book" });
            expect([response.status, response.body, response.headers["x-seal"]]).toEqual([500, "no", "s"]);
            expect(both.flatMap(({ received }) => received).length).toEqual(1);
        });
    });

    describe("retries a repeatable request", () => {
        it("on another upstream after a failure", async () => {
            let count = 0;
            const failFirst = (received: ReceivedRequest) =>
                count++ === 0 ? received.socket.resetAndDestroy() : respondOk(received);
            const both = await entryFor({ kind: "safe" }, failFirst, failFirst);
            expect((await entry.call("q1")).status).toEqual(200);
            expect(both.map(({ received }) => received.length)).toEqual([1, 1]);
        });

        it("on the same upstream if it is the only one", async () => {
            let count = 0;
            const failFirst = (received: ReceivedRequest) =>
                count++ === 0 ? received.socket.resetAndDestroy() : respondOk(received);
            const [only] = await entryFor({ kind: "safe" }, failFirst);
            expect((await entry.call("q1")).status).toEqual(200);
            expect(only.received.length).toEqual(2);
        });

        it("up to the route's maximum number of attempts", async () => {
            const failing = ({ socket }: ReceivedRequest) => socket.resetAndDestroy();
            const all = await entryFor({ kind: "safe", maxAttempts: 2 }, failing, failing, failing);
            expect((await entry.call("q1")).status).toEqual(502);
            expect(all.flatMap(({ received }) => received).length).toEqual(2);
        });
    });

    describe("avoids an upstream that is reported as failing", () => {
        it("if another upstream is available", async () => {
            const both = await entryFor({}, respondOk, respondOk);
            entry.setUpstreams({ id: "u0", address: both[0].address, failingPercent: 40 });
            for (const id of ["q1", "q2", "q3", "q4"]) {
                expect((await entry.call(id)).status).toEqual(200);
            }
            expect(both.map(({ received }) => received.length)).toEqual([0, 4]);
        });

        it("unless it is the only upstream", async () => {
            const [only] = await entryFor({}, respondOk);
            entry.setUpstreams({ id: "u0", address: only.address, failingPercent: 40 });
            expect((await entry.call("q1")).status).toEqual(200);
        });
    });

    describe("times out an attempt without response headers", () => {
        const silent = () => undefined;

        it("and retries a repeatable request on another upstream before the deadline", async () => {
            let count = 0;
            const handler = (received: ReceivedRequest) => count++ === 0 ? silent() : respondOk(received);
            const both = await entryFor({ kind: "safe", objectiveMs: 40 }, handler, handler);
            const { status } = await entry.call("q1", { headers: { "X-Deadline": "60000" } });
            expect(status).toEqual(200);
            expect(both.map(({ received }) => received.length)).toEqual([1, 1]);
        });

        it("but does not retry a request that is not repeatable", async () => {
            const both = await entryFor({ kind: "unsafe", objectiveMs: 40 }, silent, silent);
            const { status } = await entry.call("q1", { method: "POST", headers: { "X-Deadline": "300" } });
            expect(status).toEqual(504);
            expect(both.flatMap(({ received }) => received).length).toEqual(1);
        });

        it("and does not reuse other idle connections to the upstream", async () => {
            const gate = new Deferred<void>();
            const pending: ReceivedRequest[] = [];
            const handler = (received: ReceivedRequest, count: number) => {
                if (count <= 2) {
                    pending.push(received);
                    if (count === 2) {
                        gate.resolve();
                    }
                }
                else if (count > 3) {
                    respondOk(received);
                }
            };
            const [only] = await entryFor({ kind: "unsafe" }, handler);
            const first = [entry.call("q1", { method: "POST" }), entry.call("q2", { method: "POST" })];
            await gate.promise;
            pending.forEach(respondOk);
            await Promise.all(first);
            // The third request is sent on one of the two connections and never answered.
            const { status } = await entry.call("q3", { method: "POST", headers: { "X-Deadline": "200" } });
            expect(status).toEqual(504);
            const later = await Promise.all(["q4", "q5"].map(id => entry.call(id, { method: "POST" })));
            expect(later.map(response => response.status)).toEqual([200, 200]);
            const before = only.received.slice(0, 3).map(({ socket }) => socket);
            expect(only.received.slice(3).some(({ socket }) => before.includes(socket))).toEqual(false);
        });
    });

    describe("never presents a truncated response as complete", () => {
        it("if the connection is reset and there is no length", async () => {
            await entryFor({ kind: "unsafe" }, ({ id, socket }) => {
                socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\nhalf`, () => socket.resetAndDestroy());
            });
            const response = await entry.call("q1", { method: "POST", body: "x" });
            expect(response.status).toEqual(502);
        });

        it("and forwards a response that ends with its connection without a length", async () => {
            await entryFor({ kind: "unsafe" }, ({ id, socket }) => {
                socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\nall`);
            });
            const response = await entry.call("q1", { method: "POST", body: "x" });
            expect([response.status, response.body]).toEqual([200, "all"]);
            expect(response.headers["content-length"]).toEqual(undefined);
            expect(response.headers["transfer-encoding"]).toEqual(undefined);
        });

        it("if it is shorter than its Content-Length", async () => {
            await entryFor({ kind: "unsafe" }, ({ id, socket }) => {
                socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf`);
            });
            expect((await entry.call("q1", { method: "POST", body: "x" })).status).toEqual(502);
        });

        it("and forwards only complete events of a stream that breaks off", async () => {
            await entryFor({ kind: "streaming" }, ({ id, socket }) => {
                const events = "id: 1\ndata: a\n\nid: 2\nda";
                const length = events.length.toString(16);
                const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n`;
                socket.write(`${head}${length}\r\n${events}\r\n`, () => socket.destroy());
            });
            const response = await entry.call("q1", { method: "POST", body: "x" });
            expect([response.body, response.whole]).toEqual(["id: 1\ndata: a\n\n", false]);
        });
    });

    it("does not use extra bytes after a response as the response to the next request", async () => {
        const [only] = await entryFor({ kind: "unsafe" }, ({ id, socket }, count) => {
            socket.write(
                completeResponse(id, `answer ${count}`) + (count === 1 ? completeResponse(id, "once more") : ""),
            );
        });
        expect((await entry.call("q1", { method: "POST", body: "x" })).body).toEqual("answer 1");
        expect((await entry.call("q2", { method: "POST", body: "x" })).body).toEqual("answer 2");
        expect(only.received.length).toEqual(2);
    });

    it("resumes a broken stream after its last complete event, without sending headers again", async () => {
        let count = 0;
        const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
        const streaming = ({ id, head, socket }: ReceivedRequest) => {
            const headers = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s${count}\r\nTransfer-Encoding: chunked\r\n\r\n`;
            if (count++ === 0) {
                socket.write(headers + chunk("id: 1\ndata: a\n\nid: 2\nda"), () => socket.destroy());
                return;
            }
            const from = /Last-Event-Id: (\d+)/.exec(head)?.[1];
            socket.write(`${headers}${chunk(`id: 2\ndata: after ${from}\n\n`)}0\r\n\r\n`);
        };
        await entryFor({ kind: "streaming", resumable: true }, streaming, streaming);
        const response = await entry.call("q1", { method: "POST", body: "x" });
        expect(response.body).toEqual("id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n");
        expect([response.whole, response.headers["x-seal"]]).toEqual([true, "s0"]);
    });

    it("holds a request until the first configuration is available", async () => {
        const only = await upstream(respondOk);
        entry = new TestEntry(TestEntry.configuration([testRoute({})]));
        await entry.start();
        const response = entry.call("q1");
        await entry.waitForActiveRequests(1);
        entry.setUpstreams({ id: "u0", address: only.address });
        expect((await response).status).toEqual(200);
    });

    it("responds at the route's timeout and closes the connection to the upstream", async () => {
        const [only] = await entryFor({ kind: "unsafe", timeoutMs: 150 }, () => undefined);
        const response = await entry.call("q1", { method: "POST", body: "x" });
        expect(response.status).toEqual(504);
        const { socket } = only.received[0];
        if (!socket.destroyed) {
            await once(socket, "close");
        }
    });

    it("closes the connection to the upstream when the client disconnects", async () => {
        let arrived: (received: ReceivedRequest) => void = () => undefined;
        const received = new Promise<ReceivedRequest>(resolve => {
            arrived = resolve;
        });
        await entryFor({ kind: "safe" }, one => arrived(one));
        const req = entry.open("q1");
        req.on("error", () => undefined);
        req.end();
        const { socket } = await received;
        const closed = once(socket, "close");
        req.destroy();
        await closed;
    });

    it("completes active requests during shutdown and accepts no new ones", async () => {
        const arrived = new Deferred<ReceivedRequest>();
        const [only] = await entryFor({ kind: "unsafe" }, received => arrived.resolve(received));
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const slow = entry.call("q1", { method: "POST", body: "x", agent });
        const { id, socket } = await arrived.promise;
        entry.stopping = true;
        const closed = entry.listener.close(5000);
        socket.write(completeResponse(id, "slow"));
        expect((await slow).body).toEqual("slow");
        await closed;
        expect(only.received.length).toEqual(1);
        agent.destroy();
    });

    it("does not send a request to an upstream that starts draining while it waits for a connection", async () => {
        const configuration = TestEntry.configuration([testRoute({ kind: "unsafe" })]);
        configuration.services[0].maxConnections = 1;
        entry = new TestEntry(configuration);
        await entry.start();
        const connections = 4;
        const all = new Deferred<void>();
        const pending: ReceivedRequest[] = [];
        const only = await upstream(received => {
            pending.push(received);
            if (pending.length === connections) {
                all.resolve();
            }
        });
        entry.setUpstreams({ id: "u0", address: only.address });
        const first = Array.from({ length: connections }, (_, index) => entry.call(`q${index}`, { method: "POST" }));
        await all.promise;
        const waiting = entry.call("late", { method: "POST" });
        await entry.waitForActiveRequests(connections + 1);
        entry.setUpstreams({ id: "u0", address: only.address, state: UpstreamState.DRAINING });
        pending.forEach(({ id, socket }) => socket.write(completeResponse(id, "done")));
        expect((await Promise.all(first)).map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        expect((await waiting).status).toEqual(503);
        expect(only.received.map(({ id }) => id)).not.toInclude("late");
    });

    it("rejects requests waiting for a model during shutdown", async () => {
        const engine = {
            slots: 8,
            cacheTokens: 1000,
            memoryMb: 100,
            adapterPlaces: 1,
            storeLoadsPerSecond: 1,
            models: [{
                name: "m",
                sizeMb: 1,
                loadMs: 900,
                memoryLoadMs: 100,
                diskLoadMs: 100,
                adapters: 0,
                adapterMb: 0,
            }],
        };
        entry = new TestEntry(TestEntry.configuration([testRoute({ objectiveMs: 60_000, timeoutMs: 60_000 })], engine));
        await entry.start();
        const started = await upstream(respondOk);
        entry.setUpstreams({ id: "u0", address: started.address });
        const waiting = entry.call("q1", { headers: { "X-Model": "m", "X-Deadline": "60000" } });
        entry.stopping = true;
        const response = await waiting;
        expect([response.status, started.received.length]).toEqual([503, 0]);
        expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    });

    it("closes client connections during shutdown", async () => {
        await entryFor({}, respondOk);
        entry.stopping = true;
        expect((await entry.call("q1")).headers.connection).toEqual("close");
    });
});
