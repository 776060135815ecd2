/** Changes of the membership by the leader: one at a time. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, messageOf, until } from "@winchpath/core";
import { type Applier } from "./appliers.js";
import { type Entry, type Member, MemberSchema, type Membership } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { memberOf, votersOf, withMember, withoutMember } from "./members.js";
import { type ReplicaState } from "./states.js";

/** Election times that a change may wait for the one before it. */
const patience = 10;

/** What the changes ask of their leader. */
export interface MembershipLeader {
    readonly term: bigint;
    readonly active: boolean;
    /** Whether everything of earlier terms is applied. */
    readonly ready: boolean;
    appendEntry(payload: Entry["payload"]): bigint;
    /** Whether a member was heard lately, and has the log up to the commit index. */
    isCaughtUp(id: string): boolean;
    /** Milliseconds since a member was heard. */
    silentMs(id: string): number;
}

export class MembershipChanges {
    /** The change under way; the next one waits for it. */
    private changing: Promise<void> = Promise.resolve();
    private promoting = false;

    public constructor(
        private readonly leader: MembershipLeader,
        private readonly state: ReplicaState,
        private readonly applier: Applier,
    ) {}

    /** Adds a member as a learner, or takes in its new URL. A learner of the same host is replaced. */
    public async join(joining: Member): Promise<void> {
        if (memberOf(this.state.membership, joining.id)?.url === joining.url) {
            return;
        }
        await this.change(membership => {
            const members = membership.members.filter(other =>
                other.voter || other.host !== joining.host || other.id === joining.id
            );
            const voter = memberOf(membership, joining.id)?.voter ?? false;
            return withMember({ ...membership, members }, create(MemberSchema, { ...joining, voter }));
        });
    }

    /** Makes a voter of a learner that has caught up, in the place of its host's earlier member. */
    public async promoteLearners(): Promise<void> {
        const learner = this.caughtUpLearner();
        if (this.promoting || learner === undefined) {
            return;
        }
        this.promoting = true;
        try {
            await this.change(membership => this.promote(membership, learner));
        }
        catch (err) {
            this.state.events.warn("members.promotion-failed", { error: messageOf(err) });
        }
        finally {
            this.promoting = false;
        }
    }

    /** Drops a learner that was not heard for long; it is most often gone for good. */
    public async dropSilentLearners(): Promise<void> {
        const { leader, state } = this;
        const silent = state.membership?.members.find(member =>
            !member.voter && member.id !== state.memberId && leader.silentMs(member.id) > state.options.forgetAfterMs
        );
        if (silent === undefined || this.promoting || !leader.ready) {
            return;
        }
        this.promoting = true;
        try {
            await this.change(membership => withoutMember(membership, silent.id));
        }
        catch (err) {
            state.events.warn("members.drop-failed", { member: silent.url, error: messageOf(err) });
        }
        finally {
            this.promoting = false;
        }
    }

    /** One step: an earlier voter that the learner replaces goes, and only then the learner gets its vote. */
    private promote(membership: Membership, learner: Member): Membership {
        const replaced = this.replacedBy(membership, learner);
        return replaced === undefined
            ? withMember(membership, create(MemberSchema, { ...learner, voter: true }))
            : withoutMember(membership, replaced.id);
    }

    /** The voter that has to go first: that of the same host, or a silent one where there are enough voters. */
    private replacedBy(membership: Membership, learner: Member): Member | undefined {
        const voters = votersOf(membership);
        const sameHost = voters.find(voter => voter.host === learner.host);
        return sameHost ?? (this.isFull(voters) ? this.silentVoter(voters) : undefined);
    }

    private isFull(voters: readonly Member[]): boolean {
        return voters.length >= (this.state.options.maxVoters ?? Number.POSITIVE_INFINITY);
    }

    private silentVoter(voters: readonly Member[]): Member | undefined {
        const { memberId, options } = this.state;
        return voters.find(({ id }) => id !== memberId && this.leader.silentMs(id) > options.replaceAfterMs);
    }

    private caughtUpLearner(): Member | undefined {
        const { membership } = this.state;
        const voters = votersOf(membership);
        const hasPlace = (learner: Member) =>
            !this.isFull(voters) || this.silentVoter(voters) !== undefined
            || voters.some(voter => voter.host === learner.host);
        return membership?.members.find(member =>
            this.leader.ready && member.wantsVote && !member.voter && this.leader.isCaughtUp(member.id)
            && hasPlace(member)
        );
    }

    private change(change: (membership: Membership) => Membership): Promise<void> {
        const changed = this.changing.then(() => this.changeNow(change));
        this.changing = changed.catch(() => undefined);
        return changed;
    }

    private async changeNow(change: (membership: Membership) => Membership): Promise<void> {
        const { leader, state, applier } = this;
        const timeoutMs = state.options.electionMs * patience;
        await until(() => !leader.active || this.mayChange(), applier.applied, timeoutMs, "the change before");
        if (!leader.active) {
            throw Failure.of(FailureCode.noLeader, "leadership was lost");
        }
        const next = change(state.membership!);
        state.timeline.record("members.changed", {
            detail: next.members.map(member => `${member.host}${member.voter ? "" : " (learner)"}`).join(", "),
        });
        const index = leader.appendEntry({ case: "membership", value: next });
        await applier.waitFor(index, leader.term);
    }

    /** Not before the leader's first entry is committed, nor before the newest membership is. */
    private mayChange(): boolean {
        const newest = this.state.log.membershipUpTo(this.state.log.lastIndex);
        return this.leader.ready && newest !== undefined && newest.index <= this.state.commitIndex;
    }
}
