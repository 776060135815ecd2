/** Membership changes by the leader, one at a time. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, messageOf, waitUntil } from "@winchpath/core";
import { type Applier } from "./appliers.js";
import { type Entry, type Member, MemberSchema, type Membership } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { findMember, votersOf, withMember, withoutMember } from "./members.js";
import { type ReplicaState } from "./states.js";

/** Timeout for the preceding change, as a multiple of `electionMs`. */
const changeTimeoutFactor = 10;

/** The part of the leadership that membership changes need. */
export interface MembershipLeader {
    readonly term: bigint;
    readonly active: boolean;
    /** Whether all entries of earlier terms are applied. */
    readonly ready: boolean;
    appendEntry(payload: Entry["payload"]): bigint;
    /** Whether the member is responsive and has the log up to the commit index. */
    isCaughtUp(id: string): boolean;
    /** Milliseconds since the member's last response. */
    silentMs(id: string): number;
}

export class MembershipChanges {
    /** Settles with the latest change; the next change waits for it. */
    private lastChange: Promise<void> = Promise.resolve();
    private changeInProgress = false;

    public constructor(
        private readonly leader: MembershipLeader,
        private readonly state: ReplicaState,
        private readonly applier: Applier,
    ) {}

    /** Adds a member as a learner, or updates its URL. Replaces an earlier learner of the same host. */
    public async join(joining: Member): Promise<void> {
        if (findMember(this.state.membership, joining.id)?.url === joining.url) {
            return;
        }
        await this.enqueueChange(membership => {
            const members = membership.members.filter(other =>
                other.voter || other.host !== joining.host || other.id === joining.id
            );
            const voter = findMember(membership, joining.id)?.voter ?? false;
            return withMember({ ...membership, members }, create(MemberSchema, { ...joining, voter }));
        });
    }

    /** Promotes a learner that has caught up to a voter, replacing its host's earlier member if there is one. */
    public async promoteLearners(): Promise<void> {
        const learner = this.promotableLearner();
        if (this.changeInProgress || learner === undefined) {
            return;
        }
        this.changeInProgress = true;
        try {
            await this.enqueueChange(membership => this.promotionStep(membership, learner));
        }
        catch (err) {
            this.state.events.warn("members.promotion-failed", { error: messageOf(err) });
        }
        finally {
            this.changeInProgress = false;
        }
    }

    /** Removes a learner that has not responded for `removeLearnerAfterMs`. */
    public async removeUnresponsiveLearners(): Promise<void> {
        const { leader, state } = this;
        const unresponsive = state.membership?.members.find(member =>
            !member.voter && member.id !== state.memberId
            && leader.silentMs(member.id) > state.options.removeLearnerAfterMs
        );
        if (unresponsive === undefined || this.changeInProgress || !leader.ready) {
            return;
        }
        this.changeInProgress = true;
        try {
            await this.enqueueChange(membership => withoutMember(membership, unresponsive.id));
        }
        catch (err) {
            state.events.warn("members.drop-failed", { member: unresponsive.url, error: messageOf(err) });
        }
        finally {
            this.changeInProgress = false;
        }
    }

    /** Next step of a promotion: removes the voter that the learner replaces, then makes the learner a voter. */
    private promotionStep(membership: Membership, learner: Member): Membership {
        const obsolete = this.voterToRemove(membership, learner);
        return obsolete === undefined
            ? withMember(membership, create(MemberSchema, { ...learner, voter: true }))
            : withoutMember(membership, obsolete.id);
    }

    /** The voter to remove first: that of the same host or, at the voter limit, an unresponsive one. */
    private voterToRemove(membership: Membership, learner: Member): Member | undefined {
        const voters = votersOf(membership);
        const sameHost = voters.find(voter => voter.host === learner.host);
        return sameHost ?? (this.hasMaxVoters(voters) ? this.unresponsiveVoter(voters) : undefined);
    }

    private hasMaxVoters(voters: readonly Member[]): boolean {
        return voters.length >= (this.state.options.maxVoters ?? Number.POSITIVE_INFINITY);
    }

    private unresponsiveVoter(voters: readonly Member[]): Member | undefined {
        const { memberId, options } = this.state;
        return voters.find(({ id }) => id !== memberId && this.leader.silentMs(id) > options.replaceVoterAfterMs);
    }

    private promotableLearner(): Member | undefined {
        const { membership } = this.state;
        const voters = votersOf(membership);
        const canBecomeVoter = (learner: Member) =>
            !this.hasMaxVoters(voters) || this.unresponsiveVoter(voters) !== undefined
            || voters.some(voter => voter.host === learner.host);
        return membership?.members.find(member =>
            this.leader.ready && member.wantsVote && !member.voter && this.leader.isCaughtUp(member.id)
            && canBecomeVoter(member)
        );
    }

    private enqueueChange(update: (membership: Membership) => Membership): Promise<void> {
        const changed = this.lastChange.then(() => this.applyChange(update));
        this.lastChange = changed.catch(() => undefined);
        return changed;
    }

    private async applyChange(update: (membership: Membership) => Membership): Promise<void> {
        const { leader, state, applier } = this;
        const timeoutMs = state.options.electionMs * changeTimeoutFactor;
        await waitUntil(
            () => !leader.active || this.canChange(),
            applier.applied,
            timeoutMs,
            "the change before",
        );
        if (!leader.active) {
            throw Failure.of(FailureCode.noLeader, "leadership was lost");
        }
        const updated = update(state.membership!);
        state.timeline.record("members.changed", {
            detail: updated.members.map(member => `${member.host}${member.voter ? "" : " (learner)"}`).join(", "),
        });
        const index = leader.appendEntry({ case: "membership", value: updated });
        await applier.waitForEntry(index, leader.term);
    }

    /** Whether both the leader's first entry and the latest membership are committed. */
    private canChange(): boolean {
        const newest = this.state.log.membershipUpTo(this.state.log.lastIndex);
        return this.leader.ready && newest !== undefined && newest.index <= this.state.commitIndex;
    }
}
