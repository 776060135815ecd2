/** Keeps a replica open for as long as the process runs, over failures of its disk. */
import { type EventLog, Failure, FailureCode, messageOf, Notifier, sleep } from "@winchpath/core";
import { type StateMachine } from "./machines.js";
import { Replica, type ReplicaParts } from "./replicas.js";
import { type LogStore } from "./stores.js";

/** Pause before a disk that has failed is tried again, in milliseconds: a full disk stays so for seconds. */
const reopenMs = 500;
/** How long a leader whose disk has failed looks for an heir, in milliseconds. */
const abdicateMs = 300;

export interface KeeperParts extends Omit<ReplicaParts, "store" | "machine" | "onFatal"> {
    /** A store on the same folder, not opened yet. */
    readonly store: () => LogStore;
    /** An empty machine: the log is applied from its beginning. */
    readonly machine: () => StateMachine;
    readonly log: EventLog;
}

/**
 * What was not synced was never acknowledged, so a replica that is read anew
 * from its disk is one that was restarted. Meanwhile it neither votes nor accepts.
 */
export class ReplicaKeeper {
    /** Notified when a replica was opened or has failed. */
    public readonly changed = new Notifier();
    private replica: Replica | undefined;

    public constructor(private readonly parts: KeeperParts) {}

    /** The replica of the moment; undefined while its disk can't be used. */
    public get current(): Replica | undefined {
        return this.replica;
    }

    /** The replica of the moment, or a `Failure` while its disk can't be used. */
    public require(): Replica {
        if (this.replica === undefined) {
            throw Failure.of(FailureCode.noLeader, "the log can't be used at the moment");
        }
        return this.replica;
    }

    /** Opens the replica, and opens it again after each failure, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.keepOnce(signal);
            }
            catch (err) {
                this.parts.log.warn("storage.unusable", { error: messageOf(err), retryMs: reopenMs });
            }
            await sleep(reopenMs, signal);
        }
    }

    private async keepOnce(signal: AbortSignal): Promise<void> {
        const ended = new Notifier();
        let failure: Error | undefined;
        const replica = await Replica.open({
            ...this.parts,
            store: this.parts.store(),
            machine: this.parts.machine(),
            onFatal: err => {
                failure = err;
                ended.notify();
            },
        });
        const stop = () => ended.notify();
        signal.addEventListener("abort", stop, { once: true });
        this.replica = replica;
        replica.start();
        this.changed.notify();
        while (failure === undefined && !signal.aborted) {
            await ended.wait(reopenMs);
        }
        signal.removeEventListener("abort", stop);
        this.replica = undefined;
        this.changed.notify();
        if (failure !== undefined) {
            this.parts.log.warn("storage.failed", { error: messageOf(failure) });
            await replica.abdicate(abdicateMs);
        }
        await replica.stop();
    }
}
