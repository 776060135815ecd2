/** A replica of the control group: the public API of consensus. */
import {
    type EventLog,
    Failure,
    FailureCode,
    messageOf,
    silentLog,
    sleep,
    steadyNow,
    waitUntil,
    withTimeout,
} from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { setMaxListeners } from "node:events";
import { Applier, type ApplyResult } from "./appliers.js";
import { Election } from "./elections.js";
import { Follower } from "./followers.js";
import { Formation } from "./formations.js";
import { type Member } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { Leadership } from "./leaderships.js";
import { type StateMachine } from "./machines.js";
import { hasWaitingLearner } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ConsensusOptions, defaultConsensusOptions, type ReplicaIdentity, ReplicaState } from "./states.js";
import { type LogStore } from "./stores.js";

const retryDelayMs = 25;
const catchUpTimeoutMs = 5000;
const attemptTimeoutMs = 3000;

/** Dependencies and options of a replica. */
export interface ReplicaConfig {
    readonly identity: ReplicaIdentity;
    readonly store: LogStore;
    readonly machine: StateMachine;
    readonly peers: PeerConnector;
    /** URLs of the seed hosts, or a function that returns the current ones. */
    readonly seeds: readonly string[] | (() => readonly string[]);
    readonly timeline: Timeline;
    /** Log for failures between replicas; nothing is logged if omitted. */
    readonly log?: EventLog;
    readonly options?: Partial<ConsensusOptions>;
    /** Called when the store has failed; the replica must be stopped. */
    readonly onFatal: (err: Error) => void;
}

/** Status of one member as seen by the leader. */
export interface MemberStatus {
    readonly host: string;
    readonly url: string;
    readonly voter: boolean;
    readonly matchIndex: number;
    /** Milliseconds since the member's last response. */
    readonly silentMs: number;
}

export class Replica {
    public readonly follower: Follower;
    private readonly applier: Applier;
    private readonly election: Election;
    private readonly formation: Formation;
    private readonly stopping = new AbortController();
    private tasks: Promise<unknown>[] = [];
    private leadership: Leadership | undefined;

    private constructor(public readonly state: ReplicaState, private readonly config: ReplicaConfig) {
        setMaxListeners(0, this.stopping.signal);
        this.applier = new Applier(state, config.machine);
        this.follower = new Follower(state, this.applier);
        this.election = new Election(state, config.peers, () => this.becomeLeader());
        const { seeds } = config;
        this.formation = new Formation(state, config.peers, typeof seeds === "function" ? seeds : () => seeds);
    }

    /** Opens the store; the replica handles requests from then on, but starts no elections until {@link start}. */
    public static async open(config: ReplicaConfig): Promise<Replica> {
        const stored = await config.store.open();
        const options = { ...defaultConsensusOptions, ...config.options };
        const { identity, store, timeline, onFatal, log = silentLog } = config;
        const state = new ReplicaState(stored, identity, store, options, timeline, onFatal, log);
        return new Replica(state, config);
    }

    /** Joins or forms the group and starts taking part in elections. Call it once the RPC server is listening. */
    public start(): void {
        const { signal } = this.stopping;
        this.tasks = [this.formation.run(signal), this.election.run(signal)];
    }

    /** Leadership of this replica; undefined unless it leads and has applied all entries of earlier terms. */
    public get readyLeadership(): Leadership | undefined {
        return this.leadership?.ready ? this.leadership : undefined;
    }

    /** Whether this replica has heard a leader within the election timeout, or a majority has followed it within that time. */
    public get hasLeaderContact(): boolean {
        const { state, leadership } = this;
        return leadership?.active === true
            ? leadership.quorumAgeMs < state.options.electionMs
            : state.role === "follower" && state.leaderUrl !== "" && state.hasRecentLeader;
    }

    /** Notified when the role, leader, term, commit index or applied index changes. */
    public get changed(): ReplicaState["changed"] {
        return this.state.changed;
    }

    /**
     * Commits a command and returns after it was applied on this replica. The command must be
     * idempotent, since it is sent again if the outcome of an attempt is unknown.
     */
    public async propose(command: Uint8Array, timeoutMs: number): Promise<ApplyResult> {
        const deadline = steadyNow() + timeoutMs;
        let lastError: unknown = Failure.of(FailureCode.noLeader, "no leader is known");
        while (steadyNow() < deadline && !this.stopping.signal.aborted) {
            try {
                const applied = await this.proposeOnce(command, Math.min(attemptTimeoutMs, deadline - steadyNow()));
                await this.applier.waitUntilApplied(applied.index, catchUpTimeoutMs);
                return applied;
            }
            catch (err) {
                lastError = err;
                await sleep(retryDelayMs, this.stopping.signal);
            }
        }
        throw lastError;
    }

    /** Commits a command on this replica, which must be the leader. */
    public async proposeAsLeader(command: Uint8Array): Promise<ApplyResult> {
        if (this.leadership === undefined) {
            throw Failure.of(FailureCode.noLeader, "not the leader");
        }
        return this.leadership.propose(command);
    }

