/**
 * Bounds the buffers that are no longer used. Each piece of input is a buffer outside of the heap, and the runtime, which
 * collects by the growth of the heap, lets many pile up while connections come and go fast. So they are collected once they
 * take more than their part.
 */
import { type Metrics } from "@winchpath/core";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes of unused buffers, as a share of those that are meant to be in use at most. */
const unusedShare = 0.5;
/** Input after which all buffers are measured, as a share of what may be unused. */
const measureShare = 0.25;

/** Extent of a collection: of new objects, which is short, or of all. */
export type CollectionKind = "minor" | "major";

/** Memory of the process in buffers. */
export interface BufferMemory {
    /** Bytes of all buffers that aren't collected yet. */
    readonly bytes: number;
    collect(kind: CollectionKind): void;
}

/** Function of the runtime that collects: all garbage, or with this option that of new objects. */
type RuntimeCollect = (options?: { readonly type: "minor"; }) => void;

/** The runtime's own. */
export class RuntimeBufferMemory implements BufferMemory {
    private runtimeCollect: RuntimeCollect | undefined;

    public get bytes(): number {
        return process.memoryUsage().arrayBuffers;
    }

    public collect(kind: CollectionKind): void {
        this.runtimeCollect ??= exposedCollect();
        if (kind === "minor") {
            this.runtimeCollect({ type: "minor" });
        }
        else {
            this.runtimeCollect();
        }
    }
}

/** Only contexts that are created with this flag have the function. */
function exposedCollect(): RuntimeCollect {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as RuntimeCollect;
}

export class BufferCollector {
    /** Input since all buffers were measured. */
    private inputBytes = 0;
    private readonly usedBytes: number;
    private readonly unusedBytes: number;
    /** Bytes in use, as far as is known; more than was meant to be if a collection has left more. */
    private knownBytes: number;
    /** Whether all garbage was collected when buffers were last measured; another thread may have freed it since. */
    private isCollected = false;

    /** `usedBytes`: bytes of buffers that are meant to be in use at most; undefined for no bound. */
    public constructor(
        usedBytes: number | undefined,
        private readonly metrics: Metrics,
        private readonly memory: BufferMemory = new RuntimeBufferMemory(),
    ) {
        this.usedBytes = usedBytes ?? Number.POSITIVE_INFINITY;
        this.unusedBytes = this.usedBytes * unusedShare;
        this.knownBytes = this.usedBytes;
    }

    /** Called for each piece of input. */
    public addInput(bytes: number): void {
        this.inputBytes += bytes;
        if (this.inputBytes >= this.unusedBytes * measureShare) {
            this.inputBytes = 0;
            this.check();
        }
    }

    /** Called at short intervals, since buffers are not only those of input. */
    public check(): void {
        if (this.isCollected) {
            this.isCollected = false;
            this.knownBytes = Math.max(this.usedBytes, this.memory.bytes);
            return;
        }
        if (this.isExceeded()) {
            this.collect("minor");
        }
        if (this.isExceeded()) {
            this.collect("major");
            this.isCollected = true;
        }
    }

    private isExceeded(): boolean {
        return this.memory.bytes > this.knownBytes + this.unusedBytes;
    }

    private collect(kind: CollectionKind): void {
        this.metrics.count("buffer_collections_total", { kind });
        this.memory.collect(kind);
    }
}
