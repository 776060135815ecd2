/** The log store of a learner without a data folder. */
import { create } from "@bufbuild/protobuf";
import { newId } from "@winchpath/core";
import { HardStateSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { type LogStore, type StoredState } from "./stores.js";

/** Persists nothing: the replica keeps its log in memory only, and is a new member after each start. */
export class MemoryLogStore implements LogStore {
    public readonly durable = false;

    public async open(): Promise<StoredState> {
        return { memberId: newId(), hardState: create(HardStateSchema), snapshot: undefined, entries: [] };
    }

    public async append(): Promise<void> {}

    public async rewrite(): Promise<void> {}

    public async close(): Promise<void> {}
}