    /** Returns once all entries committed before the call are applied on this replica. */
    public async barrier(timeoutMs: number): Promise<void> {
        const deadline = steadyNow() + timeoutMs;
        let lastError: unknown = Failure.of(FailureCode.noLeader, "no leader is known");
        while (steadyNow() < deadline && !this.stopping.signal.aborted) {
            try {
                const remainingMs = Math.min(attemptTimeoutMs, deadline - steadyNow());
                const index = await this.readIndex(remainingMs);
                await this.applier.waitUntilApplied(index, remainingMs);
                return;
            }
            catch (err) {
                lastError = err;
                await sleep(retryDelayMs, this.stopping.signal);
            }
        }
        throw lastError;
    }

    /** Asks the leader for the index that a quorum read must wait for. */
    public async readIndex(timeoutMs: number): Promise<bigint> {
        if (this.leadership?.active) {
            return this.leadership.readIndex(timeoutMs);
        }
        return (await this.leaderPeer().readIndex(timeoutMs)).index;
    }

    /** Adds or updates a member; forwarded to the leader if needed. */
    public async join(member: Member): Promise<void> {
        if (this.leadership?.active) {
            await this.leadership.members.join(member);
            return;
        }
        await this.leaderPeer().join(member, attemptTimeoutMs);
    }

    /**
     * Gives this replica's vote to a learner that has caught up, before it stops as planned: the group can then lose as many
     * disks as before. Returns at once if no learner waits for a vote, and within `timeoutMs` otherwise.
     */
    public async handOverVote(timeoutMs: number): Promise<void> {
        const { state, formation } = this;
        formation.stopJoining();
        const deadline = steadyNow() + timeoutMs;
        while (state.isVoter && hasWaitingLearner(state.membership) && steadyNow() < deadline) {
            try {
                // Another host that stops may have handed its leadership to this one.
                await this.transferLeadership(deadline - steadyNow());
                const handedOver = await this.leaderPeer().handOverVote(state.memberId, deadline - steadyNow());
                state.timeline.record("vote.handed-over", { detail: String(handedOver) });
                return;
            }
            catch (err) {
                // The leadership may be changing, not least because this replica has just handed it over.
                state.events.warn("vote.not-handed-over", { error: messageOf(err) });
                await sleep(Math.min(retryDelayMs, deadline - steadyNow()));
            }
        }
    }

    /** Gives the vote of a member that stops as planned to a learner. Only on the leader; may be repeated. */
    public async handOverVoteOf(memberId: string): Promise<boolean> {
        if (!this.leadership?.active) {
            throw Failure.of(FailureCode.noLeader, "not the leader");
        }
        return this.leadership.members.handOverVote(memberId);
    }

    /** Starts an election immediately if `term` is still the current term. */
    public campaign(term: bigint): void {
        if (term === this.state.term) {
            this.election.campaignNow();
        }
    }

    /** Waits until the replica belongs to a group and knows the leader. */
    public async waitUntilJoined(timeoutMs: number): Promise<void> {
        const done = () => this.state.leaderUrl !== "" && this.state.group !== "";
        await waitUntil(done, this.state.changed, timeoutMs, "joining the control group");
    }

    /** Status of all members; empty if this replica is not the leader. */
    public memberStatus(): MemberStatus[] {
        const { state, leadership } = this;
        if (!leadership?.active) {
            return [];
        }
        return (state.membership?.members ?? []).map(member => {
            const progress = leadership.replications.get(member.id);
            const self = member.id === state.memberId;
            return {
                host: member.host,
                url: member.url,
                voter: member.voter,
                matchIndex: Number(self ? state.log.lastIndex : progress?.matchIndex ?? 0n),
                silentMs: self ? 0 : leadership.silentMs(member.id),
            };
        });
    }

    /** Transfers leadership, which avoids the election timeout of a plain stop. */
    public async transferLeadership(timeoutMs: number): Promise<void> {
        if (this.leadership?.active) {
            await this.leadership.transferLeadership(timeoutMs);
        }
    }

    /** Asks another voter to take over if this replica leads but its store has failed. */
    public async resign(timeoutMs: number): Promise<void> {
        await this.leadership?.requestSuccessor(timeoutMs);
    }

    /** Stops all tasks and closes the store. */
    public async stop(): Promise<void> {
        this.stopping.abort();
        this.state.role = "follower";
        this.state.changed.notify();
        this.election.stop();
        this.applier.stop();
        await Promise.allSettled(this.tasks);
        await this.config.store.close();
    }

    private becomeLeader(): void {
        this.leadership = new Leadership(this.state, this.applier, this.config.peers);
    }

    private async proposeOnce(command: Uint8Array, timeoutMs: number): Promise<ApplyResult> {
        if (this.leadership?.active) {
            return withTimeout(this.leadership.propose(command), timeoutMs, "a majority's answer");
        }
        return this.leaderPeer().propose(command, timeoutMs);
    }

    private leaderPeer() {
        const { leaderUrl } = this.state;
        if (leaderUrl === "" || leaderUrl === this.state.identity.url) {
            throw Failure.of(FailureCode.noLeader, "no leader is known");
        }
        return this.config.peers.connect(leaderUrl);
    }
}
