/** What a control host answers to an agent's report. */
import { create } from "@bufbuild/protobuf";
import { type Replica } from "@winchpath/consensus";
import { type Declarations } from "@winchpath/declarations";
import { type ReportAnswer, ResourceRevisionSchema } from "@winchpath/upstream";

export function reportAnswer(replica: Replica, declarations: Declarations): ReportAnswer {
    return knownRevision => {
        const members = replica.state.membership?.members ?? [];
        return {
            revision: BigInt(declarations.revision),
            term: replica.state.term,
            resources: newerThan(declarations, knownRevision),
            member: replica.state.memberId,
            voters: members.filter(member => member.voter).length,
            voter: replica.state.isVoter,
            members: members.map(member => member.url),
        };
    };
}

/** Names that changed after a revision; all where that is too long ago to be remembered. */
function newerThan(declarations: Declarations, revision: number) {
    const events = declarations.eventsSince(revision)
        ?? declarations.list().map(({ name, version }) => ({ name, revision: version }));
    return events.map(event => create(ResourceRevisionSchema, { name: event.name, revision: BigInt(event.revision) }));
}
