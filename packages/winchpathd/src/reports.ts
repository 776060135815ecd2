/** Responses of control hosts to agents' reports. */
import { create } from "@bufbuild/protobuf";
import { type Replica } from "@winchpath/consensus";
import { type Declarations } from "@winchpath/declarations";
import { type ReportResponder, ResourceRevisionSchema } from "@winchpath/upstream";

export function createReportAnswer(replica: Replica, declarations: Declarations): ReportResponder {
    return knownRevision => {
        const members = replica.state.membership?.members ?? [];
        return {
            revision: BigInt(declarations.revision),
            term: replica.state.term,
            resources: changedSince(declarations, knownRevision),
            member: replica.state.memberId,
            voters: members.filter(member => member.voter).length,
            voter: replica.state.isVoter,
            members: members.map(member => member.url),
        };
    };
}

/** Resources changed after a revision, or all resources if the change history no longer reaches back that far. */
function changedSince(declarations: Declarations, revision: number) {
    const events = declarations.eventsSince(revision)
        ?? declarations.list().map(({ name, version }) => ({ name, revision: version }));
    return events.map(event => create(ResourceRevisionSchema, { name: event.name, revision: BigInt(event.revision) }));
}
