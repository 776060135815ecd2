/**
 * Guards against clients that cost a server more than they should, and against a guard that gets in the way of clients that
 * keep to the limits: they send requests ahead and large bodies in any pieces, and read slowly.
 */
import { type EventLog, Metrics, silentLog, sleep } from "@winchpath/core";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ConnectionPool, defaultConnectionLimits, guardHttpServer, ListenerWeight, type PoolLimits } from "../index.js";

const limits = { ...defaultConnectionLimits, headerBytes: 1024, requestsAhead: 4 };
const unbounded: PoolLimits = { connections: undefined, heldBytes: undefined };
const head = "GET /x HTTP/1.1\r\nHost: h\r\n";

type Handler = (req: IncomingMessage, res: ServerResponse) => void;

/** Answers with the URL and the body's length. */
function echo(req: IncomingMessage, res: ServerResponse): void {
    let length = 0;
    req.on("data", (bytes: Buffer) => length += bytes.length);
    req.on("end", () => res.end(`<${req.url} ${length}>`));
}

describe("guardHttpServer", () => {
    let server: Server;
    let pool: ConnectionPool;
    let metrics: Metrics;
    const clients: Client[] = [];

    /** A connection that collects what it receives. */
    class Client {
        public text = "";
        public readonly socket: Socket;
        public readonly closed: Promise<unknown>;

        public constructor() {
            this.socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            this.socket.on("data", bytes => this.text += bytes.toString("latin1"));
            this.socket.on("error", () => undefined);
            this.closed = once(this.socket, "close");
            clients.push(this);
        }

        public async receives(part: string): Promise<void> {
            while (!this.text.includes(part)) {
                expect(this.socket.destroyed).toEqual(false);
                await sleep(5);
            }
        }
    }

    async function listen(handler: Handler, poolLimits = unbounded, log: EventLog = silentLog): Promise<void> {
        metrics = new Metrics();
        pool = new ConnectionPool(poolLimits, log, metrics);
        server = createServer(handler);
        guardHttpServer(server, pool, {
            name: "test",
            weight: ListenerWeight.clients,
            forwards: true,
            limits: () => limits,
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    }

    afterEach(() => {
        clients.splice(0).forEach(({ socket }) => socket.destroy());
        server.closeAllConnections();
        server.close();
    });

    describe("for clients within the limits", () => {
        beforeEach(() => listen(echo));

        it("answers more requests ahead than may be under way, in their order", async () => {
            const client = new Client();
            const paths = Array.from({ length: 300 }, (_, index) => `/${index}`);
            client.socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(""));
            await client.receives("</299 0>");
            expect([...client.text.matchAll(/<(\S+) 0>/g)].map(match => match[1])).toEqual(paths);
        });

        for (const pieceBytes of [1, 7, 1000, 100_000]) {
            it(`reads heads and bodies in pieces of ${pieceBytes} bytes`, async () => {
                const client = new Client();
                const body = "b".repeat(3000);
                const chunked = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
                const text = `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n${body}`
                    + `POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${chunked}`
                    + "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";
                client.socket.setNoDelay(true);
                for (let at = 0; at < text.length; at += pieceBytes) {
                    client.socket.write(text.slice(at, at + pieceBytes));
                    await new Promise(resolve => setImmediate(resolve));
                }
                await client.receives("</c 0>");
                expect(client.text.match(/<\/\w \d+>/g)).toEqual(["</a 3000>", "</b 3000>", "</c 0>"]);
            });
        }

        it("releases what it has counted once requests are answered", async () => {
            const client = new Client();
            client.socket.write(`POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n${"b".repeat(100_000)}`);
            await client.receives("</a 100000>");
            await sleep(20);
            expect(pool.heldBytes).toEqual(0);
            client.socket.destroy();
            await client.closed;
            await sleep(20);
            expect(pool.size).toEqual(0);
        });
    });

    describe("for clients that take their time, but no more than allowed", () => {
        /** Lets the guard check times as if that many milliseconds had passed. */
        const checkAfter = (passedMs: number) => pool.check(performance.now() + passedMs);

        it("keeps a connection open that was idle for long", async () => {
            await listen(echo);
            const client = new Client();
            client.socket.write(`${head}\r\n`);
            await client.receives("</x 0>");
            checkAfter(10 * limits.requestTimeoutMs);
            client.socket.write(`${head}\r\n`);
            await client.receives("</x 0>");
            expect(client.socket.destroyed).toEqual(false);
        });

        it("reads a body that arrives slowly", async () => {
            await listen(echo);
            const client = new Client();
            client.socket.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n");
            await sleep(20);
            for (let count = 1; count <= 20; count++) {
                checkAfter(limits.requestTimeoutMs - 1000);
                client.socket.write("b");
                await sleep(2);
            }
            await client.receives("</a 20>");
        });

        it("sends all of a large answer to a client that takes a part of it now and then", async () => {
            const answerBytes = 60_000_000;
            /** More than the kernel holds for a connection, so that the server sends some of the rest. */
            const partBytes = 12_000_000;
            await listen((_req, res) => res.end("a".repeat(answerBytes)));
            const client = new Client();
            client.socket.pause();
            client.socket.write(`${head}\r\n`);
            while (pool.heldBytes < answerBytes / 2) {
                await sleep(5);
                pool.check();
            }
            for (let passedMs = 0; client.text.length < answerBytes; passedMs += limits.unreadTimeoutMs - 1000) {
                checkAfter(passedMs);
                client.socket.resume();
                const end = Math.min(client.text.length + partBytes, answerBytes);
                while (client.text.length < end) {
                    await sleep(1);
                    expect(client.socket.destroyed).toEqual(false);
                }
                client.socket.pause();
            }
        });
    });

    it("reads on after an early answer to a long body", async () => {
        await listen((req, res) => res.end(`<${req.url}>`));
        const client = new Client();
        client.socket.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n");
        await client.receives("</a>");
        client.socket.write("b".repeat(500_000));
        client.socket.write("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        await client.receives("</b>");
    });

    describe("for clients that don't keep to them", () => {
        it("has only the allowed number of requests under way", async () => {
            const waiting: ServerResponse[] = [];
            await listen((_req, res) => waiting.push(res));
            const client = new Client();
            client.socket.write(`${head}\r\n`.repeat(1000));
            while (waiting.length < limits.requestsAhead) {
                await sleep(5);
            }
            await sleep(50);
            expect(waiting.length).toEqual(limits.requestsAhead);
            waiting[0].end("first");
            while (waiting.length < limits.requestsAhead + 1) {
                await sleep(5);
            }
        });

        it("answers a request without Host with 400, and closes the connection", async () => {
            await listen(echo);
            const client = new Client();
            client.socket.write("GET /x HTTP/1.1\r\n\r\n".repeat(1000));
            await client.closed;
            expect(client.text.startsWith("HTTP/1.1 400 ")).toEqual(true);
            expect(client.text.match(/HTTP\/1\.1 /g)!.length).toEqual(1);
        });

        for (
            const [name, text] of [["header lines", `${head}${"X-A: aaaaaaaaaa\r\n".repeat(2000)}`], [
                "empty lines",
                "\r\n".repeat(20_000),
            ]]
        ) {
            it(`answers ${name} without end with 431, and closes the connection`, async () => {
                await listen(echo);
                const client = new Client();
                client.socket.write(text);
                await client.closed;
                expect(client.text.startsWith("HTTP/1.1 431 ")).toEqual(true);
                expect(client.text.includes("Connection: close")).toEqual(true);
            });
        }

        it("answers empty lines without end after a request in the same way", async () => {
            await listen(echo);
            const client = new Client();
            client.socket.write(`${head}\r\n`);
            await client.receives("</x 0>");
            client.socket.write("\r\n".repeat(20_000));
            await client.receives("HTTP/1.1 431 ");
            await client.closed;
        });

        it("answers the requests before such a head first", async () => {
            let waiting: ServerResponse | undefined;
            await listen((_req, res) => waiting = res);
            const client = new Client();
            client.socket.write(`${head}\r\n${head}${"X-A: aaaaaaaaaa\r\n".repeat(2000)}`);
            await sleep(50);
            expect(client.text).toEqual("");
            waiting!.end("<first>");
            await client.closed;
            expect(client.text.match(/HTTP\/1\.1 \d+|<first>/g)).toEqual(["HTTP/1.1 200", "<first>", "HTTP/1.1 431"]);
        });

        it("rejects requests that are not complete, once connections hold more than allowed, and serves others", async () => {
            await listen(echo, { connections: undefined, heldBytes: 400_000 });
            const incomplete = Array.from({ length: 6 }, () => {
                const client = new Client();
                client.socket.write(
                    `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n${"b".repeat(99_000)}`,
                );
                return client;
            });
            while (!incomplete.some(({ text }) => text.startsWith("HTTP/1.1 503 "))) {
                await sleep(5);
            }
            expect(pool.heldBytes <= 400_000).toEqual(true);
            const client = new Client();
            client.socket.write(`${head}\r\n`);
            await client.receives("</x 0>");
        });

        describe("beside requests that wait for their answers", () => {
            const largeRequest = `POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 110000\r\n\r\n${
                "b".repeat(110_000)
            }`;
            const waiting: ServerResponse[] = [];

            async function listenSlowly(poolLimits: PoolLimits): Promise<void> {
                waiting.splice(0);
                await listen((req, res) => {
                    req.on("data", () => {});
                    req.on("end", () => req.url === "/slow" ? waiting.push(res) : res.end(`<${req.url}>`));
                }, poolLimits);
            }

            async function wait(text: string, clientCount: number): Promise<void> {
                for (let count = waiting.length + 1; count <= clientCount; count++) {
                    new Client().socket.write(text);
                    while (waiting.length < count) {
                        await sleep(5);
                    }
                }
            }

            it("refuses a large request while as much is held as allowed, and serves a small one", async () => {
                await listenSlowly({ connections: undefined, heldBytes: 400_000 });
                await wait(largeRequest, 3);
                const refused = new Client();
                refused.socket.write(largeRequest);
                await refused.closed;
                expect(refused.text.startsWith("HTTP/1.1 503 ")).toEqual(true);
                expect(refused.text.includes("Retry-After: 0.1")).toEqual(true);
                const small = new Client();
                small.socket.write(`${head}\r\n`);
                await small.receives("</x>");
                expect(waiting.length).toEqual(3);
                waiting[0].end("first");
                while (pool.heldBytes > 250_000) {
                    await sleep(5);
                }
                await wait(largeRequest, 4);
            });

            it("refuses a request while no descriptor is left for its upstream, but closes idle connections first", async () => {
                await listenSlowly({ connections: undefined, descriptors: 7, heldBytes: undefined });
                const idle = new Client();
                idle.socket.write(`${head}\r\n`);
                await idle.receives("</x>");
                await wait("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", 3);
                expect(idle.socket.destroyed).toEqual(false);
                const last = new Client();
                await idle.closed;
                last.socket.write(`${head}\r\n`);
                await last.receives("HTTP/1.1 503 ");
                await last.closed;
                waiting[0].end();
                const next = new Client();
                next.socket.write(`${head}\r\n`);
                await next.receives("HTTP/1.1 ");
            });
        });

        it("closes a connection without a request in favour of a new one, once there are too many", async () => {
            await listen(echo, { connections: 3, heldBytes: undefined });
            const used = new Client();
            used.socket.write(`${head}\r\n`);
            await used.receives("</x 0>");
            const silent = new Client();
            await once(silent.socket, "connect");
            await sleep(10);
            const others = [new Client(), new Client()];
            await silent.closed;
            others[1].socket.write(`${head}\r\n`);
            await others[1].receives("</x 0>");
            expect(used.socket.destroyed).toEqual(false);
            expect(pool.size <= 3).toEqual(true);
        });

        describe("in time", () => {
            let reasons: unknown[];

            beforeEach(async () => {
                reasons = [];
                const log: EventLog = { info: (_event, values) => reasons.push(values?.["reason"]), warn: () => {} };
                await listen(echo, unbounded, log);
            });

            for (
                const [name, text, timeoutMs, reason] of [
                    ["head", head, limits.headerTimeoutMs, "head-late"],
                    ["head, of which nothing has come,", "", limits.headerTimeoutMs, "head-late"],
                    [
                        "body",
                        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nb",
                        limits.requestTimeoutMs,
                        "request-late",
                    ],
                ] as const
            ) {
                it(`closes a connection whose ${name} isn't complete`, async () => {
                    const client = new Client();
                    client.socket.write(text);
                    while (pool.size === 0 || pool.heldBytes < text.length) {
                        await sleep(5);
                    }
                    pool.check(performance.now() + timeoutMs - 1000);
                    expect(reasons).toEqual([]);
                    pool.check(performance.now() + timeoutMs + 2000);
                    expect(reasons).toEqual([reason]);
                    await client.closed;
                });
            }
        });

        it("closes the connection of a client that takes nothing of its answer", async () => {
            const events: string[] = [];
            const log: EventLog = { info: (_event, values) => events.push(String(values?.["reason"])), warn: () => {} };
            await listen((_req, res) => res.end("a".repeat(20_000_000)), unbounded, log);
            const client = new Client();
            client.socket.pause();
            client.socket.write(`${head}\r\n`);
            while (pool.heldBytes < 1_000_000) {
                await sleep(10);
                pool.check();
            }
            pool.check();
            pool.check(performance.now() + limits.unreadTimeoutMs + 1000);
            expect(events).toEqual(["unread-output"]);
            expect(pool.heldBytes).toEqual(0);
        });
    });
});
