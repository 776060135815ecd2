/**
 * Guards against upstreams that send bytes without end which are no response: an entry read them until the deadline of the
 * request, as fast as they came, at the cost of its other requests.
 */
import { maxFramingBytes } from "@winchpath/core";
import { expect } from "earl";
import { once } from "node:events";
import { Agent, type IncomingMessage } from "node:http";
import { type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { completeResponse, type ReceivedRequest, TestSetup } from "./testservers.js";

/** Time within which the entry must close the connection, in milliseconds; the deadline of the requests is 5,000. */
const maxOpenMs = 2000;
/** Bytes that an upstream may get rid of, buffers of both sides included. */
const maxSentBytes = 12 * 1024 * 1024;
const pieceBytes = 16 * 1024;

const sealedHead = (id: string, status = "200 OK", headers = "") =>
    `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n${headers}`;
const chunkedHead = (id: string, status?: string, headers = "") =>
    `${sealedHead(id, status, headers)}Transfer-Encoding: chunked\r\n\r\n`;
const chunkOf = (bytes: number) => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

/** What an upstream sends first, and then again and again. */
interface EndlessResponse {
    readonly begin: (id: string) => string;
    readonly repeated: string;
    /** Whether the caller gets part of the response before it is given up. */
    readonly isForwarded?: boolean;
    /** Whether the upstream has said that it did not run the request. */
    readonly isNotRun?: boolean;
    /** Whether the requests are for streams. */
    readonly isStream?: boolean;
}

const endless: Readonly<Record<string, EndlessResponse>> = {
    "informational responses": { begin: () => "", repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
    "empty lines before the status line": { begin: () => "", repeated: "\r\n" },
    "one header line": { begin: id => `${sealedHead(id)}X-Long: `, repeated: "x" },
    "header lines": { begin: id => sealedHead(id), repeated: "X-More: x\r\n" },
    "a chunk size": { begin: id => chunkedHead(id), repeated: "0" },
    "a chunk extension": { begin: id => `${chunkedHead(id)}5;x=`, repeated: "x" },
    "chunks of one byte with long extensions": {
        begin: id => chunkedHead(id),
        repeated: `1;x=${"x".repeat(8000)}\r\nx\r\n`,
    },
    "trailers": { begin: id => `${chunkedHead(id)}0\r\n`, repeated: "X-More: x\r\n" },
    "bytes after a whole response": { begin: id => completeResponse(id, "ok"), repeated: "x", isForwarded: true },
    "the body of a failure": { begin: id => chunkedHead(id, "500 Failed"), repeated: chunkOf(4096) },
    "the body of a response that says that nothing ran": {
        begin: id => chunkedHead(id, "503 Full", "X-Not-Run: 1\r\n"),
        repeated: chunkOf(4096),
        isNotRun: true,
    },
    "an event": {
        begin: id => `${chunkedHead(id, "200 OK", "Content-Type: text/event-stream\r\n")}6\r\ndata: \r\n`,
        repeated: chunkOf(4096),
        isStream: true,
    },
};

/** Writes until the connection is closed. Resolves to the bytes that were sent and the time that it took, in milliseconds. */
async function writeEndlessly(socket: Socket, begin: string, repeated: string): Promise<EndlessWrite> {
    const startedAt = Date.now();
    const piece = repeated.repeat(Math.ceil(pieceBytes / repeated.length));
    const closed = once(socket, "close");
    socket.write(begin);
    while (!socket.destroyed) {
        if (!socket.write(piece)) {
            await Promise.race([once(socket, "drain").catch(() => undefined), closed.catch(() => undefined)]);
        }
        else {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
    return { sentBytes: socket.bytesWritten, openMs: Date.now() - startedAt };
}

interface EndlessWrite {
    readonly sentBytes: number;
    readonly openMs: number;
}

describe("an upstream that sends without end what is no response", () => {
    let setup: TestSetup | undefined;
    let writes: Promise<EndlessWrite>[] = [];

    afterEach(async () => {
        await setup?.stop();
        await Promise.all(writes);
        writes = [];
    });

    const respondEndlessly = ({ begin, repeated }: EndlessResponse) => ({ id, socket }: ReceivedRequest) => {
        writes.push(writeEndlessly(socket, begin(id), repeated));
    };
    const respond = ({ id, socket }: ReceivedRequest) => void socket.write(completeResponse(id, "data: ok\n\n"));

    for (const [name, response] of Object.entries(endless)) {
        const kind = response.isStream ? "streaming" : "safe";

        it(`is given up soon: ${name}`, async () => {
            setup = await TestSetup.start({ kind, maxAttempts: 1 }, [respondEndlessly(response)]);
            const startedAt = Date.now();
            const { status } = await setup.entry.call("q1");
            const answeredMs = Date.now() - startedAt;
            const [{ sentBytes, openMs }] = await Promise.all(writes);
            expect(openMs).toBeLessThan(maxOpenMs);
            expect(answeredMs).toBeLessThan(maxOpenMs);
            expect(sentBytes).toBeLessThan(maxSentBytes);
            expect(status).toEqual(response.isForwarded ? 200 : response.isNotRun ? 503 : 502);
        });

        it(`costs a caller that may try again nothing but time: ${name}`, async () => {
            setup = await TestSetup.start({ kind, maxAttempts: 2, resumable: true }, [
                respondEndlessly(response),
                respond,
            ]);
            const statuses = [];
            for (let index = 0; index < 4; index++) {
                statuses.push((await setup.entry.call(`q${index}`)).status);
            }
            expect(statuses).toEqual([200, 200, 200, 200]);
        });
    }

    it("is counted, and is no suspect of a crash", async () => {
        setup = await TestSetup.start({ maxAttempts: 1 }, [respondEndlessly(endless["a chunk size"])]);
        await setup.entry.call("q1");
        expect(setup.entry.metrics.toText()).toMatchRegex(/upstream_endless_responses_total\{service="s"\} 1/);
        expect(setup.entry.crashReports).toEqual([]);
    });

    it("doesn't hold up other requests of the entry", async () => {
        setup = await TestSetup.start({ maxAttempts: 1 }, [
            respondEndlessly(endless["informational responses"]),
            respond,
        ]);
        const startedAt = Date.now();
        const responses = await Promise.all(Array.from({ length: 40 }, (_, index) => setup!.entry.call(`q${index}`)));
        expect(Date.now() - startedAt).toBeLessThan(maxOpenMs);
        expect(responses.filter(({ status }) => status === 200).length).toBeGreaterThan(15);
    });
});

describe("a response with much content, or much framing", () => {
    let setup: TestSetup;

    afterEach(() => setup.stop());

    async function receive(id: string, read: (res: IncomingMessage) => Promise<number>): Promise<number> {
        const req = setup.entry.open(id);
        req.end();
        const [res] = await once(req, "response") as [IncomingMessage];
        return read(res);
    }

    async function count(res: IncomingMessage, pauseMs = 0): Promise<number> {
        let bytes = 0;
        for await (const chunk of res) {
            bytes += (chunk as Buffer).length;
            if (pauseMs > 0) {
                await new Promise(resolve => setTimeout(resolve, pauseMs));
            }
        }
        return bytes;
    }

    /** Writes pieces, with regard to how fast they are read. */
    async function send(socket: Socket, begin: string, piece: string, pieces: number, end: string): Promise<void> {
        socket.write(begin);
        for (let index = 0; index < pieces; index++) {
            if (!socket.write(piece)) {
                await once(socket, "drain");
            }
        }
        socket.write(end);
    }

    const size = 24 * 1024 * 1024;

    it("is forwarded whole: a long one with a length", async () => {
        setup = await TestSetup.start({}, [
            ({ id, socket }) =>
                void send(
                    socket,
                    `${sealedHead(id)}Content-Length: ${size}\r\n\r\n`,
                    "x".repeat(65_536),
                    size / 65_536,
                    "",
                ),
        ]);
        expect(await receive("q", count)).toEqual(size);
    });

    it("is forwarded whole: a long one in chunks, read slowly", async () => {
        setup = await TestSetup.start({}, [
            ({ id, socket }) => void send(socket, chunkedHead(id), chunkOf(65_536), 64, "0\r\n\r\n"),
        ]);
        expect(await receive("q", res => count(res, 5))).toEqual(64 * 65_536);
    });

    it("is forwarded whole: chunks of a single byte", async () => {
        setup = await TestSetup.start({}, [
            ({ id, socket }) => void send(socket, chunkedHead(id), chunkOf(1).repeat(100), 1000, "0\r\n\r\n"),
        ]);
        expect(await receive("q", count)).toEqual(100_000);
    });

    it("is forwarded whole: a long event", async () => {
        const event = `data: ${"x".repeat(1024 * 1024)}\n\n`;
        setup = await TestSetup.start({ kind: "streaming" }, [({ id, socket }) =>
            void send(
                socket,
                `${sealedHead(id)}Content-Type: text/event-stream\r\nContent-Length: ${event.length}\r\n\r\n`,
                event,
                1,
                "",
            )]);
        expect(await receive("q", count)).toEqual(event.length);
    });

    it("is forwarded whole: after some informational responses", async () => {
        setup = await TestSetup.start({}, [({ id, socket }) => {
            socket.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(20) + completeResponse(id, "ok"));
        }]);
        expect((await setup.entry.call("q")).body).toEqual("ok");
    });

    it("is forwarded whole: the hundredth one with a long head on the same connection", async () => {
        const headers = `X-Long: ${"x".repeat(8000)}\r\n`;
        setup = await TestSetup.start(
            {},
            [({ id, socket }) => void socket.write(completeResponse(id, "ok", headers))],
            1,
        );
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const statuses = [];
        for (let index = 0; index < 100; index++) {
            statuses.push((await setup.entry.call(`q${index}`, { agent })).status);
        }
        agent.destroy();
        expect(statuses.filter(status => status !== 200)).toEqual([]);
        expect(100 * headers.length).toBeGreaterThan(4 * maxFramingBytes);
    });

    it("is forwarded whole: a failure of some size", async () => {
        const body = "x".repeat(512 * 1024);
        setup = await TestSetup.start({ maxAttempts: 1 }, [
            ({ id, socket }) => void socket.write(completeResponse(id, body, "", "500 Failed")),
        ]);
        const { status, body: received } = await setup.entry.call("q");
        expect([status, received.length]).toEqual([500, body.length]);
    });
});
