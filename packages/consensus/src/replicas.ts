/** One replica of the control group: what the rest of the process sees of consensus. */
import { type EventLog, Failure, FailureCode, silentLog, sleep, steadyNow, until, withTimeout } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { setMaxListeners } from "node:events";
import { type Applied, Applier } from "./appliers.js";
import { Election } from "./elections.js";
import { Follower } from "./followers.js";
import { Formation } from "./formations.js";
import { type Member } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { Leadership } from "./leaderships.js";
import { type StateMachine } from "./machines.js";
import { type PeerConnector } from "./peers.js";
import { type ConsensusOptions, defaultConsensusOptions, type ReplicaIdentity, ReplicaState } from "./states.js";
import { type LogStore } from "./stores.js";

const retryMs = 25;
const catchUpMs = 5000;
const attemptMs = 3000;

/** What a replica is made of. */
export interface ReplicaParts {
    readonly identity: ReplicaIdentity;
    readonly store: LogStore;
    readonly machine: StateMachine;
    readonly peers: PeerConnector;
    /** URLs of control hosts, or a function that gives those of the moment. */
    readonly seeds: readonly string[] | (() => readonly string[]);
    readonly timeline: Timeline;
    /** Where failures between replicas are told; nowhere where it is left out. */
    readonly log?: EventLog;
    readonly options?: Partial<ConsensusOptions>;
    /** The store failed; the process has to stop. */
    readonly onFatal: (err: Error) => void;
}

/** How one member stands, as the leader sees it. */
export interface MemberStatus {
    readonly host: string;
    readonly url: string;
    readonly voter: boolean;
    readonly matchIndex: number;
    /** Milliseconds since it was heard. */
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

    private constructor(public readonly state: ReplicaState, private readonly parts: ReplicaParts) {
        setMaxListeners(0, this.stopping.signal);
        this.applier = new Applier(state, parts.machine);
        this.follower = new Follower(state, this.applier);
        this.election = new Election(state, parts.peers, () => this.lead());
        const { seeds } = parts;
        this.formation = new Formation(state, parts.peers, typeof seeds === "function" ? seeds : () => seeds);
    }

    /** Reads the store; the replica answers others from now on, but does nothing of itself. */
    public static async open(parts: ReplicaParts): Promise<Replica> {
        const stored = await parts.store.open();
        const options = { ...defaultConsensusOptions, ...parts.options };
        const { identity, store, timeline, onFatal, log = silentLog } = parts;
        const state = new ReplicaState(stored, identity, store, options, timeline, onFatal, log);
        return new Replica(state, parts);
    }

    /** Joins or forms the group, and takes part in it. Call it once the listener is up. */
    public start(): void {
        const { signal } = this.stopping;
        this.tasks = [this.formation.run(signal), this.election.run(signal)];
    }

    /** The leadership of this replica, while it leads and has applied all that came before. */
    public get leading(): Leadership | undefined {
        return this.leadership?.ready ? this.leadership : undefined;
    }

    /** Notified when the role, leader, term, commit index or applied index changes. */
    public get changed(): ReplicaState["changed"] {
        return this.state.changed;
    }

    /**
     * Commits a command and returns after it was applied here. It is sent again
     * when its outcome is not known, so it must be one that may be applied twice.
     */
    public async propose(command: Uint8Array, timeoutMs: number): Promise<Applied> {
        const deadline = steadyNow() + timeoutMs;
        let last: unknown = Failure.of(FailureCode.noLeader, "no leader is known");
        while (steadyNow() < deadline && !this.stopping.signal.aborted) {
            try {
                const applied = await this.proposeOnce(command, Math.min(attemptMs, deadline - steadyNow()));
                await this.applier.caughtUp(applied.index, catchUpMs);
                return applied;
            }
            catch (err) {
                last = err;
                await sleep(retryMs, this.stopping.signal);
            }
        }
        throw last;
    }

    /** Commits through this replica, which has to lead. */
    public async proposeHere(command: Uint8Array): Promise<Applied> {
        if (this.leadership === undefined) {
            throw Failure.of(FailureCode.noLeader, "not the leader");
        }
        return this.leadership.propose(command);
    }

    /** Returns once everything accepted before the call is applied here. */
    public async barrier(timeoutMs: number): Promise<void> {
        const deadline = steadyNow() + timeoutMs;
        let last: unknown = Failure.of(FailureCode.noLeader, "no leader is known");
        while (steadyNow() < deadline && !this.stopping.signal.aborted) {
            try {
                const left = Math.min(attemptMs, deadline - steadyNow());
                const index = await this.readIndex(left);
                await this.applier.caughtUp(index, left);
                return;
            }
            catch (err) {
                last = err;
                await sleep(retryMs, this.stopping.signal);
            }
        }
        throw last;
    }

    /** The index a quorum read waits for, from the leader. */
    public async readIndex(timeoutMs: number): Promise<bigint> {
        if (this.leadership?.active) {
            return this.leadership.readIndex(timeoutMs);
        }
        return (await this.leaderPeer().readIndex(timeoutMs)).index;
    }

    /** Adds or updates a member; asked of the leader. */
    public async join(member: Member): Promise<void> {
        if (this.leadership?.active) {
            await this.leadership.members.join(member);
            return;
        }
        await this.leaderPeer().join(member, attemptMs);
    }

    /** Stands for election at once. */
    public elect(term: bigint): void {
        if (term === this.state.term) {
            this.election.standNow();
        }
    }

    /** Waits until a member of a group that knows its leader. */
    public async joined(timeoutMs: number): Promise<void> {
        const done = () => this.state.leaderUrl !== "" && this.state.group !== "";
        await until(done, this.state.changed, timeoutMs, "joining the control group");
    }

    /** How all members stand; empty where this replica does not lead. */
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

    /** Hands leadership over, so that the others need not wait for an election. */
    public async handOver(timeoutMs: number): Promise<void> {
        if (this.leadership?.active) {
            await this.leadership.handOver(timeoutMs);
        }
    }

    /** Lets another voter take over from a leader that can't write any more. */
    public async abdicate(timeoutMs: number): Promise<void> {
        await this.leadership?.nameHeir(timeoutMs);
    }

    /** Ends all tasks and closes the store. */
    public async stop(): Promise<void> {
        this.stopping.abort();
        this.state.role = "follower";
        this.state.changed.notify();
        this.election.stop();
        this.applier.stop();
        await Promise.allSettled(this.tasks);
        await this.parts.store.close();
    }

    private lead(): void {
        this.leadership = new Leadership(this.state, this.applier, this.parts.peers);
    }

    private async proposeOnce(command: Uint8Array, timeoutMs: number): Promise<Applied> {
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
        return this.parts.peers.connect(leaderUrl);
    }
}
