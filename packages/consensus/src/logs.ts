/** The in-memory log: the latest snapshot, and the entries retained after compaction. */
import { type Entry, type Membership, type Snapshot } from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** Maximum total size of the commands in one append request, in bytes. */
const maxBatchBytes = 4 * 1024 * 1024;
const maxBatchEntries = 2000;

export class Log {
    /** Entries after the base index, without gaps. */
    private entries: Entry[];
    /** Memberships from the snapshot on, oldest first; cached for fast lookup. */
    private memberships: IndexedMembership[];
    /** Index and term of the entry before the first retained one. */
    private baseIndex: bigint;
    private baseTerm: bigint;

    public constructor(private newestSnapshot: Snapshot | undefined, entries: readonly Entry[]) {
        const snapshotIndex = newestSnapshot?.index ?? 0n;
        this.memberships = indexedMemberships(newestSnapshot, entries);
        if (entries.length > 0 && entries[0].index <= snapshotIndex) {
            // The term of the entry before the first retained one is unknown, so the first one becomes the base.
            this.baseIndex = entries[0].index;
            this.baseTerm = entries[0].term;
            this.entries = entries.slice(1);
            return;
        }
        this.baseIndex = snapshotIndex;
        this.baseTerm = newestSnapshot?.term ?? 0n;
        this.entries = [...entries];
    }

    public get snapshot(): Snapshot | undefined {
        return this.newestSnapshot;
    }

    public get lastIndex(): bigint {
        return this.baseIndex + BigInt(this.entries.length);
    }

    public get lastTerm(): bigint {
        return this.termAt(this.lastIndex)!;
    }

    /** Whether the log may have an entry of an elected leader; only the log of a new group has none. */
    public get hasLeadership(): boolean {
        return this.newestSnapshot !== undefined || this.entries.some(({ payload }) => payload.case === "leaderStart");
    }

    /** Whether the log has a command, committed or not, or had one before it was compacted. */
    public get hasCommand(): boolean {
        return this.newestSnapshot !== undefined || this.entries.some(({ payload }) => payload.case === "command");
    }

    /** Time of the last entry, in milliseconds since the epoch. */
    public get lastTime(): bigint {
        return this.entries.at(-1)?.time ?? this.newestSnapshot?.time ?? 0n;
    }

    public get firstIndex(): bigint {
        return this.baseIndex + 1n;
    }

    /** Term of the entry at `index`; undefined if the entry is compacted away or not in the log. */
    public termAt(index: bigint): bigint | undefined {
        return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
    }

    public entryAt(index: bigint): Entry | undefined {
        return index <= this.baseIndex ? undefined : this.entries[Number(index - this.baseIndex) - 1];
    }

    public append(entry: Entry): void {
        this.entries.push(entry);
        if (entry.payload.case === "membership") {
            this.memberships.push({ index: entry.index, membership: entry.payload.value });
        }
    }

    /** Removes the entry at `index` and all entries after it. */
    public truncateFrom(index: bigint): void {
        this.entries.length = Number(index - this.baseIndex) - 1;
        this.memberships = this.memberships.filter(indexed => indexed.index < index);
    }

    /** Entries from `index` on that fit into one append request. */
    public batchFrom(index: bigint): Entry[] {
        const batch: Entry[] = [];
        let bytes = 0;
        for (let next = index; next <= this.lastIndex && batch.length < maxBatchEntries; next += 1n) {
            const entry = this.entryAt(next)!;
            bytes += commandBytes(entry);
            if (bytes > maxBatchBytes && batch.length > 0) {
                break;
            }
            batch.push(entry);
        }
        return batch;
    }

    /** Total size of the commands after the entry at `index`, in bytes. */
    public bytesAfter(index: bigint): number {
        let bytes = 0;
        for (let next = index + 1n; next <= this.lastIndex; next += 1n) {
            bytes += commandBytes(this.entryAt(next)!);
        }
        return bytes;
    }

    /**
     * Compacts the log up to a snapshot. For slow followers it retains the last `trailing` entries before the snapshot, or
     * fewer if these exceed `trailingBytes`.
     */
    public compact(snapshot: Snapshot, trailing: number, trailingBytes = Number.POSITIVE_INFINITY): void {
        this.newestSnapshot = snapshot;
        this.memberships = [
            ...indexedMemberships(snapshot, []),
            ...this.memberships.filter(indexed => indexed.index > snapshot.index),
        ];
        const base = this.trailingBase(snapshot.index, trailing, trailingBytes);
        if (base > this.baseIndex) {
            this.baseTerm = this.termAt(base)!;
            this.entries = this.entries.slice(Number(base - this.baseIndex));
            this.baseIndex = base;
        }
    }

    /** Index of the last entry that isn't retained before the one at `index`. */
    private trailingBase(index: bigint, trailing: number, trailingBytes: number): bigint {
        let base = index;
        let bytes = 0;
        while (base > this.baseIndex && index - base < BigInt(trailing)) {
            bytes += commandBytes(this.entryAt(base)!);
            if (bytes > trailingBytes) {
                return base;
            }
            base -= 1n;
        }
        return base;
    }

    /** Replaces the whole log with a snapshot from the leader. */
    public reset(snapshot: Snapshot): void {
        this.newestSnapshot = snapshot;
        this.entries = [];
        this.memberships = indexedMemberships(snapshot, []);
        this.baseIndex = snapshot.index;
        this.baseTerm = snapshot.term;
    }

    /** All entries that have not been compacted away. */
    public retainedEntries(): readonly Entry[] {
        return this.entries;
    }

    /** Latest membership at or before `index`. */
    public membershipUpTo(index: bigint): IndexedMembership | undefined {
        return this.memberships.findLast(indexed => indexed.index <= index);
    }
}

/** A membership, and the log index at which it takes effect. */
export interface IndexedMembership {
    readonly index: bigint;
    readonly membership: Membership;
}

function indexedMemberships(snapshot: Snapshot | undefined, entries: readonly Entry[]): IndexedMembership[] {
    const indexed: IndexedMembership[] = [];
    if (snapshot?.membership !== undefined) {
        indexed.push({ index: snapshot.index, membership: snapshot.membership });
    }
    for (const { index, payload } of entries) {
        if (payload.case === "membership" && index > (snapshot?.index ?? 0n)) {
            indexed.push({ index, membership: payload.value });
        }
    }
    return indexed;
}

/** Size of the entry's command, in bytes; other entries are small. */
export function commandBytes({ payload }: Entry): number {
    return payload.case === "command" ? payload.value.length : 0;
}
