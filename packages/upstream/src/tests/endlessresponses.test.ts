/** Guards against upstreams that send an agent bytes without end which are no response, and read states without a bound. */
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HttpUpstream } from "../index.js";

/** Bytes that an upstream may get rid of, buffers of both sides included. */
const maxSentBytes = 16 * 1024 * 1024;
const pieceBytes = 16 * 1024;
const head = "HTTP/1.1 200 OK\r\n";

const endlessFramings: Readonly<Record<string, { readonly begin: string; readonly repeated: string; }>> = {
    "informational responses": { begin: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    "empty lines": { begin: "", repeated: "\r\n" },
    "a chunk size": { begin: `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: "0" },
    "a chunk extension": { begin: `${head}Transfer-Encoding: chunked\r\n\r\n5;x=`, repeated: "x" },
};

describe("an upstream that sends an agent bytes without end", () => {
    let server: Server;
    let upstream: HttpUpstream;
    const sockets: Socket[] = [];

    afterEach(async () => {
        await upstream.close();
        sockets.splice(0).forEach(socket => socket.destroy());
        server.close();
    });

    async function listen(begin: string, repeated: string): Promise<void> {
        const piece = repeated.repeat(Math.ceil(pieceBytes / repeated.length));
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            const write = () => {
                while (!socket.destroyed && socket.write(piece)) {}
            };
            socket.once("data", () => {
                socket.on("drain", write);
                socket.write(begin);
                write();
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        upstream = new HttpUpstream(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, true);
    }

    const sentBytes = () => sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);

    async function read(): Promise<void> {
        const { body } = await upstream.send({
            method: "GET",
            path: "/",
            headers: {},
            body: new Uint8Array(),
            signal: AbortSignal.timeout(5000),
        });
        for await (const chunk of body) {
            expect(chunk.length).toBeGreaterThan(0);
        }
    }

    for (const [name, { begin, repeated }] of Object.entries(endlessFramings)) {
        it(`is given up soon: ${name}`, async () => {
            await listen(begin, repeated);
            const startedAt = Date.now();
            await expect(read()).toBeRejected();
            expect(Date.now() - startedAt).toBeLessThan(2000);
            expect(sentBytes()).toBeLessThan(maxSentBytes);
        });
    }

    it("is given up soon: a state", async () => {
        await listen(`${head}Content-Length: 1000000000\r\n\r\n`, " ");
        await expect(upstream.readState()).toBeRejected();
        expect(sentBytes()).toBeLessThan(maxSentBytes);
    });

    it("is given up soon: an answer to an order, which is uncertain then", async () => {
        await listen("", "\r\n");
        const order = { kind: "load" } as unknown as Parameters<HttpUpstream["order"]>[0];
        expect(await upstream.order(order)).toEqual("uncertain");
        expect(sentBytes()).toBeLessThan(maxSentBytes);
    });
});
