/** Changes of the membership by the leader: one at a time. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, messageOf, until } from "@winchpath/core";
import { type Applier } from "./appliers.js";
import { type Entry, type Member, MemberSchema, type Membership } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { memberOf, withMember, withoutMember } from "./members.js";
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
            await this.change(membership => promote(membership, learner));
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
            this.leader.ready && member.wantsVote && !member.voter && this.leader.isCaughtUp(member.id)
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

/** One step: the earlier voter of the host goes, and only then its new one comes. */
function promote(membership: Membership, learner: Member): Membership {
    const earlier = membership.members.find(member => member.voter && member.host === learner.host);
    return earlier === undefined
        ? withMember(membership, create(MemberSchema, { ...learner, voter: true }))
        : withoutMember(membership, earlier.id);
}
