/** Buffered response of one attempt of a request. */
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

/** Unread bytes of the slowest reader at which reading from the upstream pauses. */
const maxUnreadBytes = 256 * 1024;
/** Bytes of a response that are retained for readers that attach later. */
const maxRetainedBytes = 1024 * 1024;
/** Size at which a chunk is complete; it exceeds this by less than one piece of the upstream's body. */
const maxChunkBytes = 64 * 1024;
const recheckIntervalMs = 1000;

/** How an attempt ended; exactly one property is set. */
export interface RunResult {
    readonly end?: RunEnd;
    readonly refused?: RunRefused;
    readonly broken?: RunBroken;
}

/**
 * The response of one attempt, kept while it arrives and for a while after.
 * Readers may attach and detach at any time; the slowest one applies
 * backpressure to the upstream.
 */
export class RunRecord {
    public outcome = FenceOutcome.RUNNING;
    /** `Date.now()` at the end; undefined while running. */
    public endedAt: number | undefined;
    public readonly abort = new AbortController();
    private head: RunHead | undefined;
    private isDropped = false;
    private result: RunResult | undefined;
    private body: Uint8Array[] = [];
    /** Offset of the first retained byte. */
    private startOffset = 0;
    private endOffset = 0;
    private readonly changed = new Notifier();
    private readonly positions = new Map<symbol, number>();

    public constructor(public readonly idempotent: boolean, private readonly onFinished: () => void) {}

    public get retainedBytes(): number {
        return this.endOffset - this.startOffset;
    }

    public get readerCount(): number {
        return this.positions.size;
    }

    /** Sets the head, which readers receive with the first body bytes or with the end. */
    public setHead(head: RunHead): void {
        this.head = head;
    }

    /** Appends bytes; resolves when there is room for more. */
    public async append(bytes: Uint8Array): Promise<void> {
        this.body.push(bytes);
        this.endOffset += bytes.length;
        this.changed.notify();
        while (!this.abort.signal.aborted && this.unreadBytes() > maxUnreadBytes) {
            await this.changed.wait(recheckIntervalMs);
        }
        while (this.retainedBytes > maxRetainedBytes && this.canDropFirst()) {
            this.startOffset += this.body.shift()!.length;
        }
    }

    /** Records how the attempt ended and wakes its readers. */
    public finish(outcome: FenceOutcome, result: RunResult): void {
        this.outcome = outcome;
        this.endedAt = Date.now();
        this.onFinished();
        this.result = result;
        this.changed.notify();
    }

    /** Drops the response but keeps the attempt's outcome. */
    public dropResponse(): void {
        this.body = [];
        this.startOffset = this.endOffset;
        this.head = undefined;
        this.isDropped = true;
    }

    /** Streams the response as it arrives, starting at `offset` of the body. */
    public async *read(offset: number): AsyncGenerator<RunChunk> {
        const reader = Symbol("reader");
        this.positions.set(reader, offset);
        try {
            yield* this.readChunks(reader);
        }
        finally {
            this.positions.delete(reader);
            this.changed.notify();
        }
    }

    private async *readChunks(reader: symbol): AsyncGenerator<RunChunk> {
        for (let headSent = false;;) {
            const chunk = this.nextChunk(reader, headSent);
            if (chunk === undefined) {
                await this.changed.wait(recheckIntervalMs);
                continue;
            }
            headSent = true;
            yield chunk;
            if (isLast(chunk)) {
                return;
            }
        }
    }

    /** Returns what is available to a reader now, or undefined if there is nothing new. */
    private nextChunk(reader: symbol, headSent: boolean): RunChunk | undefined {
        const position = this.positions.get(reader)!;
        // A reader that has no byte of the body may not have the head either.
        if (position < this.startOffset || (this.isDropped && position === 0)) {
            return responseNotRetained();
        }
        const body = this.readFrom(position);
        const result = position + body.length >= this.endOffset ? this.result : undefined;
        if (body.length === 0 && result === undefined) {
            return undefined;
        }
        this.positions.set(reader, position + body.length);
        this.changed.notify();
        return create(RunChunkSchema, { head: headSent ? undefined : this.head, body, ...result });
    }

    /** Returns retained bytes from a position on, up to the size of a chunk. */
    private readFrom(position: number): Uint8Array {
        const parts: Uint8Array[] = [];
        let bytes = 0;
        let offset = this.startOffset;
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
        return this.readerCount === 0 ? 0 : this.endOffset - Math.min(...this.positions.values());
    }

    private canDropFirst(): boolean {
        const firstEnd = this.startOffset + this.body[0].length;
        return [...this.positions.values()].every(position => position >= firstEnd);
    }
}

/** Whether a chunk is the last of its attempt. */
export function isLast(chunk: RunChunk): boolean {
    return chunk.end !== undefined || chunk.refused !== undefined || chunk.broken !== undefined;
}

/** A refusal for a response that is not retained; the request may still have run. */
export function responseNotRetained(): RunChunk {
    return refusedChunk({ refusal: Refusal.UNKNOWN_REQUEST, message: "the answer is not kept any more" });
}

/** Why a request was not started. */
export interface RunRefusal {
    readonly refusal: Refusal;
    readonly message: string;
    /** The newer revision in force, for a refusal as a stale revision. */
    readonly revision?: number;
    /** Milliseconds until the upstream accepts requests again, for a refusal during a backoff. */
    readonly restMs?: number;
}

export function refusedChunk({ refusal, message, revision = 0, restMs = 0 }: RunRefusal): RunChunk {
    const refused = create(RunRefusedSchema, { refusal, message, revision: BigInt(revision), restMs });
    return create(RunChunkSchema, { refused });
}
