/** Persistent storage of a replica's identity, vote and log. */
import {
    type Entry,
    type HardState,
    type LogRecord,
    type Snapshot,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** Contents of a store. */
export interface StoredState {
    readonly memberId: string;
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    /** In index order, without gaps. */
    readonly entries: readonly Entry[];
}

/** Stores records in the order of the calls. */
export interface LogStore {
    /** Whether records survive a restart; only then may the replica vote. */
    readonly durable: boolean;
    /** Reads the stored state; creates a new identity if the store is empty. */
    open(): Promise<StoredState>;
    /** Resolves once these and all earlier records are synced. An empty list waits for earlier records only. */
    append(records: readonly LogRecord[]): Promise<void>;
    /** Replaces the contents with `state`, in order with appends. */
    rewrite(state: StoredState): Promise<void>;
    close(): Promise<void>;
}
