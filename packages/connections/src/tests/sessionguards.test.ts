/** Guards against peers whose calls hold more than a process can bear, and against a guard that cuts a message that must arrive. */
import { type EventLog, Metrics, sleep } from "@winchpath/core";
import { expect } from "earl";
import { once } from "node:events";
import { type ClientHttp2Session, type ClientHttp2Stream, connect, createServer, type Http2Server } from "node:http2";
import { type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ConnectionPool, defaultConnectionLimits, guardHttp2Server, ListenerWeight } from "../index.js";

const heldBytes = 200_000;
const { requestTimeoutMs, unreadTimeoutMs } = defaultConnectionLimits;
/** More than a stream's window. */
const largeAnswer = "a".repeat(1_000_000);

describe("guardHttp2Server", () => {
    let server: Http2Server;
    let pool: ConnectionPool;
    let reasons: unknown[];
    const sessions: ClientHttp2Session[] = [];

    beforeEach(async () => {
        reasons = [];
        const log: EventLog = { info: (_event, values) => reasons.push(values?.["reason"]), warn: () => {} };
        pool = new ConnectionPool({ connections: undefined, heldBytes }, log, new Metrics());
        server = createServer((req, res) => {
            let length = 0;
            req.on("data", (bytes: Buffer) => length += bytes.length);
            req.on("end", () => res.end(req.url === "/large" ? largeAnswer : `<${length}>`));
        });
        guardHttp2Server(server, pool, { name: "test", weight: ListenerWeight.peers });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => {
        sessions.splice(0).forEach(session => session.destroy());
        server.close();
    });

    function openSession(): ClientHttp2Session {
        const session = connect(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        session.on("error", () => undefined);
        sessions.push(session);
        return session;
    }

    function begin(session: ClientHttp2Session, path: string, messageBytes: number): ClientHttp2Stream {
        const call = session.request({ ":method": "POST", ":path": path });
        call.on("error", () => undefined);
        call.write("m".repeat(messageBytes));
        return call;
    }

    async function answerOf(call: ClientHttp2Stream): Promise<string> {
        const pieces: Buffer[] = [];
        call.on("data", (piece: Buffer) => pieces.push(piece));
        call.end();
        await once(call, "end");
        return Buffer.concat(pieces).toString();
    }

    async function holds(bytes: number): Promise<void> {
        while (pool.heldBytes < bytes) {
            await sleep(5);
        }
    }

    it("lets a message through that is larger than the bound, if no other connection holds much", async () => {
        const call = begin(openSession(), "/", 1.5 * heldBytes);
        begin(openSession(), "/", 1000);
        await holds(1.5 * heldBytes);
        expect(await answerOf(call)).toEqual(`<${1.5 * heldBytes}>`);
        expect(reasons).toEqual([]);
    });

    it("counts a message until its call is answered", async () => {
        await answerOf(begin(openSession(), "/", 1000));
        while (pool.heldBytes > 0) {
            await sleep(5);
        }
    });

    it("closes connections whose calls hold too much together, and answers others", async () => {
        const crowd = Array.from({ length: 6 }, openSession);
        const small = begin(openSession(), "/", 1000);
        crowd.forEach(session => begin(session, "/", 90_000));
        while (reasons.length < 3) {
            await sleep(5);
            pool.check();
        }
        expect(pool.heldBytes <= 1.5 * heldBytes).toEqual(true);
        expect(await answerOf(small)).toEqual("<1000>");
        expect(new Set(reasons)).toEqual(new Set(["memory"]));
    });

    it("closes a connection that alone holds a multiple of the bound", async () => {
        const session = openSession();
        const closed = new Promise(resolve => session.once("close", resolve));
        begin(session, "/", 3 * heldBytes);
        while (reasons.length === 0) {
            await sleep(5);
            pool.check();
        }
        await closed;
        expect(reasons).toEqual(["memory"]);
    });

    it("closes a connection whose message doesn't end in time", async () => {
        const session = openSession();
        begin(session, "/", 1000);
        await holds(1000);
        pool.check(performance.now() + requestTimeoutMs - 1000);
        expect(reasons).toEqual([]);
        pool.check(performance.now() + requestTimeoutMs + 1000);
        expect(reasons).toEqual(["request-late"]);
    });

    it("closes a connection that takes nothing of its answers", async () => {
        const session = openSession();
        const call = begin(session, "/large", 10);
        call.pause();
        call.end();
        while (pool.heldBytes < 500_000) {
            await sleep(10);
            pool.check();
        }
        // What is on its way is written meanwhile.
        await sleep(50);
        pool.check();
        pool.check(performance.now() + unreadTimeoutMs + 1000);
        expect(reasons).toEqual(["unread-output"]);
        expect(pool.heldBytes).toEqual(0);
    });
});
