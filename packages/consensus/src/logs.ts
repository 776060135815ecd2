/** The log in memory: the newest snapshot, and the entries that follow its base. */
import { type Entry, type Membership, type Snapshot } from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** Bytes of commands that go into one message at most. */
const maxBatchBytes = 4 * 1024 * 1024;
const maxBatchEntries = 2000;

export class Log {
    /** Entries with an index above the base, without gaps. */
    private entries: Entry[];
    /** Every membership from the snapshot on, oldest first: it is asked for at each entry. */
    private memberships: PlacedMembership[];
    /** Index and term of the entry just before the first kept one. */
    private baseIndex: bigint;
    private baseTerm: bigint;

    public constructor(private newestSnapshot: Snapshot | undefined, entries: readonly Entry[]) {
        const snapshotIndex = newestSnapshot?.index ?? 0n;
        this.memberships = placedMemberships(newestSnapshot, entries);
        if (entries.length > 0 && entries[0].index <= snapshotIndex) {
            // The term before the first kept entry is not known: that entry becomes the base.
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

    /** Time of the last entry, in milliseconds since the epoch. */
    public get lastTime(): bigint {
        return this.entries.at(-1)?.time ?? this.newestSnapshot?.time ?? 0n;
    }

    public get firstIndex(): bigint {
        return this.baseIndex + 1n;
    }

    /** The term of an entry; undefined where the log does not reach. */
    public termAt(index: bigint): bigint | undefined {
        return index === this.baseIndex ? this.baseTerm : this.at(index)?.term;
    }

    public at(index: bigint): Entry | undefined {
        return index <= this.baseIndex ? undefined : this.entries[Number(index - this.baseIndex) - 1];
    }

    public append(entry: Entry): void {
        this.entries.push(entry);
        if (entry.payload.case === "membership") {
            this.memberships.push({ index: entry.index, membership: entry.payload.value });
        }
    }

    /** Drops the entry at `index` and all behind it. */
    public truncateFrom(index: bigint): void {
        this.entries.length = Number(index - this.baseIndex) - 1;
        this.memberships = this.memberships.filter(placed => placed.index < index);
    }

    /** Entries from `index` on that fit one message. */
    public batchFrom(index: bigint): Entry[] {
        const batch: Entry[] = [];
        let bytes = 0;
        for (let next = index; next <= this.lastIndex && batch.length < maxBatchEntries; next += 1n) {
            const entry = this.at(next)!;
            bytes += entry.payload.case === "command" ? entry.payload.value.length : 0;
            if (bytes > maxBatchBytes && batch.length > 0) {
                break;
            }
            batch.push(entry);
        }
        return batch;
    }

    /** Takes a snapshot of applied state, and keeps `trailing` entries before it for slow followers. */
    public compact(snapshot: Snapshot, trailing: number): void {
        this.newestSnapshot = snapshot;
        this.memberships = [
            ...placedMemberships(snapshot, []),
            ...this.memberships.filter(placed => placed.index > snapshot.index),
        ];
        const base = snapshot.index - BigInt(trailing);
        if (base > this.baseIndex) {
            this.baseTerm = this.termAt(base)!;
            this.entries = this.entries.slice(Number(base - this.baseIndex));
            this.baseIndex = base;
        }
    }

    /** Forgets everything in favour of a snapshot from the leader. */
    public reset(snapshot: Snapshot): void {
        this.newestSnapshot = snapshot;
        this.entries = [];
        this.memberships = placedMemberships(snapshot, []);
        this.baseIndex = snapshot.index;
        this.baseTerm = snapshot.term;
    }

    /** The kept entries, for the store. */
    public all(): readonly Entry[] {
        return this.entries;
    }

    /** The newest membership up to `index`, and where it stands. */
    public membershipUpTo(index: bigint): PlacedMembership | undefined {
        return this.memberships.findLast(placed => placed.index <= index);
    }
}

/** A membership, and the index from which on it counts. */
export interface PlacedMembership {
    readonly index: bigint;
    readonly membership: Membership;
}

function placedMemberships(snapshot: Snapshot | undefined, entries: readonly Entry[]): PlacedMembership[] {
    const placed: PlacedMembership[] = [];
    if (snapshot?.membership !== undefined) {
        placed.push({ index: snapshot.index, membership: snapshot.membership });
    }
    for (const { index, payload } of entries) {
        if (payload.case === "membership" && index > (snapshot?.index ?? 0n)) {
            placed.push({ index, membership: payload.value });
        }
    }
    return placed;
}
