/** What all tasks of one replica share. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, Failure, FailureCode, Notifier, steadyNow } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import {
    type Entry,
    HardStateSchema,
    type Membership,
    MembershipSchema,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { Log } from "./logs.js";
import { memberOf } from "./members.js";
import { recordOf } from "./records.js";
import { type LogStore, type StoredState } from "./stores.js";

export type Role = "follower" | "candidate" | "leader";

/** Times and sizes of the control group. Times in milliseconds. */
export interface ConsensusOptions {
    readonly heartbeatMs: number;
    /** A follower that hears nothing for this long, or up to twice as long, stands for election. */
    readonly electionMs: number;
    /** Entries between two snapshots. */
    readonly snapshotEvery: number;
    /** Entries kept behind a snapshot for slow followers. */
    readonly trailing: number;
    /** Voters that the group grows to; undefined where every replica with a disk may vote. */
    readonly maxVoters: number | undefined;
    /** A voter that is silent for this long may be replaced by a learner that has caught up. */
    readonly replaceAfterMs: number;
    /** A learner that is silent for this long is dropped; it joins anew when it comes back. */
    readonly forgetAfterMs: number;
    /** Whether this replica may take part in forming a first group. */
    readonly mayForm: boolean;
}

export const defaultConsensusOptions: ConsensusOptions = {
    heartbeatMs: 100,
    electionMs: 800,
    snapshotEvery: 2000,
    trailing: 500,
    maxVoters: undefined,
    replaceAfterMs: 1500,
    forgetAfterMs: 30_000,
    mayForm: true,
};

/** Who a replica is. */
export interface ReplicaIdentity {
    readonly host: string;
    /** Base URL of its listener for the system's own processes. */
    readonly url: string;
}

/**
 * State of the replica. Memory is changed and the record is given to the store
 * in one step; answers wait for the store. So the store's order is that of memory.
 */
export class ReplicaState {
    public readonly log: Log;
    public readonly memberId: string;
    /** Notified when the role, leader, term, commit index or applied index changes. */
    public readonly changed = new Notifier();
    public role: Role = "follower";
    public leaderId = "";
    public leaderUrl = "";
    /** Steady time at which a leader or a candidate was last heard. */
    public lastHeard = Number.NEGATIVE_INFINITY;
    public commitIndex: bigint;
    public appliedIndex: bigint;
    /** Set once the store has failed: the process must stop. */
    public fatal: Error | undefined;
    private currentTerm: bigint;
    private currentVote: string;

    public constructor(
        stored: StoredState,
        public readonly identity: ReplicaIdentity,
        public readonly store: LogStore,
        public readonly options: ConsensusOptions,
        public readonly timeline: Timeline,
        private readonly onFatal: (err: Error) => void,
        public readonly events: EventLog,
    ) {
        this.memberId = stored.memberId;
        this.log = new Log(stored.snapshot, stored.entries);
        this.currentTerm = stored.hardState.term;
        this.currentVote = stored.hardState.votedFor;
        this.commitIndex = stored.snapshot?.index ?? 0n;
        this.appliedIndex = this.commitIndex;
    }

    public get term(): bigint {
        return this.currentTerm;
    }

    public get votedFor(): string {
        return this.currentVote;
    }

    /** The newest membership in the log, committed or not. */
    public get membership(): Membership | undefined {
        return this.log.membershipUpTo(this.log.lastIndex)?.membership;
    }

    public get group(): string {
        return this.membership?.group ?? "";
    }

    public get isVoter(): boolean {
        return memberOf(this.membership, this.memberId)?.voter ?? false;
    }

    /** Whether a leader was heard from so lately that an election would only disturb. */
    public get hearsLeader(): boolean {
        return this.role === "leader" || steadyNow() - this.lastHeard < this.options.electionMs;
    }

    /** Takes on a term and a vote; settles once they are synced. */
    public setVote(term: bigint, votedFor: string): Promise<void> {
        this.currentTerm = term;
        this.currentVote = votedFor;
        return this.persist([recordOf({ case: "hardState", value: create(HardStateSchema, { term, votedFor }) })]);
    }

    /** Follows whoever leads `term`; settles once a newer term is synced. */
    public follow(term: bigint, leaderId: string, leaderUrl: string): Promise<void> {
        const changed = term > this.term || this.role !== "follower" || this.leaderId !== leaderId;
        const synced = term > this.term ? this.setVote(term, "") : Promise.resolve();
        this.role = "follower";
        this.leaderId = leaderId;
        this.leaderUrl = leaderUrl;
        if (changed) {
            this.timeline.record("leader.followed", { detail: `term=${term} leader=${leaderUrl || "none"}` });
            this.changed.notify();
        }
        return synced;
    }

    /** Adds entries to memory and store; settles once they are synced. */
    public append(entries: readonly Entry[]): Promise<void> {
        entries.forEach(entry => this.log.append(entry));
        return this.persist(entries.map(entry => recordOf({ case: "entry", value: entry })));
    }

    public truncateFrom(index: bigint): void {
        this.log.truncateFrom(index);
        void this.persist([recordOf({ case: "truncateFrom", value: index })]);
    }

    /** Writes the whole state anew, after the log was compacted or reset. */
    public rewrite(): Promise<void> {
        return this.guard(this.store.rewrite({
            memberId: this.memberId,
            hardState: create(HardStateSchema, { term: this.term, votedFor: this.votedFor }),
            snapshot: this.log.snapshot,
            entries: this.log.all(),
        }));
    }

    /** Membership as of the applied state, for a snapshot. */
    public appliedMembership(): Membership {
        return this.log.membershipUpTo(this.appliedIndex)?.membership ?? create(MembershipSchema);
    }

    private persist(records: Parameters<LogStore["append"]>[0]): Promise<void> {
        return this.guard(this.store.append(records));
    }

    /** A store that fails ends the replica; what waits for the sync is never acknowledged. */
    private guard(synced: Promise<void>): Promise<void> {
        synced.catch((err: Error) => {
            if (this.fatal === undefined) {
                this.fatal = err;
                if (!(err instanceof Failure && err.code === FailureCode.stopping)) {
                    this.onFatal(err);
                }
            }
        });
        return synced;
    }
}
