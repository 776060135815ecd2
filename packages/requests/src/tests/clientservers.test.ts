/** Guards against requests of clients that are run on a connection that can't carry their response any more. */
import { Deferred, sleep } from "@winchpath/core";
import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ClientServer, type ClientServerOptions, type Job, type ResponseEvent } from "../index.js";

describe("ClientServer", () => {
    let server: ClientServer;
    let socket: Socket;
    let text: string;
    let isClosed: boolean;
    /** Paths of the requests that were run. */
    let ran: string[];
    /** Ends the response to the request for `/services/s/slow`. */
    let slowResponse: Deferred<void>;
    const largeBody = "x".repeat(200_000);

    beforeEach(async () => {
        ran = [];
        slowResponse = new Deferred();
        server = new ClientServer({
            handler: { handle },
            catalogue: () => ({ services: new Map([["s", 1]]) }),
            table: { replicasOfService: () => [] },
            unplaceableReason: () => undefined,
            requestMs: 5000,
            firstTokenMs: 5000,
            bodyBytes: 65_536,
            headerBytes: 16_384,
            connections: 100,
        } as unknown as ClientServerOptions);
        await server.listen({ host: "127.0.0.1", port: 0 });
        text = "";
        isClosed = false;
        socket = connect(server.port, "127.0.0.1");
        socket.on("data", bytes => text += bytes.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => isClosed = true);
    });

    afterEach(async () => {
        slowResponse.resolve();
        socket.destroy();
        await server.close(0);
    });

    async function* handle(job: Job): AsyncGenerator<ResponseEvent, void> {
        ran.push(job.path);
        yield { tag: "head", status: 200, headers: [] };
        if (job.path.includes("slow")) {
            yield { tag: "body", bytes: Buffer.from("begun ") };
            await slowResponse.promise;
        }
        yield { tag: "body", bytes: Buffer.from(job.path.includes("large") ? largeBody : `answer to ${job.path}`) };
    }

    function send(path: string): void {
        socket.write(`POST /services/s/${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n`);
    }

    async function until(condition: () => boolean): Promise<void> {
        for (const deadline = Date.now() + 5000; !condition() && Date.now() < deadline;) {
            await sleep(1);
        }
        expect(condition()).toEqual(true);
    }

    // Guards against requests that run although the response before announces the close of their connection.
    it("doesn't run a second request behind a response after which the connection closes", async () => {
        server.prepareClose();
        send("slow");
        send("next");
        await until(() => text.includes("begun"));
        await sleep(50);
        slowResponse.resolve();
        await until(() => isClosed);
        expect(text.split("HTTP/1.1 200").length - 1).toEqual(ran.length);
        expect(ran.length).toEqual(1);
    });

    // Guards against a connection that is closed right after a response, while the client's next request is on its way.
    it("answers the next request after a response that spans the beginning of a shutdown", async () => {
        send("slow");
        await until(() => text.includes("begun"));
        const closed = server.close(5000);
        await sleep(100);
        slowResponse.resolve();
        await until(() => text.endsWith("0\r\n\r\n"));
        await sleep(100);
        send("next");
        await closed;
        await until(() => isClosed);
        expect(text.split("HTTP/1.1 200").length - 1).toEqual(2);
        expect(text.toLowerCase()).toInclude("connection: close");
    });

    // Guards against ended responses that are cut off at a shutdown, since they counted as sent.
    it("sends the whole response to each request that has run to a client that reads slowly", async () => {
        socket.pause();
        for (let request = 0; request < 40; request++) {
            send("large");
        }
        await sleep(500);
        const closed = server.close(6000);
        await sleep(500);
        socket.resume();
        await closed;
        await until(() => isClosed);
        expect(text.split(largeBody).length - 1).toEqual(ran.length);
        expect(ran.length).toBeGreaterThan(1);
    });
});
