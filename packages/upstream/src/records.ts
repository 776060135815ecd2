/** What an agent remembers of one attempt of one request. */
import { create } from "@bufbuild/protobuf";
import { Notifier } from "@winchpath/core";
import { FenceOutcome, Refusal, type RunChunk, RunChunkSchema } from "./gen/winchpath/upstream/v1/upstream_pb.js";

/** Bytes that the upstream may be ahead of the slowest reader. */
const maxUnreadBytes = 256 * 1024;
/** Bytes of an answer that are kept for those who attach later. */
const maxKeptBytes = 1024 * 1024;
const patienceMs = 1000;

/**
 * The answer of one attempt, while it comes in and for a while after. Readers
 * may come and go; the upstream waits for the slowest.
 */
export class RunRecord {
    public outcome = FenceOutcome.RUNNING;
    /** Date.now() of the end; undefined while it runs. */
    public endedAt: number | undefined;
    public readonly abort = new AbortController();
    private head: RunChunk | undefined;
    private last: RunChunk | undefined;
    private body: Uint8Array[] = [];
    /** Offset of the first kept byte. */
    private start = 0;
    private end = 0;
    private readonly changed = new Notifier();
    private readonly positions = new Map<symbol, number>();

    public constructor(public readonly idempotent: boolean, private readonly onEnd: () => void) {}

    public get keptBytes(): number {
        return this.end - this.start;
    }

    public get readers(): number {
        return this.positions.size;
    }

    public setHead(chunk: RunChunk["chunk"]): void {
        this.head = create(RunChunkSchema, { chunk });
        this.changed.notify();
    }

    /** Adds bytes; returns when there is room for more. */
    public async push(bytes: Uint8Array): Promise<void> {
        this.body.push(bytes);
        this.end += bytes.length;
        this.changed.notify();
        while (!this.abort.signal.aborted && this.unreadBytes() > maxUnreadBytes) {
            await this.changed.wait(patienceMs);
        }
        while (this.keptBytes > maxKeptBytes && this.mayDropFirst()) {
            this.start += this.body.shift()!.length;
        }
    }

    /** Ends the record: an end, a break or a refusal. */
    public finish(outcome: FenceOutcome, chunk: RunChunk["chunk"]): void {
        this.outcome = outcome;
        this.endedAt = Date.now();
        this.onEnd();
        this.last = create(RunChunkSchema, { chunk });
        this.changed.notify();
    }

    /** Forgets the answer, but not what became of the attempt. */
    public dropAnswer(): void {
        this.body = [];
        this.start = this.end;
        this.head = undefined;
    }

    /** The answer from `offset` of the body on, as it comes in. */
    public async *read(offset: number): AsyncGenerator<RunChunk> {
        const reader = Symbol("reader");
        this.positions.set(reader, offset);
        try {
            yield* this.readAs(reader);
        }
        finally {
            this.positions.delete(reader);
            this.changed.notify();
        }
    }

    private async *readAs(reader: symbol): AsyncGenerator<RunChunk> {
        let headSent = false;
        for (;;) {
            if (!headSent && this.head !== undefined) {
                headSent = true;
                yield this.head;
            }
            const position = this.positions.get(reader)!;
            if (position < this.start) {
                yield answerGone();
                return;
            }
            if (position < this.end) {
                const bytes = this.bytesFrom(position);
                this.positions.set(reader, position + bytes.length);
                this.changed.notify();
                yield create(RunChunkSchema, { chunk: { case: "body", value: bytes } });
                continue;
            }
            if (this.last !== undefined) {
                yield this.last;
                return;
            }
            await this.changed.wait(patienceMs);
        }
    }

    private bytesFrom(position: number): Uint8Array {
        let offset = this.start;
        for (const bytes of this.body) {
            if (position < offset + bytes.length) {
                return position === offset ? bytes : bytes.subarray(position - offset);
            }
            offset += bytes.length;
        }
        return new Uint8Array();
    }

    private unreadBytes(): number {
        return this.readers === 0 ? 0 : this.end - Math.min(...this.positions.values());
    }

    private mayDropFirst(): boolean {
        const firstEnd = this.start + this.body[0].length;
        return [...this.positions.values()].every(position => position >= firstEnd);
    }
}

/** Says that the answer is not to be had here any more; it does not say that it never ran. */
export function answerGone(): RunChunk {
    return refusedChunk(Refusal.UNKNOWN_REQUEST, "the answer is not kept any more");
}

export function refusedChunk(refusal: Refusal, message: string, revision = 0): RunChunk {
    const value = {
        $typeName: "winchpath.upstream.v1.RunRefused" as const,
        refusal,
        message,
        revision: BigInt(revision),
    };
    return create(RunChunkSchema, { chunk: { case: "refused", value } });
}
