import { create } from "@bufbuild/protobuf";
import { Failure } from "@winchpath/core";
import { expect } from "earl";
import { appendFile, type FileHandle, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EntrySchema, HardStateSchema } from "../gen/winchpath/consensus/v1/consensus_pb.js";
import { createRecord, FileLogStore, SystemDisk } from "../index.js";

class CountingDisk extends SystemDisk {
    public syncs = 0;

    public override async sync(file: FileHandle): Promise<void> {
        this.syncs += 1;
        await super.sync(file);
    }
}

class FailingDisk extends SystemDisk {
    public failing = false;

    public override async sync(file: FileHandle): Promise<void> {
        if (this.failing) {
            throw new Failure([{ code: "storage", path: [], message: "no sync" }]);
        }
        await super.sync(file);
    }
}

function entry(index: number) {
    return create(EntrySchema, {
        index: BigInt(index),
        term: 1n,
        payload: { case: "command", value: Buffer.from("x".repeat(50)) },
    });
}

function entryRecord(index: number) {
    return createRecord({ case: "entry", value: entry(index) });
}

describe("FileLogStore", () => {
    let folder: string;
    let path: string;
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "winchpath-log-"));
        path = join(folder, "consensus.log");
    });
    afterEach(() => rm(folder, { recursive: true }));

    async function writeEntries(count: number): Promise<void> {
        const store = new FileLogStore(folder);
        await store.open();
        for (let index = 1; index <= count; index++) {
            await store.append([entryRecord(index)]);
        }
        await store.close();
    }

    async function readIndexes(): Promise<number[]> {
        const store = new FileLogStore(folder);
        const state = await store.open();
        await store.close();
        return state.entries.map(stored => Number(stored.index));
    }

    // Guards against acknowledged entries that a power loss takes, since only a process that has ended has written them.
    it("syncs what an earlier process has left before it counts as stored", async () => {
        await writeEntries(3);
        const disk = new CountingDisk();
        const store = new FileLogStore(folder, disk);
        await store.open();
        expect(disk.syncs).toEqual(1);
        await store.close();
    });

    it("restores its identity and synced records", async () => {
        const first = new FileLogStore(folder);
        const { memberId } = await first.open();
        await first.append([
            entryRecord(1),
            createRecord({ case: "hardState", value: create(HardStateSchema, { term: 7n }) }),
        ]);
        await first.close();
        const second = new FileLogStore(folder);
        const restored = await second.open();
        await second.close();
        expect(restored.memberId).toEqual(memberId);
        expect(restored.hardState.term).toEqual(7n);
        expect(restored.entries.length).toEqual(1);
    });

    it("truncates a record that was written partially", async () => {
        await writeEntries(3);
        const complete = await readFile(path);
        await writeFile(path, complete);
        const lastStart = complete.lastIndexOf("WPR1");
        for (const length of [lastStart + 1, lastStart + 9, lastStart + 20, complete.length - 1]) {
            await writeFile(path, complete.subarray(0, length));
            expect(await readIndexes()).toEqual([1, 2]);
        }
    });

    it("appends after a truncated tail", async () => {
        await writeEntries(2);
        await appendFile(path, "WPR1 and then the power went");
        const store = new FileLogStore(folder);
        await store.open();
        await store.append([entryRecord(3)]);
        await store.close();
        expect(await readIndexes()).toEqual([1, 2, 3]);
    });

    it("rejects a file with an invalid record followed by valid ones", async () => {
        await writeEntries(3);
        const bytes = await readFile(path);
        const secondRecord = bytes.indexOf("WPR1", bytes.indexOf("xxxxx"));
        bytes[secondRecord + 30] ^= 1;
        await writeFile(path, bytes);
        await expect(readIndexes()).toBeRejectedWith(Failure, /bad record at byte/);
    });

    it("batches concurrent appends into one sync", async () => {
        const disk = new CountingDisk();
        const store = new FileLogStore(folder, disk);
        await store.open();
        const before = disk.syncs;
        await Promise.all(Array.from({ length: 100 }, (_, index) => store.append([entryRecord(index + 1)])));
        expect(disk.syncs - before <= 2).toEqual(true);
        await store.close();
    });

    it("rejects appends after close, and writes those made before", async () => {
        const store = new FileLogStore(folder);
        await store.open();
        const before = store.append([entryRecord(1)]);
        const closed = store.close();
        await expect(store.append([entryRecord(2)])).toBeRejectedWith(Failure, /the log is closed/);
        await Promise.all([before, closed]);
        expect(await readIndexes()).toEqual([1]);
    });

    it("rejects all appends after a failed sync", async () => {
        const disk = new FailingDisk();
        const store = new FileLogStore(folder, disk);
        await store.open();
        disk.failing = true;
        await expect(store.append([entryRecord(1)])).toBeRejectedWith(Failure, /no sync/);
        disk.failing = false;
        await expect(store.append([entryRecord(2)])).toBeRejectedWith(Failure, /no sync/);
    });
});
