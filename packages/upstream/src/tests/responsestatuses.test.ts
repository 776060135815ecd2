/** Guards against answers of an agent's upstream that are recorded although their status code is that of no response. */
import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FenceOutcome, HttpUpstream, type RunChunk, Runner, RunRequestSchema } from "../index.js";

const invalidStatuses = ["000", "0", "099", "20", "2000", "abc", "600", "999"];
const requestTimeoutMs = 10_000;
const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });
const state = JSON.stringify({ residents: [], load: { running: 0, waiting: 0, ageMs: 0 } });
const order = { kind: "load", item: "m@1", bytes: 1 } as unknown as Parameters<HttpUpstream["order"]>[0];

describe("an agent's upstream that answers with a status code of no response", () => {
    let server: Server;
    let upstream: HttpUpstream;
    let runner: Runner;
    let status: string;
    const sockets = new Set<Socket>();

    beforeEach(async () => {
        server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on(
                "data",
                () => socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: ${state.length}\r\n\r\n${state}`),
            );
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        upstream = new HttpUpstream(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, true);
        runner = new Runner(upstream, () => undefined, timeline);
    });

    afterEach(async () => {
        await upstream.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    async function run(id: string): Promise<RunChunk[]> {
        const req = create(RunRequestSchema, {
            requestId: id,
            attempt: 1,
            method: "GET",
            path: `/${id}`,
            timeoutMs: requestTimeoutMs,
            idempotent: true,
        });
        const chunks: RunChunk[] = [];
        for await (const chunk of runner.run(req)) {
            chunks.push(chunk);
        }
        return chunks;
    }

    for (const invalid of invalidStatuses) {
        it(`is recorded as broken, without a head (status ${invalid})`, async () => {
            status = invalid;
            const chunks = await run("r");
            expect(chunks.some(({ head }) => head !== undefined)).toEqual(false);
            expect(chunks.at(-1)!.broken !== undefined).toEqual(true);
            expect(runner.table.fence("r", 1, 0)).toEqual(FenceOutcome.BROKEN);
        });

        it(`leaves its state and the outcome of an order unknown (status ${invalid})`, async () => {
            status = invalid;
            await expect(upstream.readState()).toBeRejected();
            expect(await upstream.order(order)).toEqual("uncertain");
        });
    }

    it("is told from one that answers with a failure", async () => {
        status = "500";
        const chunks = await run("r");
        expect(chunks.find(({ head }) => head !== undefined)?.head?.status).toEqual(500);
        await expect(upstream.readState()).toBeRejected();
        expect(await upstream.order(order)).toEqual("refused");
    });
});
