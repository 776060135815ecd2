/** Guards against an agent's upstream that stops inside its response's head and is recorded as finished. */
import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FenceOutcome, HttpUpstream, type RunChunk, Runner, RunRequestSchema } from "../index.js";

const connectionEnds = ["FIN", "reset"] as const;
const deliveries = ["at once", "byte by byte", "end later"] as const;
/** Time between the last byte and the end of the connection, in milliseconds, if it ends later. */
const lateEndMs = 3;
const concurrency = 16;
const requestTimeoutMs = 10_000;
const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });

const status = "HTTP/1.1 200 OK\r\nX-A: a\r\n";
const hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n";
const heads: Readonly<Record<string, string>> = {
    "a length": `${status}Content-Length: 12\r\n\r\n`,
    "no body": `${status}Content-Length: 0\r\n\r\n`,
    "chunks": `${status}Transfer-Encoding: chunked\r\n\r\n`,
    "its connection": `${status}Connection: close\r\n\r\n`,
    "its connection, in HTTP/1.0": "HTTP/1.0 200 OK\r\nX-A: a\r\n\r\n",
    "a folded header": `${status}X-Folded: one\r\n two\r\nContent-Length: 12\r\n\r\n`,
    "early hints before": `${hints}\r\n${status}Content-Length: 12\r\n\r\n`,
    "a last early hint before": `${hints}Connection: close\r\n\r\n${status}Content-Length: 12\r\n\r\n`,
    "a large header": `${status}X-Large: ${"v".repeat(6000)}\r\nContent-Length: 12\r\n\r\n`,
};
/** A large head is cut after every so many bytes. */
const largeStep = 499;

interface Cut {
    readonly text: string;
    readonly end: typeof connectionEnds[number];
    readonly delivery: typeof deliveries[number];
}

function cutsOf(head: string): Cut[] {
    const step = head.length > 1000 ? largeStep : 1;
    return connectionEnds.flatMap(end =>
        deliveries.flatMap(delivery =>
            Array.from({ length: Math.floor(head.length / step) }, (_, index) => ({
                text: head.slice(0, head.length - 1 - index * step),
                end,
                delivery,
            }))
        )
    );
}

class RawUpstream {
    public readonly cuts = new Map<string, Cut>();
    private readonly server: Server = createServer(socket => this.accept(socket));

    public async listen(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public stop(): void {
        this.server.close();
    }

    private accept(socket: Socket): void {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("data", (bytes: Buffer) => {
            const [, id] = /^\S+ \/(\S+)/.exec(bytes.toString())!;
            const cut = this.cuts.get(id);
            if (cut === undefined) {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
            else {
                void this.respond(socket, cut);
            }
        });
    }

    private async respond(socket: Socket, { text, end, delivery }: Cut): Promise<void> {
        for (const part of delivery === "byte by byte" ? [...text] : [text]) {
            await new Promise<void>(resolve => socket.write(part, () => resolve()));
        }
        if (delivery === "end later") {
            await new Promise(resolve => setTimeout(resolve, lateEndMs));
        }
        if (end === "FIN") {
            socket.end();
        }
        else {
            socket.resetAndDestroy();
        }
    }
}

describe("an agent's upstream that stops inside its response's head and closes", () => {
    let raw: RawUpstream;
    let upstream: HttpUpstream;
    let runner: Runner;

    beforeEach(async () => {
        raw = new RawUpstream();
        upstream = new HttpUpstream(await raw.listen(), false);
        runner = new Runner(upstream, () => undefined, timeline);
    });

    afterEach(async () => {
        await upstream.close();
        raw.stop();
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

    async function expectBroken(cut: Cut, id: string): Promise<void> {
        raw.cuts.set(id, cut);
        const chunks = await run(id);
        const seen = { cut, heads: chunks.filter(({ head }) => head !== undefined).length };
        expect(seen).toEqual({ cut, heads: 0 });
        const last = chunks.at(-1)!;
        expect({ cut, finished: last.end !== undefined, broken: last.broken !== undefined })
            .toEqual({ cut, finished: false, broken: true });
        expect(runner.table.fence(id, 1, 0)).toEqual(FenceOutcome.BROKEN);
    }

    for (const [framing, head] of Object.entries(heads)) {
        it(`is recorded as broken, without a head, if the head names ${framing}`, async () => {
            const queue = [...cutsOf(head).entries()];
            await Promise.all(Array.from({ length: concurrency }, async () => {
                for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
                    await expectBroken(next[1], `r${next[0]}`);
                }
            }));
        });
    }

    it("is recorded as broken on a connection that has carried a response", async () => {
        for (const [index, cut] of cutsOf(heads["its connection"]).entries()) {
            expect((await run(`well${index}`)).at(-1)!.end?.bodyBytes).toEqual(2n);
            await expectBroken(cut, `cut${index}`);
        }
    });
});
