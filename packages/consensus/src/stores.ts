/** Where a replica keeps its identity, vote and log. */
import {
    type Entry,
    type HardState,
    type LogRecord,
    type Snapshot,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** Everything that a store holds. */
export interface StoredState {
    readonly memberId: string;
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    /** In order of index, without gaps. */
    readonly entries: readonly Entry[];
}

/** Keeps records in the order in which they are given. */
export interface LogStore {
    /** Whether what was appended outlives the process; only then may the replica vote. */
    readonly durable: boolean;
    /** Reads what is there; a new identity is made where there is nothing. */
    open(): Promise<StoredState>;
    /** Settles once these records, and all given before, are synced. An empty list only waits. */
    append(records: readonly LogRecord[]): Promise<void>;
    /** Replaces everything by `state`, in turn with the appends. */
    rewrite(state: StoredState): Promise<void>;
    close(): Promise<void>;
}
