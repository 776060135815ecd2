/** Membership changes by the leader, one at a time. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, messageOf, steadyNow, waitUntil } from "@winchpath/core";
import { type Applier } from "./appliers.js";
import { type Entry, type Member, MemberSchema, type Membership } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { findMember, votersOf, withMember, withoutMember } from "./members.js";
import { type ReplicaState } from "./states.js";

/** Timeout for the preceding change, as a multiple of `electionMs`. */
const changeTimeoutFactor = 10;
/** How long a planned stop waits for a learner to catch up, as a multiple of `electionMs`. */
const successorWaitFactor = 0.5;

/** Computes the next membership; undefined if there is nothing to change. */
type MembershipUpdate = (membership: Membership) => Membership | undefined;

/** The part of the leadership that membership changes need. */
export interface MembershipLeader {
    readonly term: bigint;
    readonly active: boolean;
    /** Whether all entries of earlier terms are applied. */
    readonly ready: boolean;
    appendEntry(payload: Entry["payload"]): bigint;
    /** Whether the member is responsive and has synced the log up to `index`, by default the commit index. */
    isCaughtUp(id: string, index?: bigint): boolean;
    /** Whether the member has responded within the election timeout. */
    isResponsive(id: string): boolean;
    /** Resolves on the next response of a member, or after `timeoutMs`. */
    waitForResponse(timeoutMs: number): Promise<void>;
    /** Milliseconds since the member's last response, or since this leader first had it in the membership if that is later. */
    silentMs(id: string): number;
    /** Milliseconds for which this leader has had the member in the membership. */
    memberAgeMs(id: string): number;
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
        const current = findMember(this.state.membership, joining.id);
        if (current?.url === joining.url && (current.voter || current.wantsVote === joining.wantsVote)) {
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

    /**
     * Gives the vote of a member that stops as planned to a learner that has caught up, so that the group can lose as many
     * disks as before. Resolves to whether the member is no voter any more; without such a learner it remains one.
     *
     * The learner becomes a voter first, beyond `maxVoters` for that moment: as the member still runs, any two of five voters
     * can be lost at each step. With the opposite order only one of the four voters in between could be.
     */
    public async handOverVote(id: string): Promise<boolean> {
        const { commitIndex } = this.state;
        await this.waitForSuccessor(id, commitIndex);
        let changed = true;
        while (changed && findMember(this.state.membership, id)?.voter) {
            changed = await this.enqueueChange(membership => this.handOverStep(membership, id, commitIndex));
        }
        return !findMember(this.state.membership, id)?.voter;
    }

    /** Removes an unresponsive voter beyond `maxVoters`: one that was killed while its vote was handed over. */
    public async removeSurplusVoter(): Promise<void> {
        if (this.changeInProgress || !this.leader.ready || this.surplusVoter(this.state.membership) === undefined) {
            return;
        }
        this.changeInProgress = true;
        try {
            await this.enqueueChange(membership => {
                const surplus = this.surplusVoter(membership);
                return surplus === undefined ? undefined : withoutMember(membership, surplus.id);
            });
        }
        catch (err) {
            this.state.events.warn("members.drop-failed", { error: messageOf(err) });
        }
        finally {
            this.changeInProgress = false;
        }
    }

    /** Promotes a learner that has caught up to a voter, replacing its host's earlier member if there is one. */
    public async promoteLearners(): Promise<void> {
        const learner = this.promotableLearner();
        if (this.changeInProgress || learner === undefined) {
            return;
        }
        const { commitIndex } = this.state;
        this.changeInProgress = true;
        try {
            await this.enqueueChange(membership => this.promotionStep(membership, learner, commitIndex));
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
        const candidate = this.unresponsiveLearner(state.membership);
        if (candidate === undefined || this.changeInProgress || !leader.ready) {
            return;
        }
        this.changeInProgress = true;
        try {
            // Decided again when the change is made: the learner may have responded while earlier changes were committed.
            await this.enqueueChange(membership => this.removalStep(membership));
        }
        catch (err) {
            state.events.warn("members.drop-failed", { member: candidate.url, error: messageOf(err) });
        }
        finally {
            this.changeInProgress = false;
        }
    }

    /** Waits briefly for a learner to catch up to `index`, if one that wants a vote is responsive. */
    private async waitForSuccessor(leaving: string, index: bigint): Promise<void> {
        const { leader, state } = this;
        const deadline = steadyNow() + state.options.electionMs * successorWaitFactor;
        const candidates = () =>
            possibleSuccessors(state.membership, leaving).filter(({ id }) => leader.isResponsive(id));
        while (
            leader.active && steadyNow() < deadline && candidates().length > 0
            && !candidates().some(({ id }) => leader.isCaughtUp(id, index))
        ) {
            await leader.waitForResponse(deadline - steadyNow());
        }
    }

    /** Next step of a planned stop: makes a learner a voter, then the leaving voter a learner that wants no vote. */
    private handOverStep(membership: Membership, id: string, index: bigint): Membership | undefined {
        const leaving = findMember(membership, id);
        const voters = votersOf(membership);
        const { maxVoters } = this.state.options;
        if (!leaving?.voter || maxVoters === undefined || voters.length < maxVoters) {
            return undefined;
        }
        if (voters.length > maxVoters) {
            return withMember(membership, create(MemberSchema, { ...leaving, voter: false, wantsVote: false }));
        }
        const successor = possibleSuccessors(membership, id).find(learner => this.leader.isCaughtUp(learner.id, index));
        return successor === undefined
            ? undefined
            : withMember(membership, create(MemberSchema, { ...successor, voter: true }));
    }

    /** Next step of a promotion: removes the voter that the learner replaces, then makes the learner a voter. */
    private promotionStep(membership: Membership, { id }: Member, index: bigint): Membership | undefined {
        const learner = findMember(membership, id);
        if (learner === undefined || learner.voter || !learner.wantsVote || !this.leader.isCaughtUp(id, index)) {
            return undefined;
        }
        const obsolete = this.voterToRemove(membership, learner);
        if (obsolete !== undefined) {
            return withoutMember(membership, obsolete.id);
        }
        return this.hasMaxVoters(votersOf(membership))
            ? undefined
            : withMember(membership, create(MemberSchema, { ...learner, voter: true }));
    }

    /** Next step of a removal: the membership without a learner that is unresponsive now; undefined if there is none. */
    private removalStep(membership: Membership): Membership | undefined {
        const { leader, state } = this;
        const unresponsive = this.unresponsiveLearner(membership);
        if (unresponsive === undefined) {
            return undefined;
        }
        const { id, host, url } = unresponsive;
        state.events.info("members.dropped", {
            member: id,
            host,
            url,
            silentMs: Math.round(leader.silentMs(id)),
            memberMs: Math.round(leader.memberAgeMs(id)),
        });
        return withoutMember(membership, id);
    }

    private unresponsiveLearner(membership: Membership | undefined): Member | undefined {
        const { memberId, options } = this.state;
        return membership?.members.find(({ id, voter }) =>
            !voter && id !== memberId && this.leader.silentMs(id) > options.removeLearnerAfterMs
        );
    }

    private surplusVoter(membership: Membership | undefined): Member | undefined {
        const voters = votersOf(membership);
        const { maxVoters } = this.state.options;
        return maxVoters !== undefined && voters.length > maxVoters ? this.unresponsiveVoter(voters) : undefined;
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

    /** Resolves to whether something was changed. */
    private enqueueChange(update: MembershipUpdate): Promise<boolean> {
        const changed = this.lastChange.then(() => this.applyChange(update));
        this.lastChange = changed.then(() => undefined, () => undefined);
        return changed;
    }

    private async applyChange(update: MembershipUpdate): Promise<boolean> {
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
        if (updated === undefined) {
            return false;
        }
        state.timeline.record("members.changed", {
            detail: updated.members.map(member => `${member.host}${member.voter ? "" : " (learner)"}`).join(", "),
        });
        const index = leader.appendEntry({ case: "membership", value: updated });
        await applier.waitForEntry(index, leader.term);
        return true;
    }

    /** Whether both the leader's first entry and the latest membership are committed. */
    private canChange(): boolean {
        const newest = this.state.log.membershipUpTo(this.state.log.lastIndex);
        return this.leader.ready && newest !== undefined && newest.index <= this.state.commitIndex;
    }
}

/** Learners that may take the vote of a member, without those that are to replace a voter of their own host. */
function possibleSuccessors(membership: Membership | undefined, leaving: string): Member[] {
    const voterHosts = new Set(votersOf(membership).map(({ host }) => host));
    return membership?.members.filter(({ id, host, voter, wantsVote }) =>
        id !== leaving && !voter && wantsVote && !voterHosts.has(host)
    ) ?? [];
}
