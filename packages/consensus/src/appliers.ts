/** Applies committed entries in order, answers the proposers, and takes snapshots. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, Notifier, until } from "@winchpath/core";
import { type Entry, type Snapshot, SnapshotSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { type StateMachine } from "./machines.js";
import { type ReplicaState } from "./states.js";

/** What became of a proposal. */
export interface Applied {
    readonly index: bigint;
    readonly result: Uint8Array;
}

interface Waiter {
    readonly term: bigint;
    readonly done: Deferred<Applied>;
}

export class Applier {
    /** Notified after each run of entries that was applied. */
    public readonly applied = new Notifier();
    private readonly waiters = new Map<bigint, Waiter>();
    private compacting = false;

    public constructor(private readonly state: ReplicaState, private readonly machine: StateMachine) {
        if (state.log.snapshot !== undefined) {
            machine.restore(state.log.snapshot.state);
        }
    }

    /** Settles when the entry of `term` at `index` is applied, or is known never to be. */
    public waitFor(index: bigint, term: bigint): Promise<Applied> {
        const done = new Deferred<Applied>();
        this.waiters.get(index)?.done.reject(Failure.of(FailureCode.noLeader, "the proposal was cut from the log"));
        this.waiters.set(index, { term, done });
        return done.promise;
    }

    /** Returns once everything up to `index` is applied here. */
    public async caughtUp(index: bigint, timeoutMs: number): Promise<void> {
        await until(() => this.state.appliedIndex >= index, this.applied, timeoutMs, "catching up with the log");
    }

    /** Moves the commit index on, and applies what it covers. */
    public commitTo(index: bigint): void {
        if (index <= this.state.commitIndex) {
            return;
        }
        this.state.commitIndex = index;
        while (this.state.appliedIndex < index) {
            this.applyEntry(this.state.log.at(this.state.appliedIndex + 1n)!);
        }
        this.announce();
        this.compactIfLong();
    }

    /** Replaces the state by the leader's snapshot. */
    public install(snapshot: Snapshot): Promise<void> {
        this.machine.restore(snapshot.state);
        this.state.log.reset(snapshot);
        this.state.commitIndex = snapshot.index;
        this.state.appliedIndex = snapshot.index;
        for (const [index, waiter] of this.waiters) {
            if (index <= snapshot.index) {
                this.waiters.delete(index);
                waiter.done.reject(Failure.of(FailureCode.outcomeUnknown, "a snapshot passed over the proposal"));
            }
        }
        this.announce();
        return this.state.rewrite();
    }

    /** Fails all that still wait, at the end of the process. */
    public stop(): void {
        this.waiters.forEach(waiter => {
            waiter.done.reject(Failure.of(FailureCode.outcomeUnknown, "the process is stopping"));
        });
        this.waiters.clear();
    }

    private applyEntry(entry: Entry): void {
        const result = this.resultOf(entry);
        this.state.appliedIndex = entry.index;
        const waiter = this.waiters.get(entry.index);
        if (waiter === undefined) {
            return;
        }
        this.waiters.delete(entry.index);
        if (waiter.term === entry.term) {
            waiter.done.resolve({ index: entry.index, result });
        }
        else {
            waiter.done.reject(
                Failure.of(FailureCode.noLeader, "another leader's entry took the place of the proposal"),
            );
        }
    }

    private resultOf(entry: Entry): Uint8Array {
        if (entry.payload.case !== "command") {
            return new Uint8Array();
        }
        return this.machine.apply(entry.payload.value, {
            index: Number(entry.index),
            term: Number(entry.term),
            time: Number(entry.time),
        });
    }

    private announce(): void {
        this.applied.notify();
        this.state.changed.notify();
    }

    private compactIfLong(): void {
        const { log, appliedIndex, options } = this.state;
        const since = appliedIndex - (log.snapshot?.index ?? 0n);
        if (this.compacting || since < BigInt(options.snapshotEvery)) {
            return;
        }
        const snapshot = create(SnapshotSchema, {
            index: appliedIndex,
            term: log.termAt(appliedIndex)!,
            time: log.at(appliedIndex)!.time,
            membership: this.state.appliedMembership(),
            state: this.machine.snapshot(),
        });
        log.compact(snapshot, options.trailing);
        this.compacting = true;
        const done = () => {
            this.compacting = false;
        };
        this.state.rewrite().then(done, done);
        this.state.timeline.record("log.compacted", { detail: `index=${appliedIndex}` });
    }
}
