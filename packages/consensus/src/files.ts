/** The log file: one file a replica, appended to with group commit, rewritten at a compaction. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, messageOf, newIdentity } from "@winchpath/core";
import { type FileHandle, mkdir, open, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import {
    type Entry,
    type HardState,
    HardStateSchema,
    type LogRecord,
    type Snapshot,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { decodeRecords, encodeRecords, recordOf } from "./records.js";
import { type LogStore, type StoredState } from "./stores.js";

const logName = "consensus.log";
const temporaryName = "consensus.log.tmp";

/** What the store does to its files; tests put faults here. */
export interface Disk {
    write(file: FileHandle, bytes: Buffer): Promise<void>;
    sync(file: FileHandle): Promise<void>;
}

/** The operating system's files. */
export class SystemDisk implements Disk {
    public async write(file: FileHandle, bytes: Buffer): Promise<void> {
        await file.appendFile(bytes);
    }

    public async sync(file: FileHandle): Promise<void> {
        await file.datasync();
    }
}

interface Job {
    readonly bytes: Buffer;
    /** Replace the file instead of appending to it. */
    readonly replace: boolean;
    readonly done: Deferred<void>;
}

/** Records that arrive while a sync is under way share the next one. */
export class FileLogStore implements LogStore {
    public readonly durable = true;
    private file: FileHandle | undefined;
    private jobs: Job[] = [];
    private writing: Promise<void> | undefined;
    private failure: Failure | undefined;

    public constructor(private readonly folder: string, private readonly disk: Disk = new SystemDisk()) {}

    public async open(): Promise<StoredState> {
        await mkdir(this.folder, { recursive: true });
        await rm(join(this.folder, temporaryName), { force: true });
        const path = join(this.folder, logName);
        const bytes = await readExisting(path);
        const { records, soundBytes } = decodeRecords(bytes, path);
        const state = replay(records);
        if (state === undefined) {
            const fresh = emptyState();
            await this.replaceFile(encodeState(fresh));
            return fresh;
        }
        this.file = await open(path, "a");
        if (soundBytes < bytes.length) {
            await this.file.truncate(soundBytes);
            await this.file.sync();
        }
        return state;
    }

    public append(records: readonly LogRecord[]): Promise<void> {
        return this.enqueue(encodeRecords(records), false);
    }

    public rewrite(state: StoredState): Promise<void> {
        return this.enqueue(encodeState(state), true);
    }

    public async close(): Promise<void> {
        // First, so that nothing new is written while what was given before is.
        this.failure ??= Failure.of(FailureCode.stopping, "the log is closed");
        await this.writing;
        await this.file?.close();
    }

    private enqueue(bytes: Buffer, replace: boolean): Promise<void> {
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        const done = new Deferred<void>();
        this.jobs.push({ bytes, replace, done });
        this.writing ??= this.writeAll();
        return done.promise;
    }

    private async writeAll(): Promise<void> {
        while (this.jobs.length > 0) {
            const batch = this.takeBatch();
            try {
                await this.writeBatch(batch);
                batch.forEach(job => job.done.resolve());
            }
            catch (err) {
                this.fail(err, batch);
            }
        }
        // In the same step as the last look at the jobs, so that none is left behind.
        this.writing = undefined;
    }

    /** The jobs up to the next replacement, which goes alone. */
    private takeBatch(): Job[] {
        const replacement = this.jobs.findIndex(job => job.replace);
        const count = replacement === -1 ? this.jobs.length : Math.max(1, replacement);
        return this.jobs.splice(0, count);
    }

    private async writeBatch(batch: readonly Job[]): Promise<void> {
        if (batch[0].replace) {
            await this.replaceFile(batch[0].bytes);
            return;
        }
        const bytes = Buffer.concat(batch.map(job => job.bytes));
        if (bytes.length > 0) {
            await this.disk.write(this.file!, bytes);
            await this.disk.sync(this.file!);
        }
    }

    private async replaceFile(bytes: Buffer): Promise<void> {
        const temporary = join(this.folder, temporaryName);
        const next = await open(temporary, "w");
        await this.disk.write(next, bytes);
        await this.disk.sync(next);
        await next.close();
        await rename(temporary, join(this.folder, logName));
        const folder = await open(this.folder, "r");
        await folder.sync();
        await folder.close();
        await this.file?.close();
        this.file = await open(join(this.folder, logName), "a");
    }

    /** After a failed write or sync nothing more is acknowledged: the pages may be lost silently. */
    private fail(err: unknown, batch: readonly Job[]): void {
        this.failure = Failure.of(FailureCode.storage, messageOf(err), [this.folder]);
        const failure = this.failure;
        [...batch, ...this.jobs.splice(0)].forEach(job => job.done.reject(failure));
    }
}

/** Only a file that is not there counts as empty: one that can't be read must not be replaced. */
async function readExisting(path: string): Promise<Buffer> {
    try {
        return await readFile(path);
    }
    catch (err) {
        if ((err as NodeJS.ErrnoException).code === "ENOENT") {
            return Buffer.alloc(0);
        }
        throw err;
    }
}

function emptyState(): StoredState {
    return { memberId: newIdentity(), hardState: create(HardStateSchema), snapshot: undefined, entries: [] };
}

function encodeState(state: StoredState): Buffer {
    const records = [recordOf({ case: "memberId", value: state.memberId })];
    if (state.snapshot !== undefined) {
        records.push(recordOf({ case: "snapshot", value: state.snapshot }));
    }
    records.push(recordOf({ case: "hardState", value: state.hardState }));
    records.push(...state.entries.map(entry => recordOf({ case: "entry", value: entry })));
    return encodeRecords(records);
}

function replay(records: readonly LogRecord[]): StoredState | undefined {
    let memberId: string | undefined;
    let hardState: HardState = create(HardStateSchema);
    let snapshot: Snapshot | undefined;
    let entries: Entry[] = [];
    for (const { record } of records) {
        switch (record.case) {
            case "memberId":
                memberId = record.value;
                break;
            case "hardState":
                hardState = record.value;
                break;
            case "snapshot":
                snapshot = record.value;
                break;
            case "entry":
                entries.push(record.value);
                break;
            case "truncateFrom":
                entries = entries.filter(entry => entry.index < record.value);
                break;
        }
    }
    return memberId === undefined ? undefined : { memberId, hardState, snapshot, entries };
}
