/** Queries and updates of a membership. */
import { clone, create } from "@bufbuild/protobuf";
import { type Member, type Membership, MembershipSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";

export function votersOf(membership: Membership | undefined): Member[] {
    return membership?.members.filter(member => member.voter) ?? [];
}

export function quorumSize(voters: number): number {
    return Math.floor(voters / 2) + 1;
}

export function findMember(membership: Membership | undefined, id: string): Member | undefined {
    return membership?.members.find(member => member.id === id);
}

/** Whether a learner is to become a voter. */
export function hasWaitingLearner(membership: Membership | undefined): boolean {
    return membership?.members.some(member => !member.voter && member.wantsVote) ?? false;
}

/** A copy of the membership with `member` added, replacing any member with the same id. */
export function withMember(membership: Membership, member: Member): Membership {
    const next = clone(MembershipSchema, membership);
    next.members = [...next.members.filter(other => other.id !== member.id), member];
    return next;
}

export function withoutMember(membership: Membership, id: string): Membership {
    const members = membership.members.filter(member => member.id !== id);
    return create(MembershipSchema, { group: membership.group, members });
}
