/** One term of leadership: proposals, commits, quorum reads and leadership transfer. */
import { create } from "@bufbuild/protobuf";
import { eventLoop, Failure, FailureCode, Notifier, sleep, steadyNow, waitUntil } from "@winchpath/core";
import { type Applier, type ApplyResult } from "./appliers.js";
import { type Entry, EntrySchema, type Member } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { findMember, hasWaitingLearner, quorumSize, votersOf } from "./members.js";
import { MembershipChanges, type MembershipLeader } from "./memberships.js";
import { type PeerConnector } from "./peers.js";
import { Replication, type ReplicationLeader } from "./replications.js";
import { type ReplicaState } from "./states.js";

/**
 * How long a new group waits for the hosts that are to vote before it accepts its first command, in milliseconds: for the
 * first of them to join, and until all that have joined vote. There may be fewer hosts than voters are wanted.
 */
const firstJoinMs = 1000;
const firstVotesMs = 3000;

export class Leadership implements ReplicationLeader, MembershipLeader {
    public readonly term: bigint;
    /** Whether the group has had no leader before that was ready. */
    public readonly isFirst: boolean;
    /** Replication to the other members, by member id. */
    public readonly replications = new Map<string, Replication>();
    public readonly members: MembershipChanges;
    /** Latest heartbeat round requested by a quorum read. */
    public heartbeatRound = 0n;
    /** Notified on every response from a member. */
    private readonly responseReceived = new Notifier();
    private readonly startIndex: bigint;
    private syncedIndex = 0n;
    private transferring = false;
    /** Monotonic time of the last check that found a majority responsive. */
    private lastResponsiveAt = steadyNow();
    private readonly leaderSince = steadyNow();

    public constructor(
        private readonly state: ReplicaState,
        private readonly applier: Applier,
        private readonly peers: PeerConnector,
    ) {
        this.term = state.term;
        this.members = new MembershipChanges(this, state, applier);
        state.role = "leader";
        state.leaderId = state.memberId;
        state.leaderUrl = state.identity.url;
        state.timeline.record("leader.elected", { detail: `term=${this.term}` });
        this.isFirst = !state.log.hasLeadership;
        this.startIndex = this.appendEntry({ case: "leaderStart", value: true });
        state.changed.notify();
        void this.monitorQuorum();
    }

    /** Whether this replica is still the leader of the term. */
    public get active(): boolean {
        return this.state.role === "leader" && this.state.term === this.term && this.state.fatalError === undefined;
    }

    /** Whether all entries committed by earlier leaders are applied on this replica. */
    public get ready(): boolean {
        return this.active && this.state.appliedIndex >= this.startIndex;
    }

    /** Commits a command; resolves after it was applied on this replica. */
    public propose(command: Uint8Array): Promise<ApplyResult> {
        if (!this.active || this.transferring) {
            return Promise.reject(Failure.of(FailureCode.noLeader, "not the leader"));
        }
        if (this.isForming) {
            return Promise.reject(Failure.of(FailureCode.noLeader, "the new group is waiting for its voters"));
        }
        const { log, commitIndex, options } = this.state;
        if (log.bytesAfter(commitIndex) >= options.uncommittedBytes) {
            // Entries can't be compacted before they are committed, so these would fill the disks.
            return Promise.reject(Failure.of(FailureCode.overloaded, "too many uncommitted changes"));
        }
        const index = this.appendEntry({ case: "command", value: command });
        return this.applier.waitForEntry(index, this.term);
    }

    /** Commit index at the time of the call, returned once a majority has confirmed the leadership. */
    public async readIndex(timeoutMs: number): Promise<bigint> {
        const deadline = steadyNow() + timeoutMs;
        await waitUntil(
            () => this.ready || !this.active,
            this.applier.applied,
            timeoutMs,
            "the leader's first entry",
        );
        const index = this.state.commitIndex;
        this.heartbeatRound += 1n;
        const { heartbeatRound: round } = this;
        this.wakeReplications();
        const confirmed = () => !this.active || this.hasQuorumFor(round);
        await waitUntil(confirmed, this.responseReceived, Math.max(1, deadline - steadyNow()), "confirming leadership");
        if (!this.active) {
            throw Failure.of(FailureCode.noLeader, "leadership was lost");
        }
        return index;
    }

