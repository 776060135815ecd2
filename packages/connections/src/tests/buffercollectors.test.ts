/** Guards against buffers that pile up uncollected, and against collections that don't help. */
import { Metrics, sleep } from "@winchpath/core";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { BufferCollector, type BufferMemory, type CollectionKind, RuntimeBufferMemory } from "../index.js";

const megabyte = 1_000_000;
const usedBytes = 8 * megabyte;

/** Buffers of which a part is unused; a minor collection finds those that were unused from the start. */
class FakeMemory implements BufferMemory {
    public readonly collections: CollectionKind[] = [];
    public used = 0;
    public shortLived = 0;
    public longLived = 0;

    public get bytes(): number {
        return this.used + this.shortLived + this.longLived;
    }

    public collect(kind: CollectionKind): void {
        this.collections.push(kind);
        this.shortLived = 0;
        if (kind === "major") {
            this.longLived = 0;
        }
    }
}

describe("BufferCollector", () => {
    let memory: FakeMemory;
    let collector: BufferCollector;

    beforeEach(() => {
        memory = new FakeMemory();
        collector = new BufferCollector(usedBytes, new Metrics(), memory);
    });

    /** Reads pieces of input of a megabyte; resolves to the most bytes that buffers have had. */
    function read(pieces: number, use: () => void): number {
        let most = 0;
        for (let count = 0; count < pieces; count++) {
            use();
            most = Math.max(most, memory.bytes);
            collector.addInput(megabyte);
        }
        return most;
    }

    it("doesn't collect while buffers take no more than they may", () => {
        memory.used = usedBytes;
        read(100, () => memory.shortLived = 4 * megabyte);
        expect(memory.collections).toEqual([]);
    });

    it("collects new buffers once they take more, and no others", () => {
        expect(read(100, () => memory.shortLived += megabyte)).toEqual(13 * megabyte);
        expect(new Set(memory.collections)).toEqual(new Set(["minor" as const]));
    });

    it("collects all if that isn't enough", () => {
        expect(read(100, () => memory.longLived += megabyte)).toEqual(13 * megabyte);
        expect(memory.collections.includes("major")).toEqual(true);
    });

    it("doesn't collect again and again while more is in use than was meant to be", () => {
        memory.used = 3 * usedBytes;
        read(100, () => {});
        expect(memory.collections).toEqual(["minor", "major"]);
        expect(read(100, () => memory.longLived += megabyte)).toEqual(30 * megabyte);
    });

    it("never collects without a bound", () => {
        const unbounded = new BufferCollector(undefined, new Metrics(), memory);
        memory.longLived = Number.MAX_SAFE_INTEGER;
        unbounded.addInput(Number.MAX_SAFE_INTEGER);
        expect(memory.collections).toEqual([]);
    });
});

describe("RuntimeBufferMemory", () => {
    it("collects unused buffers", async () => {
        const memory = new RuntimeBufferMemory();
        memory.collect("major");
        const before = memory.bytes;
        Array.from({ length: 100 }, () => Buffer.allocUnsafeSlow(64 * 1024));
        expect(memory.bytes - before).toBeGreaterThan(6 * megabyte);
        memory.collect("major");
        // Another thread frees them.
        while (memory.bytes - before >= megabyte) {
            await sleep(5);
        }
    });
});
