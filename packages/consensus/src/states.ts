/** State shared by all tasks of a replica. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, eventLoop, Failure, FailureCode, Notifier } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import {
    type Entry,
    HardStateSchema,
    type Membership,
    MembershipSchema,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { Log } from "./logs.js";
import { findMember } from "./members.js";
import { createRecord } from "./records.js";
import { type LogStore, type StoredState } from "./stores.js";

export type Role = "follower" | "candidate" | "leader";

/** Options of the control group. */
export interface ConsensusOptions {
    readonly heartbeatMs: number;
    /** Election timeout in milliseconds, to which a random delay is added. */
    readonly electionMs: number;
    /** Number of entries between snapshots. */
    readonly snapshotEvery: number;
    /** Number of entries before a snapshot that are retained for slow followers. */
    readonly trailingEntries: number;
    /** Size of the commands between snapshots, in bytes; the log is compacted by whichever bound is reached first. */
    readonly snapshotBytes: number;
    /** Size of the commands before a snapshot that are retained for slow followers, in bytes. */
    readonly trailingBytes: number;
    /** Size of the uncommitted commands from which on the leader accepts no further ones, in bytes. */
    readonly uncommittedBytes: number;
    /** Maximum number of voters; undefined for no limit. */
    readonly maxVoters: number | undefined;
    /** Time without a response after which a voter may be replaced by a caught-up learner, in milliseconds. */
    readonly replaceVoterAfterMs: number;
    /** Time without a response after which a learner is removed, in milliseconds; it may join again. */
    readonly removeLearnerAfterMs: number;
    /** Whether this replica may form a new group. */
    readonly mayFormGroup: boolean;
}

export const defaultConsensusOptions: ConsensusOptions = {
    heartbeatMs: 100,
    electionMs: 800,
    snapshotEvery: 2000,
    trailingEntries: 500,
    snapshotBytes: 32 * 1024 * 1024,
    trailingBytes: 16 * 1024 * 1024,
    uncommittedBytes: 32 * 1024 * 1024,
    maxVoters: undefined,
    replaceVoterAfterMs: 1500,
    removeLearnerAfterMs: 30_000,
    mayFormGroup: true,
};

/** Host name and address of a replica. */
export interface ReplicaIdentity {
    readonly host: string;
    /** Base URL of its RPC server for other processes of the system. */
    readonly url: string;
}

/**
 * Each change updates memory and enqueues its record in the store synchronously, so both have the
 * same order. Responses wait until the store has synced the record.
 */
export class ReplicaState {
    public readonly log: Log;
    public readonly memberId: string;
    /** Notified when the role, leader, term, commit index or applied index changes. */
    public readonly changed = new Notifier();
    public role: Role = "follower";
    public leaderId = "";
    public leaderUrl = "";
    /** Monotonic time of the last append request or granted vote. */
    public lastHeardAt = Number.NEGATIVE_INFINITY;
    public commitIndex: bigint;
    public appliedIndex: bigint;
    /** URL of a leader that takes this replica, which has no group, for an earlier one at its address; empty if none does. */
    public callingLeaderUrl = "";
    /** Set once the store has failed or was closed; the replica must be stopped. */
    public fatalError: Error | undefined;
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

    /** The latest membership in the log, committed or not. */
    public get membership(): Membership | undefined {
        return this.log.membershipUpTo(this.log.lastIndex)?.membership;
    }

    public get group(): string {
        return this.membership?.group ?? "";
    }

    public get isVoter(): boolean {
        return findMember(this.membership, this.memberId)?.voter ?? false;
    }

    /** How long no leader has been heard, as far as input has been read, in milliseconds. */
    public get silentMs(): number {
        return eventLoop.readUntil - this.lastHeardAt;
    }

    /** Whether the replica leads, or has heard a leader within the election timeout. */
    public get hasRecentLeader(): boolean {
        return this.role === "leader" || this.silentMs < this.options.electionMs;
    }

    /** Sets the current term and vote; resolves once they are synced. */
    public setVote(term: bigint, votedFor: string): Promise<void> {
        this.currentTerm = term;
        this.currentVote = votedFor;
        return this.persist([createRecord({ case: "hardState", value: create(HardStateSchema, { term, votedFor }) })]);
    }

    /** Becomes a follower in `term`; resolves once a newer term is synced. */
    public becomeFollower(term: bigint, leaderId: string, leaderUrl: string): Promise<void> {
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

    /** Appends entries in memory and in the store; resolves once they are synced. */
    public append(entries: readonly Entry[]): Promise<void> {
        entries.forEach(entry => this.log.append(entry));
        return this.persist(entries.map(entry => createRecord({ case: "entry", value: entry })));
    }

    public truncateFrom(index: bigint): void {
        this.log.truncateFrom(index);
        void this.persist([createRecord({ case: "truncateFrom", value: index })]);
    }

    /** Rewrites the store after the log was compacted or reset. */
    public rewrite(): Promise<void> {
        return this.handleStoreFailure(this.store.rewrite({
            memberId: this.memberId,
            hardState: create(HardStateSchema, { term: this.term, votedFor: this.votedFor }),
            snapshot: this.log.snapshot,
            entries: this.log.retainedEntries(),
        }));
    }

    /** Membership as of the applied index, for a snapshot. */
    public appliedMembership(): Membership {
        return this.log.membershipUpTo(this.appliedIndex)?.membership ?? create(MembershipSchema);
    }

    private persist(records: Parameters<LogStore["append"]>[0]): Promise<void> {
        return this.handleStoreFailure(this.store.append(records));
    }

    /** Reports the first store failure; the returned promise rejects, so nothing unsynced is acknowledged. */
    private handleStoreFailure(synced: Promise<void>): Promise<void> {
        synced.catch((err: Error) => {
            if (this.fatalError === undefined) {
                this.fatalError = err;
                if (!(err instanceof Failure && err.code === FailureCode.stopping)) {
                    this.onFatal(err);
                }
            }
        });
        return synced;
    }
}