    /**
     * Transfers leadership to an up-to-date voter, and waits until this replica no longer leads. Proposals are refused only
     * during each attempt: if one fails, clients don't wait for the next.
     */
    public async transferLeadership(timeoutMs: number): Promise<void> {
        const deadline = steadyNow() + timeoutMs;
        while (this.active && steadyNow() < deadline) {
            const successor = this.bestSuccessor();
            if (successor === undefined) {
                return;
            }
            await this.offerLeadership(successor);
            if (this.active) {
                this.state.timeline.record("leader.kept", { detail: `term=${this.term} refused by ${successor.url}` });
                await sleep(Math.min(this.state.options.heartbeatMs, deadline - steadyNow()));
            }
        }
    }

    /** Asks the most up-to-date voter to start an election, without waiting for the outcome. */
    public async requestSuccessor(timeoutMs: number): Promise<void> {
        const successor = this.state.term === this.term ? this.bestSuccessor() : undefined;
        if (successor !== undefined) {
            this.state.timeline.record("leader.abdicated", { detail: `to=${successor.url}` });
            // If the request is lost, the followers elect a leader after the election timeout.
            await this.peers.connect(successor.url).elect(this.term, timeoutMs).catch(() => undefined);
        }
    }

    /** Appends an entry of this term; it is replicated and synced in parallel. */
    public appendEntry(payload: Entry["payload"]): bigint {
        const { log } = this.state;
        const now = BigInt(Date.now());
        const entry = create(EntrySchema, {
            index: log.lastIndex + 1n,
            term: this.term,
            time: now > log.lastTime ? now : log.lastTime,
            payload,
        });
        this.state.append([entry]).then(() => this.onSynced(entry.index), () => undefined);
        this.updateReplications();
        this.wakeReplications();
        return entry.index;
    }

    public onResponse(): void {
        this.advanceCommitIndex();
        this.responseReceived.notify();
    }

    public isCaughtUp(id: string, index = this.state.commitIndex): boolean {
        const replication = this.replications.get(id);
        return replication !== undefined && this.isResponsive(id) && replication.matchIndex >= index;
    }

    public async waitForResponse(timeoutMs: number): Promise<void> {
        await this.responseReceived.wait(timeoutMs);
    }

    /** Milliseconds since the member's last response, or since this leader first had it in the membership if that is later. */
    public silentMs(id: string): number {
        const replication = this.replications.get(id);
        const since = replication === undefined
            ? this.leaderSince
            : Math.max(replication.lastResponseAt, replication.startedAt);
        return eventLoop.readUntil - since;
    }

    /** Milliseconds for which this leader has had the member in the membership. */
    public memberAgeMs(id: string): number {
        return steadyNow() - (this.replications.get(id)?.startedAt ?? this.leaderSince);
    }

    /** Milliseconds since this replica became the leader. */
    public get leadershipAgeMs(): number {
        return steadyNow() - this.leaderSince;
    }

