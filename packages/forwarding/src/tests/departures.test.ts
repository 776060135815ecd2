/** Guards against work that goes on for clients that have left, in whatever way they leave. */
import { expect } from "earl";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";

/** Time after which nobody may work for a client that has left, in milliseconds. */
const goneMs = 500;
const chunk = Buffer.alloc(64 * 1024, "x");

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Keeps the event loop from running, as a process that is not scheduled. */
function block(ms: number): void {
    for (const until = performance.now() + ms; performance.now() < until;) {}
}

describe("an entry whose client leaves", () => {
    let entry: TestEntry;
    let upstream: RawUpstream;
    let client: Socket;
    let closedAt: number | undefined;

    async function start(kind: "safe" | "streaming", respond: (received: ReceivedRequest) => void): Promise<void> {
        closedAt = undefined;
        entry = new TestEntry(TestEntry.configuration([testRoute({ kind, timeoutMs: 8000 })]));
        await entry.start();
        upstream = await RawUpstream.start(received => {
            received.socket.once("close", () => closedAt = performance.now());
            respond(received);
        });
        entry.setUpstreams({ id: "u0", address: upstream.address });
        client = connect({ port: entry.listener.port, host: "127.0.0.1", allowHalfOpen: true });
        client.on("error", () => undefined);
        await once(client, "connect");
    }

    function send(id = "q1"): void {
        client.write(`GET /x HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\nX-Deadline: 8000\r\n\r\n`);
    }

    async function untilReceived(): Promise<void> {
        while (upstream.received.length === 0) {
            await sleep(5);
        }
    }

    beforeEach(() => {
        closedAt = undefined;
    });

    afterEach(async () => {
        client.destroy();
        await entry.stop();
        upstream.stop();
    });

    describe("while the upstream works", () => {
        for (
            const [how, leave] of Object.entries({
                "by ending its side": () => client.end(),
                "by a reset": () => client.resetAndDestroy(),
                "by closing": () => client.destroy(),
            })
        ) {
            it(`${how}, closes the connection to the upstream`, async () => {
                await start("safe", () => undefined);
                send();
                await untilReceived();
                leave();
                await sleep(goneMs);
                expect(closedAt !== undefined).toEqual(true);
                expect(entry.metrics.toText()).toInclude("callers_gone_total{stage=\"sent\"} 1");
            });
        }
    });

    describe("while output waits that it doesn't take", () => {
        it("by ending its side, closes the connection to the upstream", async () => {
            await start("streaming", ({ id, socket }) => {
                socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n`);
                const writeMore = () => {
                    while (
                        !socket.destroyed && socket.write(`${(chunk.length + 2).toString(16)}\r\n${chunk}\n\n\r\n`)
                    ) {}
                };
                socket.on("drain", writeMore);
                writeMore();
            });
            client.pause();
            send();
            await sleep(300);
            client.end();
            await sleep(goneMs);
            expect(closedAt !== undefined).toEqual(true);
            expect(entry.listener.activeRequests).toEqual(0);
        });
    });

    describe("before the entry has read its request", () => {
        for (
            const [how, leave] of Object.entries({
                "by ending its side": () => client.end(),
                "by closing": () => client.destroy(),
            })
        ) {
            it(`${how}, sends nothing to the upstream`, async () => {
                await start("safe", ({ id, socket }) => socket.write(completeResponse(id, "hello")));
                // Leaves an idle connection to the upstream.
                await entry.call("earlier");
                send();
                leave();
                block(100);
                await sleep(goneMs);
                expect(upstream.received.map(({ id }) => id)).toEqual(["earlier"]);
            });
        }
    });
});
