/** One term of leadership: proposals, a replication task for each peer, quorum reads, membership. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, messageOf, Notifier, until } from "@winchpath/core";
import { type Applied, type Applier } from "./appliers.js";
import {
    type AppendRequest,
    AppendRequestSchema,
    type AppendResponse,
    type Entry,
    EntrySchema,
    type Member,
    MemberSchema,
    type Membership,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { majorityOf, memberOf, votersOf, withMember, withoutMember } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

/** Elections that a change of membership may take before it is given up. */
const changePatience = 10;

/** What the leader knows of another member. */
export interface Progress {
    nextIndex: bigint;
    matchIndex: bigint;
    /** Newest round of heartbeats that the member has answered. */
    round: bigint;
    /** Date.now() of the last answer. */
    heardAt: number;
    readonly wake: Notifier;
}

export class Leadership {
    public readonly term: bigint;
    public readonly progress = new Map<string, Progress>();
    /** Notified at every answer of a member. */
    private readonly answered = new Notifier();
    private readonly startIndex: bigint;
    private syncedIndex = 0n;
    private round = 0n;
    private handingOver = false;
    private lastQuorum = Date.now();
    /** The change of membership under way; the next one waits for it. */
    private changing: Promise<void> = Promise.resolve();
    private promoting = false;

    public constructor(
        private readonly state: ReplicaState,
        private readonly applier: Applier,
        private readonly peers: PeerConnector,
    ) {
        this.term = state.term;
        state.role = "leader";
        state.leaderId = state.memberId;
        state.leaderUrl = state.identity.url;
        state.timeline.record("leader.elected", { detail: `term=${this.term}` });
        this.startIndex = this.appendEntry({ case: "leaderStart", value: true });
        state.changed.notify();
        void this.watchQuorum();
    }

    /** Whether this replica still leads the term. */
    public get active(): boolean {
        return this.state.role === "leader" && this.state.term === this.term && this.state.fatal === undefined;
    }

    /** Whether everything that earlier leaders committed is known to be applied here. */
    public get ready(): boolean {
        return this.active && this.state.appliedIndex >= this.startIndex;
    }

    /** Commits a command; settles after it was applied here. */
    public propose(command: Uint8Array): Promise<Applied> {
        if (!this.active || this.handingOver) {
            return Promise.reject(Failure.of(FailureCode.noLeader, "not the leader"));
        }
        const index = this.appendEntry({ case: "command", value: command });
        return this.applier.waitFor(index, this.term);
    }

    /** An index that covers everything accepted so far, confirmed by a majority. */
    public async readIndex(timeoutMs: number): Promise<bigint> {
        const deadline = Date.now() + timeoutMs;
        await until(() => this.ready || !this.active, this.applier.applied, timeoutMs, "the leader's first entry");
        const index = this.state.commitIndex;
        this.round += 1n;
        const round = this.round;
        this.wakeAll();
        await until(
            () => !this.active || this.quorumAnswered(round),
            this.answered,
            Math.max(1, deadline - Date.now()),
            "confirming leadership",
        );
        if (!this.active) {
            throw Failure.of(FailureCode.noLeader, "leadership was lost");
        }
        return index;
    }

    /** Adds a member as a learner, or takes in its new URL. A learner of the same host is replaced. */
    public async join(joining: Member): Promise<void> {
        const known = memberOf(this.state.membership, joining.id);
        if (known?.url === joining.url) {
            return;
        }
        await this.changeMembership(membership => {
            const others = membership.members.filter(other =>
                other.voter || other.host !== joining.host || other.id === joining.id
            );
            const voter = memberOf(membership, joining.id)?.voter ?? false;
            const next = { ...membership, members: others };
            return withMember(next, create(MemberSchema, { ...joining, voter }));
        });
    }

    /** Lets an up-to-date voter take over, and waits until it has. */
    public async handOver(timeoutMs: number): Promise<void> {
        const deadline = Date.now() + timeoutMs;
        this.handingOver = true;
        try {
            await this.handOverBefore(deadline);
        }
        finally {
            this.handingOver = false;
        }
    }

