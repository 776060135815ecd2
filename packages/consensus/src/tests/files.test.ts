import { create } from "@bufbuild/protobuf";
import { Failure } from "@winchpath/core";
import { expect } from "earl";
import { appendFile, type FileHandle, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EntrySchema, HardStateSchema } from "../gen/winchpath/consensus/v1/consensus_pb.js";
import { FileLogStore, recordOf, SystemDisk } from "../index.js";

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
    return recordOf({ case: "entry", value: entry(index) });
}

describe("FileLogStore", () => {
    let folder: string;
    let path: string;
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "winchpath-log-"));
        path = join(folder, "consensus.log");
    });
    afterEach(() => rm(folder, { recursive: true }));

    async function written(count: number): Promise<void> {
        const store = new FileLogStore(folder);
        await store.open();
        for (let index = 1; index <= count; index++) {
            await store.append([entryRecord(index)]);
        }
        await store.close();
    }

    async function indexesRead(): Promise<number[]> {
        const store = new FileLogStore(folder);
        const state = await store.open();
        await store.close();
        return state.entries.map(read => Number(read.index));
    }

    it("keeps its identity and what was synced", async () => {
        const first = new FileLogStore(folder);
        const { memberId } = await first.open();
        await first.append([
            entryRecord(1),
            recordOf({ case: "hardState", value: create(HardStateSchema, { term: 7n }) }),
        ]);
        await first.close();
        const second = new FileLogStore(folder);
        const again = await second.open();
        await second.close();
        expect(again.memberId).toEqual(memberId);
        expect(again.hardState.term).toEqual(7n);
        expect(again.entries.length).toEqual(1);
    });

    it("cuts a tail that was torn anywhere", async () => {
        await written(3);
        const whole = await readFile(path);
        await writeFile(path, whole);
        const lastStart = whole.lastIndexOf("WPR1");
        for (const length of [lastStart + 1, lastStart + 9, lastStart + 20, whole.length - 1]) {
            await writeFile(path, whole.subarray(0, length));
            expect(await indexesRead()).toEqual([1, 2]);
        }
    });

    it("goes on after a cut tail", async () => {
        await written(2);
        await appendFile(path, "WPR1 and then the power went");
        const store = new FileLogStore(folder);
        await store.open();
        await store.append([entryRecord(3)]);
        await store.close();
        expect(await indexesRead()).toEqual([1, 2, 3]);
    });

    it("refuses a bad record in the middle", async () => {
        await written(3);
        const bytes = await readFile(path);
        const second = bytes.indexOf("WPR1", bytes.indexOf("xxxxx"));
        bytes[second + 30] ^= 1;
        await writeFile(path, bytes);
        await expect(indexesRead()).toBeRejectedWith(Failure, /bad record at byte/);
    });

    it("shares one sync between records that arrive together", async () => {
        const disk = new CountingDisk();
        const store = new FileLogStore(folder, disk);
        await store.open();
        const before = disk.syncs;
        await Promise.all(Array.from({ length: 100 }, (_, index) => store.append([entryRecord(index + 1)])));
        expect(disk.syncs - before <= 2).toEqual(true);
        await store.close();
    });

    it("refuses records that come while it closes, and keeps those that came before", async () => {
        const store = new FileLogStore(folder);
        await store.open();
        const before = store.append([entryRecord(1)]);
        const closed = store.close();
        await expect(store.append([entryRecord(2)])).toBeRejectedWith(Failure, /the log is closed/);
        await Promise.all([before, closed]);
        expect(await indexesRead()).toEqual([1]);
    });

    it("acknowledges nothing any more after a failed sync", async () => {
        const disk = new FailingDisk();
        const store = new FileLogStore(folder, disk);
        await store.open();
        disk.failing = true;
        await expect(store.append([entryRecord(1)])).toBeRejectedWith(Failure, /no sync/);
        disk.failing = false;
        await expect(store.append([entryRecord(2)])).toBeRejectedWith(Failure, /no sync/);
    });
});
