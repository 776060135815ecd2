/** Supervises a replica and reopens it after storage failures. */
import { type EventLog, Failure, FailureCode, messageOf, Notifier, sleep } from "@winchpath/core";
import { type StateMachine } from "./machines.js";
import { Replica, type ReplicaConfig } from "./replicas.js";
import { type LogStore } from "./stores.js";

/** Delay before the store is opened again after a failure, in milliseconds; a full disk stays full for seconds. */
const reopenDelayMs = 500;
/** Timeout of the request to a successor when a leader's store has failed, in milliseconds. */
const resignTimeoutMs = 300;

export interface ReplicaSupervisorConfig extends Omit<ReplicaConfig, "store" | "machine" | "onFatal"> {
    /** Creates an unopened store for the replica's data folder. */
    readonly store: () => LogStore;
    /** Creates an empty state machine, to which the snapshot and the log are applied. */
    readonly machine: () => StateMachine;
    readonly log: EventLog;
}

/**
 * Runs a replica and reopens it from disk after a storage failure, which equals a restart: unsynced
 * records were never acknowledged. There is no replica until the store can be opened again.
 */
export class ReplicaSupervisor {
    /** Notified when the replica was opened or has failed. */
    public readonly changed = new Notifier();
    private replica: Replica | undefined;

    public constructor(private readonly config: ReplicaSupervisorConfig) {}

    /** The running replica; undefined while its store is unavailable. */
    public get current(): Replica | undefined {
        return this.replica;
    }

    /** Returns the running replica; throws a `Failure` while its store is unavailable. */
    public require(): Replica {
        if (this.replica === undefined) {
            throw Failure.of(FailureCode.noLeader, "the log can't be used at the moment");
        }
        return this.replica;
    }

    /** Runs the replica and reopens it after each failure, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.runReplica(signal);
            }
            catch (err) {
                this.config.log.warn("storage.unusable", { error: messageOf(err), retryMs: reopenDelayMs });
            }
            await sleep(reopenDelayMs, signal);
        }
    }

    private async runReplica(signal: AbortSignal): Promise<void> {
        const endRequested = new Notifier();
        let failure: Error | undefined;
        const replica = await Replica.open({
            ...this.config,
            store: this.config.store(),
            machine: this.config.machine(),
            onFatal: err => {
                failure = err;
                endRequested.notify();
            },
        });
        const stop = () => endRequested.notify();
        signal.addEventListener("abort", stop, { once: true });
        this.replica = replica;
        replica.start();
        this.changed.notify();
        while (failure === undefined && !signal.aborted) {
            await endRequested.wait(reopenDelayMs);
        }
        signal.removeEventListener("abort", stop);
        this.replica = undefined;
        this.changed.notify();
        if (failure !== undefined) {
            this.config.log.warn("storage.failed", { error: messageOf(failure) });
            await replica.resign(resignTimeoutMs);
        }
        await replica.stop();
    }
}
