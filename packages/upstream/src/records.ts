/** What an agent remembers of one attempt of one request. */
import { create } from "@bufbuild/protobuf";
import { Notifier } from "@winchpath/core";
import {
    FenceOutcome,
    Refusal,
    type RunBroken,
    type RunChunk,
    RunChunkSchema,
    type RunEnd,
    type RunHead,
    type RunRefused,
    RunRefusedSchema,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";

/** Bytes that the upstream may be ahead of the slowest reader. */
const maxUnreadBytes = 256 * 1024;
/** Bytes of an answer that are kept for those who attach later. */
const maxKeptBytes = 1024 * 1024;
/** Bytes of one chunk, give or take one piece of the upstream's. */
const maxChunkBytes = 64 * 1024;
const patienceMs = 1000;

/** How an attempt ended: one of the three. */
export interface LastPart {
    readonly end?: RunEnd;
    readonly refused?: RunRefused;
    readonly broken?: RunBroken;
}

/**
 * The answer of one attempt, while it comes in and for a while after. Readers
 * may come and go; the upstream waits for the slowest.
 */
export class RunRecord {
    public outcome = FenceOutcome.RUNNING;
    /** Date.now() of the end; undefined while it runs. */
    public endedAt: number | undefined;
    public readonly abort = new AbortController();
    private head: RunHead | undefined;
    private last: LastPart | undefined;
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

    /** Readers get the head with the first bytes, or with the end. */
    public setHead(head: RunHead): void {
        this.head = head;
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
    public finish(outcome: FenceOutcome, last: LastPart): void {
        this.outcome = outcome;
        this.endedAt = Date.now();
        this.onEnd();
        this.last = last;
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
        for (let headSent = false;;) {
            const chunk = this.nextChunk(reader, headSent);
            if (chunk === undefined) {
                await this.changed.wait(patienceMs);
                continue;
            }
            headSent = true;
            yield chunk;
            if (isLast(chunk)) {
                return;
            }
        }
    }

    /** All that a reader can have now; undefined where there is nothing new. */
    private nextChunk(reader: symbol, headSent: boolean): RunChunk | undefined {
        const position = this.positions.get(reader)!;
        if (position < this.start) {
            return answerGone();
        }
        const body = this.bytesFrom(position);
        const last = position + body.length >= this.end ? this.last : undefined;
        if (body.length === 0 && last === undefined) {
            return undefined;
        }
        this.positions.set(reader, position + body.length);
        this.changed.notify();
        return create(RunChunkSchema, { head: headSent ? undefined : this.head, body, ...last });
    }

    /** Kept bytes from a position on, as many as one chunk takes. */
    private bytesFrom(position: number): Uint8Array {
        const parts: Uint8Array[] = [];
        let bytes = 0;
        let offset = this.start;
        for (const part of this.body) {
            if (position < offset + part.length && bytes < maxChunkBytes) {
                parts.push(position > offset ? part.subarray(position - offset) : part);
                bytes += parts.at(-1)!.length;
            }
            offset += part.length;
        }
        return parts.length === 1 ? parts[0] : Buffer.concat(parts);
    }

    private unreadBytes(): number {
        return this.readers === 0 ? 0 : this.end - Math.min(...this.positions.values());
    }

    private mayDropFirst(): boolean {
        const firstEnd = this.start + this.body[0].length;
        return [...this.positions.values()].every(position => position >= firstEnd);
    }
}

/** Whether a chunk is the last of its attempt. */
export function isLast(chunk: RunChunk): boolean {
    return chunk.end !== undefined || chunk.refused !== undefined || chunk.broken !== undefined;
}

/** Says that the answer is not to be had here any more; it does not say that it never ran. */
export function answerGone(): RunChunk {
    return refusedChunk({ refusal: Refusal.UNKNOWN_REQUEST, message: "the answer is not kept any more" });
}

/** Why a request may not begin here. */
export interface RunRefusal {
    readonly refusal: Refusal;
    readonly message: string;
    /** Newer revision that is in force, where that is why. */
    readonly revision?: number;
    /** For how long the upstream wants nothing, in milliseconds, where that is why. */
    readonly restMs?: number;
}

export function refusedChunk({ refusal, message, revision = 0, restMs = 0 }: RunRefusal): RunChunk {
    const refused = create(RunRefusedSchema, { refusal, message, revision: BigInt(revision), restMs });
    return create(RunChunkSchema, { refused });
}
