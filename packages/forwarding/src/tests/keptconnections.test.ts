/** Guards against requests on a kept connection that are passed on although the entry can't answer them any more. */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";

const streamHead = (id: string) =>
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = "id: 1\ndata: a\n\n";

/** A client that keeps its connection and reads only while it isn't paused. */
class KeptClient {
    public text = "";
    public closed = false;
    public readonly socket: Socket;

    public constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.on("data", bytes => this.text += bytes.toString("latin1"));
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.closed = true);
    }

    public send(id: string, path: string, headers = "", body = ""): void {
        this.socket.write(
            `POST ${path} HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`,
        );
    }

    /** Number of response heads that have arrived. */
    public get responses(): number {
        return this.text.split("HTTP/1.1 ").length - 1;
    }
}

describe("a kept connection", () => {
    let entry: TestEntry;
    let upstream: RawUpstream;
    let client: KeptClient;
    /** Streams that are open at the upstream. */
    const streams: ReceivedRequest[] = [];

    afterEach(async () => {
        client.socket.destroy();
        streams.length = 0;
        await entry.stop();
        upstream.stop();
    });

    async function start(respond: (received: ReceivedRequest) => void = answer): Promise<void> {
        entry = new TestEntry(
            TestEntry.configuration([
                testRoute({ name: "stream", prefix: "/stream", kind: "streaming" }),
                testRoute({ name: "booking", prefix: "/booking", kind: "unsafe" }),
            ]),
        );
        await entry.start();
        upstream = await RawUpstream.start(respond);
        entry.setUpstreams({ id: "u0", address: upstream.address });
        client = new KeptClient(entry.listener.port);
    }

    function answer(received: ReceivedRequest): void {
        const { id, head, socket } = received;
        if (head.includes("/stream")) {
            streams.push(received);
            socket.write(streamHead(id) + chunk(event));
            return;
        }
        socket.write(completeResponse(id, `booked ${id}`));
    }

    async function until(condition: () => boolean): Promise<void> {
        for (const deadline = Date.now() + 5000; !condition() && Date.now() < deadline;) {
            await sleep(1);
        }
        expect(condition()).toEqual(true);
    }

    const endStream = () => streams[0].socket.write("0\r\n\r\n");
    const receivedIds = () => upstream.received.map(({ id }) => id);

    describe("whose stream spans the beginning of a shutdown", () => {
        // Guards against a connection that is ended after the stream, while requests are still read from it and run.
        it("serves the next request, and closes after its response", async () => {
            await start();
            client.send("s1", "/stream");
            await until(() => client.text.includes(event));
            entry.stopping = true;
            endStream();
            await until(() => client.text.endsWith("0\r\n\r\n"));
            await sleep(50);
            client.send("b1", "/booking");
            await until(() => client.closed);
            expect(client.text).toInclude("booked b1");
            expect(client.text.toLowerCase()).toInclude("connection: close");
            expect(receivedIds()).toEqual(["s1", "b1"]);
        });

        // Guards against the same once the entry waits only for its last requests.
        it("is told that its next request is not run, once the entry closes", async () => {
            await start();
            client.send("s1", "/stream");
            await until(() => client.text.includes(event));
            entry.stopping = true;
            const closed = entry.listener.close(5000);
            await sleep(100);
            endStream();
            await until(() => client.text.endsWith("0\r\n\r\n"));
            await sleep(100);
            client.send("b1", "/booking");
            await closed;
            await until(() => client.closed);
            expect(client.text).toInclude("HTTP/1.1 503");
            expect(client.text).toInclude("stopping");
            expect(receivedIds()).toEqual(["s1"]);
        });
    });

    describe("with a second request before the response to the first", () => {
        // Guards against requests that run although the response before announces the close of their connection.
        it("doesn't pass it on if the connection closes after the first response", async () => {
            await start();
            entry.stopping = true;
            client.send("s1", "/stream");
            await until(() => client.text.includes(event));
            expect(client.text.toLowerCase()).toInclude("connection: close");
            client.send("b1", "/booking");
            await sleep(50);
            expect(receivedIds()).toEqual(["s1"]);
            endStream();
            await until(() => client.closed);
            expect(client.responses).toEqual(1);
            expect(receivedIds()).toEqual(["s1"]);
        });

        // Guards against requests that were read whole, and end without an answer as the response before closes their connection.
        it("answers it if it was read before the first response could announce the close", async () => {
            await start();
            entry.stopping = true;
            client.send("s1", "/stream");
            client.send("b1", "/booking");
            await until(() => client.text.includes(event));
            expect(client.text.toLowerCase()).not.toInclude("connection: close");
            expect(receivedIds()).toEqual(["s1"]);
            endStream();
            await until(() => client.closed);
            expect(client.responses).toEqual(2);
            expect(client.text).toInclude("booked b1");
            expect(client.text.match(/connection: close/gi)?.length).toEqual(1);
            expect(receivedIds()).toEqual(["s1", "b1"]);
        });

        // Guards against requests that run although the response before is broken off.
        it("doesn't pass it on if the first response is broken off", async () => {
            await start();
            client.send("s1", "/stream");
            client.send("b1", "/booking");
            await until(() => client.text.includes(event));
            streams[0].socket.destroy();
            await until(() => client.closed);
            await sleep(50);
            expect(receivedIds()).toEqual(["s1"]);
        });

        it("serves both in turn otherwise", async () => {
            await start();
            client.send("s1", "/stream");
            client.send("b1", "/booking");
            await until(() => client.text.includes(event));
            endStream();
            await until(() => client.text.includes("booked b1"));
            expect(receivedIds()).toEqual(["s1", "b1"]);
        });
    });

    describe("whose client has not sent its whole body", () => {
        // Guards against a reset that overtakes a rejection, since the rest of the body was unread at the close.
        it("delivers the rejection, and closes only afterwards", async () => {
            await start();
            client.socket.write(
                "POST /booking HTTP/1.1\r\nHost: h.example\r\nX-Id: b1\r\nContent-Length: 70000\r\n\r\n",
            );
            await until(() => client.responses === 1);
            // The rest is on its way before the client knows.
            client.socket.write("x".repeat(30_000));
            await sleep(20);
            client.socket.write("x".repeat(30_000));
            await sleep(20);
            expect(client.text).toInclude("HTTP/1.1 413");
            expect(client.socket.errored).toBeNullish();
        });
    });

    describe("whose client reads slowly", () => {
        const requests = 40;
        /** Less than what the entry buffers; together more than the connection holds for a client that doesn't read. */
        const bodyBytes = 200_000;

        // Guards against ended responses that are cut off at a shutdown, since they counted as sent.
        it("gets the whole response to each request that has run, during a shutdown", async () => {
            await start(({ id, socket }) => socket.write(completeResponse(id, "x".repeat(bodyBytes))));
            client.socket.pause();
            for (let index = 1; index <= requests; index++) {
                client.send(`b${index}`, "/booking");
            }
            await sleep(500);
            entry.stopping = true;
            const closed = entry.listener.close(6000);
            await sleep(1000);
            client.socket.resume();
            await closed;
            await until(() => client.closed);
            expect(receivedIds().length).toBeGreaterThan(1);
            expect(client.text.split("x".repeat(bodyBytes)).length - 1).toEqual(receivedIds().length);
        });
    });

    it("that stays idle doesn't hold up a shutdown", async () => {
        await start();
        client.send("b1", "/booking");
        await until(() => client.text.includes("booked b1"));
        await sleep(600);
        entry.stopping = true;
        const startedAt = Date.now();
        await entry.listener.close(5000);
        expect(Date.now() - startedAt).toBeLessThan(300);
    });
});
