/** Guards against disks that the control group fills with its own log. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, withTimeout } from "@winchpath/core";
import { expect } from "earl";
import fc from "fast-check";
import { type FileHandle, mkdtemp, readdir, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EntrySchema, HardStateSchema, SnapshotSchema } from "../gen/winchpath/consensus/v1/consensus_pb.js";
import { FileLogStore, SystemDisk } from "../index.js";
import { Log } from "../logs.js";
import { TestGroup } from "./groups.js";

function entryOf(index: number, bytes: number) {
    const payload = { case: "command" as const, value: Buffer.alloc(bytes) };
    return create(EntrySchema, { index: BigInt(index), term: 1n, payload });
}

describe("Log", () => {
    it("retains as many entries before a snapshot as fit into both bounds", () => {
        const size = fc.integer({ min: 0, max: 50 });
        fc.assert(fc.property(
            fc.array(size, { minLength: 1, maxLength: 30 }),
            fc.nat(35),
            fc.nat(300),
            fc.nat(29),
            (sizes, trailing, trailingBytes, cut) => {
                const log = new Log(undefined, sizes.map((bytes, index) => entryOf(index + 1, bytes)));
                const index = Math.min(cut + 1, sizes.length);
                log.compact(create(SnapshotSchema, { index: BigInt(index), term: 1n }), trailing, trailingBytes);
                const before = log.retainedEntries().filter(entry => entry.index <= BigInt(index));
                const bytesOf = (count: number) =>
                    sizes.slice(index - count, index).reduce((sum, bytes) => sum + bytes, 0);
                expect(before.length).toBeLessThanOrEqual(trailing);
                expect(bytesOf(before.length)).toBeLessThanOrEqual(trailingBytes);
                const canRetainMore = before.length < Math.min(trailing, index)
                    && bytesOf(before.length + 1) <= trailingBytes;
                expect([canRetainMore, Number(log.lastIndex)]).toEqual([false, sizes.length]);
                expect(log.bytesAfter(BigInt(index))).toEqual(
                    sizes.slice(index).reduce((sum, bytes) => sum + bytes, 0),
                );
            },
        ));
    });
});

describe("a control group with large commands", () => {
    const commandBytes = 100_000;
    let group: TestGroup;
    afterEach(() => group.stop());

    const fileBytes = async (name: string) => (await stat(join(group.folderOf(name), "consensus.log"))).size;

    // Guards against a log that is compacted by the number of its entries only, and fills the disks of all hosts at once.
    it("compacts its log by size", async () => {
        group = await TestGroup.start(["a", "b", "c"], {
            snapshotEvery: 1000,
            snapshotBytes: 5 * commandBytes,
            trailingBytes: 2 * commandBytes,
        });
        for (let index = 0; index < 20; index++) {
            await group.propose("a", String(index).padEnd(commandBytes, "x"));
            // The machine keeps all commands; what the log holds besides its snapshot is bounded.
            for (const node of group.nodes.values()) {
                const { log, appliedIndex } = node.replica.state;
                expect(log.bytesAfter(log.snapshot?.index ?? 0n)).toBeLessThanOrEqual(6 * commandBytes);
                expect(log.bytesAfter(log.firstIndex - 1n)).toBeLessThanOrEqual(8 * commandBytes);
                expect(appliedIndex).toBeGreaterThanOrEqual(log.snapshot?.index ?? 0n);
            }
        }
        const { log } = group.nodes.get("a")!.replica.state;
        await group.waitFor("a rewritten file", () => log.snapshot !== undefined || undefined);
        const retained = log.bytesAfter(log.firstIndex - 1n) + log.snapshot!.state.length;
        expect(await fileBytes("a")).toBeLessThanOrEqual(retained + 2 * commandBytes);
        await group.crash("b");
        await group.startNode("b");
        await group.propose("b", "after");
        expect(group.nodes.get("b")!.machine.commands.length).toEqual(21);
    });

    // Guards against disks that are filled with changes that can't be compacted, since no majority has them yet.
    it("accepts no further command while too much is uncommitted, and goes on afterwards", async () => {
        group = await TestGroup.start(["a", "b", "c"], { uncommittedBytes: 3 * commandBytes });
        const leader = await group.waitForLeader();
        await group.propose(leader.name, "before");
        for (const node of group.nodes.values()) {
            node.disk.blockSyncs();
        }
        const command = Buffer.alloc(commandBytes, "x");
        const results = Array.from(
            { length: 6 },
            () =>
                withTimeout(leader.replica.proposeAsLeader(command), 5000, "a commit").then(
                    () => "committed",
                    (err: Failure) => err.code,
                ),
        );
        expect(leader.replica.state.log.bytesAfter(leader.replica.state.commitIndex)).toEqual(3 * commandBytes);
        for (const node of group.nodes.values()) {
            node.disk.unblockSyncs();
        }
        const codes = await Promise.all(results);
        expect(codes.filter(code => code === FailureCode.overloaded).length).toEqual(3);
        await group.propose(leader.name, "after");
    });
});

describe("FileLogStore on a full disk", () => {
    let folder: string;
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "winchpath-log-"));
    });
    afterEach(() => rm(folder, { recursive: true }));

    /** Refuses every sync while it is full. */
    class FullDisk extends SystemDisk {
        public full = false;
        public readonly files: FileHandle[] = [];

        public override async sync(file: FileHandle): Promise<void> {
            this.files.push(file);
            if (this.full) {
                throw Failure.of(FailureCode.storage, "no space is left");
            }
            await super.sync(file);
        }
    }

    // Guards against a disk that stays full with the new file of a compaction that has failed.
    it("frees what a failed rewrite has taken", async () => {
        const disk = new FullDisk();
        const store = new FileLogStore(folder, disk);
        const { memberId } = await store.open();
        disk.full = true;
        const state = {
            memberId,
            hardState: create(HardStateSchema),
            snapshot: undefined,
            entries: [entryOf(1, 1000)],
        };
        await expect(store.rewrite(state)).toBeRejected();
        expect(await readdir(folder)).toEqual(["consensus.log"]);
        expect(disk.files.at(-1)!.fd).toEqual(-1);
        await store.close();
    });
});
