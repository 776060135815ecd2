import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { ResponseFraming } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    FenceOutcome,
    Refusal,
    retentionMs,
    type RunChunk,
    Runner,
    type RunRequest,
    RunRequestSchema,
    type Upstream,
} from "../index.js";

const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });

/** An upstream that streams a response of the given size and counts the chunks that were read. */
class StreamingUpstream implements Upstream {
    public chunksRead = 0;
    public runs = 0;
    public aborted = false;

    public constructor(private readonly kibibytes: number) {}

    public async readState() {
        return undefined;
    }

    public async order() {
        return "taken" as const;
    }

    public async send(req: { signal: AbortSignal; }) {
        this.runs += 1;
        req.signal.addEventListener("abort", () => this.aborted = true);
        return {
            status: 200,
            headers: {},
            body: this.body(),
            framing: ResponseFraming.length,
            wasReset: () => false,
            discard: async () => undefined,
        };
    }

    public async hasEnded() {
        return false;
    }

    public async close() {}

    private async *body() {
        for (let number = 0; number < this.kibibytes; number++) {
            this.chunksRead += 1;
            yield Buffer.alloc(1024, number % 256);
        }
    }
}

function request(changes: MessageInitShape<typeof RunRequestSchema> = {}): RunRequest {
    return create(
        RunRequestSchema,
        { requestId: "r", attempt: 1, timeoutMs: 10_000, idempotent: true, ...changes } as RunRequest,
    );
}

async function collect(chunks: AsyncIterable<RunChunk>): Promise<RunChunk[]> {
    const all: RunChunk[] = [];
    for await (const chunk of chunks) {
        all.push(chunk);
    }
    return all;
}

function bytesOf(chunks: readonly RunChunk[]): number {
    return chunks.reduce((sum, chunk) => sum + chunk.body.length, 0);
}

describe("Runner", () => {
    it("applies backpressure to the upstream while a reader is slow", async () => {
        const upstream = new StreamingUpstream(4096);
        const runner = new Runner(upstream, () => undefined, timeline);
        const reader = runner.run(request());
        await reader.next();
        await reader.next();
        for (let turn = 0; turn < 50; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(upstream.chunksRead <= 300).toEqual(true);
        const rest = await collect(reader);
        expect(rest.at(-1)?.end === undefined).toEqual(false);
    });

    it("runs a duplicated attempt once and returns the complete response to each reader", async () => {
        const upstream = new StreamingUpstream(20);
        const runner = new Runner(upstream, () => undefined, timeline);
        const answers = await Promise.all([1, 2, 3].map(() => collect(runner.run(request()))));
        expect(answers.map(bytesOf)).toEqual([20_480, 20_480, 20_480]);
        expect(upstream.runs).toEqual(1);
    });

    it("resumes from an offset, and never starts a request that only attaches", async () => {
        const upstream = new StreamingUpstream(20);
        const runner = new Runner(upstream, () => undefined, timeline);
        const [unknown] = await collect(runner.run(request({ attach: true })));
        expect(unknown.refused?.refusal).toEqual(Refusal.UNKNOWN_REQUEST);
        await collect(runner.run(request()));
        expect(bytesOf(await collect(runner.run(request({ attach: true, offset: 20_000n }))))).toEqual(480);
        expect(upstream.runs).toEqual(1);
    });

    it("refuses an attempt that was fenced before it arrived", async () => {
        const upstream = new StreamingUpstream(1);
        const runner = new Runner(upstream, () => undefined, timeline);
        expect(runner.table.fence("r", 1, 0)).toEqual(FenceOutcome.NEVER);
        const [late] = await collect(runner.run(request()));
        expect(late.refused?.refusal).toEqual(Refusal.FENCED);
        expect(upstream.runs).toEqual(0);
    });

    it("reports an unknown attempt as forgotten once its record may have expired", () => {
        const runner = new Runner(new StreamingUpstream(1), () => undefined, timeline);
        expect(runner.table.fence("r", 1, retentionMs - 1)).toEqual(FenceOutcome.NEVER);
        expect(runner.table.fence("s", 1, retentionMs)).toEqual(FenceOutcome.FORGOTTEN);
    });

    it("aborts only idempotent requests when the caller disconnects", async () => {
        for (const idempotent of [true, false]) {
            const upstream = new StreamingUpstream(4096);
            const runner = new Runner(upstream, () => undefined, timeline);
            const reader = runner.run(request({ idempotent }));
            await reader.next();
            runner.cancel("r", 1);
            expect(upstream.aborted).toEqual(idempotent);
            await reader.return(undefined);
        }
    });
});