    private async handOverBefore(deadline: number): Promise<void> {
        while (this.active && Date.now() < deadline) {
            const heir = this.bestHeir();
            if (heir === undefined) {
                return;
            }
            const { lastIndex } = this.state.log;
            if (this.progress.get(heir.id)!.matchIndex >= lastIndex) {
                this.state.timeline.record("leader.hand-over", { detail: `to=${heir.url}` });
                await this.peers.connect(heir.url).elect(this.term, this.state.options.electionMs).catch(() =>
                    undefined
                );
                await this.state.changed.wait(this.state.options.electionMs);
                continue;
            }
            this.wakeAll();
            await this.answered.wait(this.state.options.heartbeatMs);
        }
    }

    private bestHeir(): Member | undefined {
        const others = votersOf(this.state.membership).filter(voter => voter.id !== this.state.memberId);
        const fresh = others.filter(voter => this.isFresh(voter.id));
        const match = (voter: Member) => Number(this.progress.get(voter.id)!.matchIndex);
        return fresh.sort((a, b) => match(b) - match(a))[0];
    }

    private isFresh(id: string): boolean {
        const progress = this.progress.get(id);
        return progress !== undefined && Date.now() - progress.heardAt < this.state.options.electionMs;
    }

    private appendEntry(payload: Entry["payload"]): bigint {
        const { log } = this.state;
        const now = BigInt(Date.now());
        const entry = create(EntrySchema, {
            index: log.lastIndex + 1n,
            term: this.term,
            time: now > log.lastTime ? now : log.lastTime,
            payload,
        });
        this.state.append([entry]).then(() => this.synced(entry.index), () => undefined);
        this.startReplication();
        this.wakeAll();
        return entry.index;
    }

    private synced(index: bigint): void {
        if (this.active && index > this.syncedIndex) {
            this.syncedIndex = index;
            this.advanceCommit();
        }
    }

    private wakeAll(): void {
        this.progress.forEach(progress => progress.wake.notify());
    }

    /** Starts a task for every member that has none yet. */
    private startReplication(): void {
        for (const member of this.state.membership?.members ?? []) {
            if (member.id === this.state.memberId || this.progress.has(member.id)) {
                continue;
            }
            const progress: Progress = {
                nextIndex: this.state.log.lastIndex + 1n,
                matchIndex: 0n,
                round: 0n,
                heardAt: 0,
                wake: new Notifier(),
            };
            this.progress.set(member.id, progress);
            void this.replicate(member.id, progress);
        }
    }

    /** The task of one member: sends what it lacks, or a heartbeat. */
    private async replicate(id: string, progress: Progress): Promise<void> {
        const { heartbeatMs, electionMs } = this.state.options;
        while (this.active) {
            const member = memberOf(this.state.membership, id);
            if (member === undefined) {
                this.progress.delete(id);
                return;
            }
            const round = this.round;
            const req = this.appendRequest(id, progress);
            let failed = false;
            try {
                const res = await this.peers.connect(member.url).append(req, electionMs);
                this.takeAnswer(req, res, progress, round);
            }
            catch (err) {
                failed = true;
                this.state.logger("append failed", { member: member.url, error: messageOf(err) });
            }
            const behind = progress.nextIndex <= this.state.log.lastIndex || progress.round < this.round;
            if (failed || !behind) {
                await progress.wake.wait(heartbeatMs);
            }
        }
    }

    private appendRequest(to: string, progress: Progress): AppendRequest {
        const { state } = this;
        const { log, newestSnapshot } = { log: state.log, newestSnapshot: state.newestSnapshot() };
        const needsSnapshot = progress.nextIndex < log.firstIndex;
        if (needsSnapshot && newestSnapshot !== undefined) {
            progress.nextIndex = newestSnapshot.index + 1n;
        }
        const previousIndex = progress.nextIndex - 1n;
        return create(AppendRequestSchema, {
            group: state.group,
            to,
            leader: state.memberId,
            leaderUrl: state.identity.url,
            term: this.term,
            previousIndex,
            previousTerm: log.termAt(previousIndex) ?? 0n,
            commitIndex: state.commitIndex,
            entries: needsSnapshot ? [] : log.batchFrom(progress.nextIndex),
            snapshot: needsSnapshot ? newestSnapshot : undefined,
        });
    }

