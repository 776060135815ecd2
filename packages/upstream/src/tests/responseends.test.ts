/** Guards against responses that the agent's upstream broke off and that are recorded as finished. */
import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FenceOutcome, HttpUpstream, type RunChunk, Runner, RunRequestSchema } from "../index.js";

const framings = ["length", "chunked", "close"] as const;
type Framing = typeof framings[number];
const connectionEnds = ["FIN", "reset"] as const;
type ConnectionEnd = typeof connectionEnds[number];
const deliveries = ["at once", "byte by byte", "end later"] as const;
type Delivery = typeof deliveries[number];
const lineEnds = { LF: "\n", CRLF: "\r\n", CR: "\r" };
const eventStream = "text/event-stream";
const plainText = "text/plain";

/** Time between the last byte and the end of the connection, in milliseconds, if it ends later. */
const lateEndMs = 3;
/** Parallel requests of one test. */
const concurrency = 16;
const requestTimeoutMs = 10_000;

const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });

/** A response that ends after `sentBytes` of its encoded body. */
interface CutCase {
    readonly framing: Framing;
    readonly end: ConnectionEnd;
    readonly delivery: Delivery;
    readonly status: number;
    readonly contentType: string;
    readonly parts: readonly string[];
    readonly sentBytes: number;
}

function eventsWith(lineEnd: string): string[] {
    return ["one", "[DONE]"].map(text => `data: ${text}${lineEnd}${lineEnd}`);
}

function encodeBody(framing: Framing, parts: readonly string[]): string {
    return framing === "chunked"
        ? [...parts, ""].map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join("")
        : parts.join("");
}

function encodeHead({ framing, status, contentType, parts }: CutCase): string {
    const framingHeader = {
        length: `Content-Length: ${parts.join("").length}\r\n`,
        chunked: "Transfer-Encoding: chunked\r\n",
        close: "",
    }[framing];
    return `HTTP/1.1 ${status} S\r\nContent-Type: ${contentType}\r\nConnection: close\r\n${framingHeader}\r\n`;
}

/** Returns the case after every number of bytes. */
function cutsOf(full: Omit<CutCase, "sentBytes" | "delivery">): CutCase[] {
    const { length } = encodeBody(full.framing, full.parts);
    return deliveries.flatMap(delivery =>
        Array.from({ length: length + 1 }, (_, sentBytes) => ({ ...full, delivery, sentBytes }))
    );
}

/** Whether the record must be finished; "either" if the reset may overtake bytes that were sent before. */
function wholeness({ framing, end, contentType, parts, sentBytes }: CutCase): "yes" | "no" | "either" {
    if (framing !== "close") {
        const isWhole = sentBytes === encodeBody(framing, parts).length;
        return !isWhole ? "no" : end === "FIN" ? "yes" : "either";
    }
    const ends = parts.map((_, index) => parts.slice(0, index + 1).join("").length);
    const mayBeWhole = contentType !== eventStream || ends.includes(sentBytes);
    return end === "FIN" && mayBeWhole ? "yes" : "no";
}

class RawUpstream {
    public readonly cuts = new Map<string, CutCase>();
    /** Called before the connection ends. */
    public beforeEnd: () => void = () => undefined;
    private readonly server: Server = createServer(socket => this.accept(socket));

    public async listen(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public stopListening(): void {
        this.server.close();
    }

    private accept(socket: Socket): void {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.once("data", (bytes: Buffer) => {
            const [, id] = /^\S+ \/(\S+)/.exec(bytes.toString())!;
            void this.respond(socket, this.cuts.get(id)!);
        });
    }

    private async respond(socket: Socket, cut: CutCase): Promise<void> {
        const text = encodeHead(cut) + encodeBody(cut.framing, cut.parts).slice(0, cut.sentBytes);
        for (const part of cut.delivery === "byte by byte" ? [...text] : [text]) {
            await new Promise<void>(resolve => socket.write(part, () => resolve()));
        }
        if (cut.delivery === "end later") {
            await new Promise(resolve => setTimeout(resolve, lateEndMs));
        }
        this.beforeEnd();
        if (cut.end === "FIN") {
            socket.end();
        }
        else {
            socket.resetAndDestroy();
        }
    }
}

describe("a response that the agent's upstream breaks off", () => {
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
        raw.stopListening();
    });

