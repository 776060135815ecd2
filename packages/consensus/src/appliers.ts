/** Applies committed entries in order, completes pending proposals, and takes snapshots. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, Notifier, waitUntil } from "@winchpath/core";
import { type Entry, type Snapshot, SnapshotSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { commandBytes } from "./logs.js";
import { type StateMachine } from "./machines.js";
import { type ReplicaState } from "./states.js";

/** The log index of an applied command, and the state machine's result. */
export interface ApplyResult {
    readonly index: bigint;
    readonly result: Uint8Array;
}

interface PendingProposal {
    readonly term: bigint;
    readonly done: Deferred<ApplyResult>;
}

export class Applier {
    /** Notified after each batch of applied entries. */
    public readonly applied = new Notifier();
    private readonly pendingProposals = new Map<bigint, PendingProposal>();
    private compacting = false;
    /** Size of the commands applied since the last snapshot, in bytes. */
    private appliedBytes = 0;

    public constructor(private readonly state: ReplicaState, private readonly machine: StateMachine) {
        if (state.log.snapshot !== undefined) {
            machine.restore(state.log.snapshot.state);
        }
    }

    /** Resolves once the entry of `term` at `index` is applied; rejects if it is lost or its outcome is unknown. */
    public waitForEntry(index: bigint, term: bigint): Promise<ApplyResult> {
        const done = new Deferred<ApplyResult>();
        this.pendingProposals.get(index)?.done.reject(
            Failure.of(FailureCode.noLeader, "the proposal was cut from the log"),
        );
        this.pendingProposals.set(index, { term, done });
        return done.promise;
    }

    /** Waits until all entries up to `index` are applied on this replica. */
    public async waitUntilApplied(index: bigint, timeoutMs: number): Promise<void> {
        await waitUntil(
            () => this.state.appliedIndex >= index,
            this.applied,
            timeoutMs,
            "catching up with the log",
        );
    }

    /** Advances the commit index and applies the newly committed entries. */
    public commitTo(index: bigint): void {
        if (index <= this.state.commitIndex) {
            return;
        }
        this.state.commitIndex = index;
        while (this.state.appliedIndex < index) {
            this.applyEntry(this.state.log.entryAt(this.state.appliedIndex + 1n)!);
        }
        this.notifyApplied();
        this.compactIfNeeded();
    }

    /** Replaces the state machine and the log with the leader's snapshot. */
    public installSnapshot(snapshot: Snapshot): Promise<void> {
        this.machine.restore(snapshot.state);
        this.state.log.reset(snapshot);
        this.appliedBytes = 0;
        this.state.commitIndex = snapshot.index;
        this.state.appliedIndex = snapshot.index;
        for (const [index, pending] of this.pendingProposals) {
            if (index <= snapshot.index) {
                this.pendingProposals.delete(index);
                pending.done.reject(
                    Failure.of(
                        FailureCode.outcomeUnknown,
                        "a snapshot passed over the proposal",
                    ),
                );
            }
        }
        this.notifyApplied();
        return this.state.rewrite();
    }

    /** Rejects all pending proposals on shutdown. */
    public stop(): void {
        this.pendingProposals.forEach(pending => {
            pending.done.reject(Failure.of(FailureCode.outcomeUnknown, "the process is stopping"));
        });
        this.pendingProposals.clear();
    }

    private applyEntry(entry: Entry): void {
        const result = this.applyCommand(entry);
        this.state.appliedIndex = entry.index;
        this.appliedBytes += commandBytes(entry);
        const pending = this.pendingProposals.get(entry.index);
        if (pending === undefined) {
            return;
        }
        this.pendingProposals.delete(entry.index);
        if (pending.term === entry.term) {
            pending.done.resolve({ index: entry.index, result });
        }
        else {
            pending.done.reject(
                Failure.of(FailureCode.noLeader, "another leader's entry took the place of the proposal"),
            );
        }
    }

    private applyCommand(entry: Entry): Uint8Array {
        if (entry.payload.case !== "command") {
            return new Uint8Array();
        }
        return this.machine.apply(entry.payload.value, {
            index: Number(entry.index),
            term: Number(entry.term),
            time: Number(entry.time),
        });
    }

    private notifyApplied(): void {
        this.applied.notify();
        this.state.changed.notify();
    }

    private compactIfNeeded(): void {
        const { log, appliedIndex, options } = this.state;
        const entriesSinceSnapshot = appliedIndex - (log.snapshot?.index ?? 0n);
        const isDue = entriesSinceSnapshot >= BigInt(options.snapshotEvery)
            || this.appliedBytes >= options.snapshotBytes;
        if (this.compacting || !isDue) {
            return;
        }
        const snapshot = create(SnapshotSchema, {
            index: appliedIndex,
            term: log.termAt(appliedIndex)!,
            time: log.entryAt(appliedIndex)!.time,
            membership: this.state.appliedMembership(),
            state: this.machine.snapshot(),
        });
        log.compact(snapshot, options.trailingEntries, options.trailingBytes);
        this.appliedBytes = 0;
        this.compacting = true;
        const onRewriteSettled = () => {
            this.compacting = false;
        };
        this.state.rewrite().then(onRewriteSettled, onRewriteSettled);
        this.state.timeline.record("log.compacted", { detail: `index=${appliedIndex}` });
    }
}