    private takeAnswer(req: AppendRequest, res: AppendResponse, progress: Progress, round: bigint): void {
        if (res.term > this.term) {
            void this.state.follow(res.term, "", "");
            this.answered.notify();
            return;
        }
        progress.heardAt = Date.now();
        progress.round = round;
        if (res.accepted) {
            progress.matchIndex = res.matchIndex > progress.matchIndex ? res.matchIndex : progress.matchIndex;
            progress.nextIndex = progress.matchIndex + 1n;
            this.advanceCommit();
        }
        else {
            progress.nextIndex = res.matchIndex + 1n;
        }
        this.answered.notify();
    }

    /** Commits the newest entry of this term that a majority has synced. */
    private advanceCommit(): void {
        const voters = votersOf(this.state.membership);
        const matches = voters.map(voter =>
            voter.id === this.state.memberId ? this.syncedIndex : this.progress.get(voter.id)?.matchIndex ?? 0n
        );
        matches.sort((a, b) => a > b ? -1 : a < b ? 1 : 0);
        const index = matches[majorityOf(voters.length) - 1] ?? 0n;
        if (index > this.state.commitIndex && this.state.log.termAt(index) === this.term) {
            this.applier.commitTo(index);
            this.wakeAll();
            void this.promoteLearners();
        }
    }

    private quorumAnswered(round: bigint): boolean {
        const voters = votersOf(this.state.membership);
        const count =
            voters.filter(voter =>
                voter.id === this.state.memberId || (this.progress.get(voter.id)?.round ?? -1n) >= round
            ).length;
        return count >= majorityOf(voters.length);
    }

    /** Steps down when a majority has not been heard, so that a cut-off leader knows that it leads no more. */
    private async watchQuorum(): Promise<void> {
        while (this.active) {
            await this.answered.wait(this.state.options.heartbeatMs);
            const voters = votersOf(this.state.membership);
            const fresh = voters.filter(voter => voter.id === this.state.memberId || this.isFresh(voter.id)).length;
            if (fresh >= majorityOf(voters.length)) {
                this.lastQuorum = Date.now();
            }
            if (this.active && Date.now() - this.lastQuorum > this.state.options.electionMs * 2) {
                this.state.timeline.record("leader.lost-quorum", { detail: `term=${this.term}` });
                void this.state.follow(this.term, "", "");
            }
            void this.promoteLearners();
        }
        this.answered.notify();
    }

    /** One change at a time, and none before the leader's first entry is committed. */
    private changeMembership(change: (membership: Membership) => Membership): Promise<void> {
        const changed = this.changing.then(() => this.changeNow(change));
        this.changing = changed.catch(() => undefined);
        return changed;
    }

    private async changeNow(change: (membership: Membership) => Membership): Promise<void> {
        const patience = this.state.options.electionMs * changePatience;
        await until(() => !this.active || this.mayChange(), this.applier.applied, patience, "the change before");
        if (!this.active) {
            throw Failure.of(FailureCode.noLeader, "leadership was lost");
        }
        const next = change(this.state.membership!);
        this.state.timeline.record("members.changed", {
            detail: next.members.map(member => `${member.host}${member.voter ? "" : " (learner)"}`).join(", "),
        });
        const index = this.appendEntry({ case: "membership", value: next });
        await this.applier.waitFor(index, this.term);
    }

    private mayChange(): boolean {
        const newest = this.state.log.membershipUpTo(this.state.log.lastIndex);
        return this.ready && newest !== undefined && newest.index <= this.state.commitIndex;
    }

    /** Makes a voter of a learner that has caught up, in the place of its host's earlier member. */
    private async promoteLearners(): Promise<void> {
        const caughtUp = this.caughtUpLearner();
        if (this.promoting || caughtUp === undefined) {
            return;
        }
        this.promoting = true;
        try {
            await this.changeMembership(membership => promote(membership, caughtUp));
        }
        catch (err) {
            this.state.logger("promotion failed", { error: messageOf(err) });
        }
        finally {
            this.promoting = false;
        }
    }

    private caughtUpLearner(): Member | undefined {
        return this.state.membership?.members.find(member =>
            this.ready && member.wantsVote && !member.voter && this.isFresh(member.id)
            && this.progress.get(member.id)!.matchIndex >= this.state.commitIndex
        );
    }
}

/** One step: the earlier voter of the host goes, and only then its new one comes. */
function promote(membership: Membership, learner: Member): Membership {
    const earlier = membership.members.find(member => member.voter && member.host === learner.host);
    return earlier === undefined
        ? withMember(membership, create(MemberSchema, { ...learner, voter: true }))
        : withoutMember(membership, earlier.id);
}