    async function last(id: string, attach = false): Promise<RunChunk> {
        const req = create(RunRequestSchema, {
            requestId: id,
            attempt: 1,
            method: "GET",
            path: `/${id}`,
            timeoutMs: requestTimeoutMs,
            idempotent: true,
            attach,
        });
        let chunk: RunChunk | undefined;
        for await (const next of runner.run(req)) {
            chunk = next;
        }
        return chunk!;
    }

    async function check(cut: CutCase, id: string): Promise<void> {
        raw.cuts.set(id, cut);
        for (const attach of [false, true]) {
            const { end, broken } = await last(id, attach);
            const isWhole = end !== undefined;
            const expected = wholeness(cut);
            const seen = { cut, attach, isWhole, message: broken?.message };
            expect(seen).toEqual({ ...seen, isWhole: expected === "either" ? isWhole : expected === "yes" });
            const outcome = isWhole ? FenceOutcome.FINISHED : FenceOutcome.BROKEN;
            expect(runner.table.fence(id, 1, 0)).toEqual(outcome);
        }
    }

    async function checkAll(cuts: readonly CutCase[]): Promise<void> {
        const queue = [...cuts.entries()];
        await Promise.all(Array.from({ length: concurrency }, async () => {
            for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
                await check(next[1], `r${next[0]}`);
            }
        }));
    }

    for (const framing of framings) {
        for (const end of connectionEnds) {
            describe(`framed by ${framing} and ended by ${end}`, () => {
                for (const [name, lineEnd] of Object.entries(lineEnds)) {
                    it(`is recorded as broken if it is an event stream with ${name}`, async () => {
                        const parts = eventsWith(lineEnd);
                        await checkAll(cutsOf({ framing, end, status: 200, contentType: eventStream, parts }));
                    });
                }

                for (const status of [200, 500]) {
                    it(`is recorded as broken if it is a plain body with status ${status}`, async () => {
                        const full = { framing, end, status, contentType: plainText };
                        await checkAll([
                            ...cutsOf({ ...full, parts: ["a\n", "bc"] }),
                            ...cutsOf({ ...full, parts: [] }),
                        ]);
                    });
                }
            });
        }
    }

    describe("by ending its process", () => {
        const cut: CutCase = {
            framing: "close",
            end: "FIN",
            delivery: "at once",
            status: 200,
            contentType: plainText,
            parts: ["abc"],
            sentBytes: 2,
        };

        it("is recorded as broken with the crash if nothing else delimits it", async () => {
            raw.cuts.set("r", cut);
            raw.beforeEnd = () => raw.stopListening();
            const { end, broken } = await last("r");
            expect({ end, isCrash: (broken?.upstreamEnd ?? "") !== "" }).toEqual({ end: undefined, isCrash: true });
        });

        it("is recorded as broken with the crash if the process has restarted since", async () => {
            const probes = [true];
            upstream.hasEnded = async () => probes.shift() ?? false;
            raw.cuts.set("r", cut);
            const { broken } = await last("r");
            expect((broken?.upstreamEnd ?? "") !== "").toEqual(true);
        });

        it("is recorded as finished if its length says so", async () => {
            raw.cuts.set("r", { ...cut, framing: "length", sentBytes: 3 });
            raw.beforeEnd = () => raw.stopListening();
            expect((await last("r")).end?.bodyBytes).toEqual(3n);
        });

        it("is recorded as finished if the upstream was leaving", async () => {
            runner = new Runner(upstream, () => undefined, timeline, () => undefined, () => true);
            raw.cuts.set("r", { ...cut, sentBytes: 3 });
            raw.beforeEnd = () => raw.stopListening();
            expect((await last("r")).end?.bodyBytes).toEqual(3n);
        });
    });
});