    /**
     * Milliseconds since the latest time at which a majority is known to have followed this leader; no later
     * leader can have committed an entry before that time. Infinite before the first responses.
     */
    public get quorumAgeMs(): number {
        const now = steadyNow();
        const voters = votersOf(this.state.membership);
        const confirmedAt = voters.map(({ id }) =>
            id === this.state.memberId ? now : this.replications.get(id)?.lastConfirmedAt ?? Number.NEGATIVE_INFINITY
        );
        confirmedAt.sort((a, b) => b - a);
        return now - (confirmedAt[quorumSize(voters.length) - 1] ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Whether the group has no command yet, and fewer voters than it is to have: a majority of them bears the loss of fewer
     * disks than it tolerates afterwards.
     */
    private get isForming(): boolean {
        const { log, membership, options } = this.state;
        const lacksVoters = votersOf(membership).length < (options.maxVoters ?? 0);
        const waitMs = hasWaitingLearner(membership) ? firstVotesMs : firstJoinMs;
        return lacksVoters && !log.hasCommand && this.leadershipAgeMs < waitMs;
    }

    /** Asks a voter to take over, and waits for it for one election timeout. */
    private async offerLeadership(successor: Member): Promise<void> {
        const deadline = steadyNow() + this.state.options.electionMs;
        this.transferring = true;
        try {
            if (await this.bringUpToDate(successor, deadline)) {
                this.state.timeline.record("leader.hand-over", { detail: `to=${successor.url}` });
                const remainingMs = Math.max(1, deadline - steadyNow());
                await this.peers.connect(successor.url).elect(this.term, remainingMs).catch(() => undefined);
                await this.waitWhileActive(deadline);
            }
        }
        finally {
            this.transferring = false;
        }
    }

    /** Returns whether the voter has all entries; none are added while leadership is transferred. */
    private async bringUpToDate(successor: Member, deadline: number): Promise<boolean> {
        const isUpToDate = () => this.replications.get(successor.id)!.matchIndex >= this.state.log.lastIndex;
        while (this.active && !isUpToDate() && steadyNow() < deadline) {
            this.wakeReplications();
            await this.responseReceived.wait(this.state.options.heartbeatMs);
        }
        return this.active && isUpToDate();
    }

    private async waitWhileActive(deadline: number): Promise<void> {
        while (this.active && steadyNow() < deadline) {
            await this.state.changed.wait(deadline - steadyNow());
        }
    }

    private bestSuccessor(): Member | undefined {
        const others = votersOf(this.state.membership).filter(voter => voter.id !== this.state.memberId);
        const matchIndexOf = (voter: Member) => Number(this.replications.get(voter.id)!.matchIndex);
        return others.filter(voter => this.isResponsive(voter.id)).sort((a, b) => matchIndexOf(b) - matchIndexOf(a))[0];
    }

    /** Whether the member has responded within the election timeout. */
    public isResponsive(id: string): boolean {
        return this.silentMs(id) < this.state.options.electionMs;
    }

    private onSynced(index: bigint): void {
        if (this.active && index > this.syncedIndex) {
            this.syncedIndex = index;
            this.advanceCommitIndex();
        }
    }

    private wakeReplications(): void {
        this.replications.forEach(replication => replication.wake.notify());
    }

    /** Starts replication to new members, and removes it for former members. */
    private updateReplications(): void {
        const { membership, memberId } = this.state;
        for (const { id } of membership?.members ?? []) {
            if (id !== memberId && !this.replications.has(id)) {
                const replication = new Replication(id, this, this.state, this.peers);
                this.replications.set(id, replication);
                void replication.run();
            }
        }
        for (const id of this.replications.keys()) {
            if (findMember(membership, id) === undefined) {
                this.replications.delete(id);
            }
        }
    }

    /** Advances the commit index to the last entry of this term that a majority has synced. */
    private advanceCommitIndex(): void {
        if (!this.active) {
            return;
        }
        const voters = votersOf(this.state.membership);
        const matchIndexes = voters.map(({ id }) =>
            id === this.state.memberId ? this.syncedIndex : this.replications.get(id)?.matchIndex ?? 0n
        );
        matchIndexes.sort((a, b) => a > b ? -1 : a < b ? 1 : 0);
        const index = matchIndexes[quorumSize(voters.length) - 1] ?? 0n;
        if (index > this.state.commitIndex && this.state.log.termAt(index) === this.term) {
            this.applier.commitTo(index);
            this.wakeReplications();
            void this.members.promoteLearners();
        }
    }

    private hasQuorumFor(round: bigint): boolean {
        const voters = votersOf(this.state.membership);
        const count =
            voters.filter(({ id }) =>
                id === this.state.memberId || (this.replications.get(id)?.acknowledgedRound ?? -1n) >= round
            )
                .length;
        return count >= quorumSize(voters.length);
    }

    /** Steps down when no majority responds, so that a partitioned leader does not consider itself the leader. */
    private async monitorQuorum(): Promise<void> {
        const { heartbeatMs, electionMs } = this.state.options;
        while (this.active) {
            await this.responseReceived.wait(heartbeatMs);
            const voters = votersOf(this.state.membership);
            const responsive = voters.filter(({ id }) => id === this.state.memberId || this.isResponsive(id)).length;
            if (responsive >= quorumSize(voters.length)) {
                this.lastResponsiveAt = steadyNow();
            }
            if (this.active && steadyNow() - this.lastResponsiveAt > electionMs * 2) {
                this.state.timeline.record("leader.lost-quorum", { detail: `term=${this.term}` });
                void this.state.becomeFollower(this.term, "", "");
            }
            void this.members.promoteLearners();
            void this.members.removeUnresponsiveLearners();
            void this.members.removeSurplusVoter();
        }
        this.responseReceived.notify();
    }
}
