/** A log store in a single file: appends use group commit, and compaction rewrites the file. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, messageOf, newId } from "@winchpath/core";
import { type FileHandle, mkdir, open, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import {
    type Entry,
    type HardState,
    HardStateSchema,
    type LogRecord,
    type Snapshot,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { createRecord, decodeRecords, encodeRecords } from "./records.js";
import { type LogStore, type StoredState } from "./stores.js";

const logFileName = "consensus.log";
const temporaryFileName = "consensus.log.tmp";

/** File operations of the store; tests replace them to inject faults. */
export interface Disk {
    write(file: FileHandle, bytes: Buffer): Promise<void>;
    sync(file: FileHandle): Promise<void>;
}

/** Writes to the file system of the operating system. */
export class SystemDisk implements Disk {
    public async write(file: FileHandle, bytes: Buffer): Promise<void> {
        await file.appendFile(bytes);
    }

    public async sync(file: FileHandle): Promise<void> {
        await file.datasync();
    }
}

interface WriteJob {
    readonly bytes: Buffer;
    /** Replaces the file instead of appending to it. */
    readonly replace: boolean;
    readonly completion: Deferred<void>;
}

/** Keeps the log in a file; records appended during a sync are batched into the next one. */
export class FileLogStore implements LogStore {
    public readonly durable = true;
    private file: FileHandle | undefined;
    private queue: WriteJob[] = [];
    private writeLoop: Promise<void> | undefined;
    private failure: Failure | undefined;

    public constructor(private readonly folder: string, private readonly disk: Disk = new SystemDisk()) {}

    public async open(): Promise<StoredState> {
        await mkdir(this.folder, { recursive: true });
        await rm(join(this.folder, temporaryFileName), { force: true });
        const path = join(this.folder, logFileName);
        const bytes = await readExisting(path);
        const { records, validBytes } = decodeRecords(bytes, path);
        const state = replay(records);
        if (state === undefined) {
            const fresh = createState();
            await this.replaceFile(encodeState(fresh));
            return fresh;
        }
        this.file = await open(path, "a");
        if (validBytes < bytes.length) {
            await this.file.truncate(validBytes);
        }
        // An earlier process may have written records and ended before they were synced; they count as durable from now on.
        await this.disk.sync(this.file);
        return state;
    }

    public append(records: readonly LogRecord[]): Promise<void> {
        return this.enqueue(encodeRecords(records), false);
    }

    public rewrite(state: StoredState): Promise<void> {
        return this.enqueue(encodeState(state), true);
    }

    public async close(): Promise<void> {
        // Rejects new appends first, then waits until queued ones are written.
        this.failure ??= Failure.of(FailureCode.stopping, "the log is closed");
        await this.writeLoop;
        await this.file?.close();
    }

    private enqueue(bytes: Buffer, replace: boolean): Promise<void> {
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        const completion = new Deferred<void>();
        this.queue.push({ bytes, replace, completion });
        this.writeLoop ??= this.writeAll();
        return completion.promise;
    }

    private async writeAll(): Promise<void> {
        while (this.queue.length > 0) {
            const batch = this.takeBatch();
            try {
                await this.writeBatch(batch);
                batch.forEach(job => job.completion.resolve());
            }
            catch (err) {
                this.fail(err, batch);
            }
        }
        // Synchronous with the last check of the queue, so that no job is left without a write loop.
        this.writeLoop = undefined;
    }

    /** Takes the jobs up to the next replacement; a replacement forms a batch of its own. */
    private takeBatch(): WriteJob[] {
        const replacement = this.queue.findIndex(job => job.replace);
        const count = replacement === -1 ? this.queue.length : Math.max(1, replacement);
        return this.queue.splice(0, count);
    }

    private async writeBatch(batch: readonly WriteJob[]): Promise<void> {
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
        const temporary = join(this.folder, temporaryFileName);
        await this.writeFile(temporary, bytes);
        await rename(temporary, join(this.folder, logFileName));
        const folder = await open(this.folder, "r");
        await folder.sync();
        await folder.close();
        await this.file?.close();
        this.file = await open(join(this.folder, logFileName), "a");
    }

    /** Writes and syncs a new file. If that fails, the space that it takes on the disk is freed. */
    private async writeFile(path: string, bytes: Buffer): Promise<void> {
        const file = await open(path, "w");
        try {
            await this.disk.write(file, bytes);
            await this.disk.sync(file);
        }
        catch (err) {
            await file.close();
            await rm(path, { force: true });
            throw err;
        }
        await file.close();
    }

    /** Rejects all later jobs too: after a failed sync the kernel may have dropped dirty pages. */
    private fail(err: unknown, batch: readonly WriteJob[]): void {
        this.failure = Failure.of(FailureCode.storage, messageOf(err), [this.folder]);
        const failure = this.failure;
        [...batch, ...this.queue.splice(0)].forEach(job => job.completion.reject(failure));
    }
}

/** Treats only a missing file as empty, so that an unreadable log is never overwritten. */
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

function createState(): StoredState {
    return { memberId: newId(), hardState: create(HardStateSchema), snapshot: undefined, entries: [] };
}

function encodeState(state: StoredState): Buffer {
    const records = [createRecord({ case: "memberId", value: state.memberId })];
    if (state.snapshot !== undefined) {
        records.push(createRecord({ case: "snapshot", value: state.snapshot }));
    }
    records.push(createRecord({ case: "hardState", value: state.hardState }));
    records.push(...state.entries.map(entry => createRecord({ case: "entry", value: entry })));
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
