/** The RPCs by which other replicas reach this one. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type ConsensusService } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { toConnectError } from "./peers.js";
import { type Replica } from "./replicas.js";

const readTimeoutMs = 2000;

/** `current` gives the replica of the moment: one whose disk has failed is opened anew. */
export function consensusService(current: () => Replica): ServiceImpl<typeof ConsensusService> {
    return {
        vote: req => answer(current().follower.vote(req)),
        append: req => answer(current().follower.append(req)),
        probe: () => {
            const { state } = current();
            return {
                memberId: state.memberId,
                group: state.group,
                leaderUrl: state.leaderUrl,
                term: state.term,
                host: state.identity.host,
                hasDisk: state.store.durable,
                appliedIndex: state.appliedIndex,
                knownUrls: state.membership?.members.map(({ url }) => url) ?? [],
            };
        },
        join: async req => {
            const replica = current();
            await answer(replica.join(req.member!));
            return { group: replica.state.group };
        },
        propose: req => answer(current().proposeHere(req.command)),
        readIndex: async () => {
            const replica = current();
            const index = await answer(replica.readIndex(readTimeoutMs));
            return { index, term: replica.state.term };
        },
        elect: req => {
            current().elect(req.term);
            return {};
        },
    };
}

async function answer<T>(work: Promise<T>): Promise<T> {
    try {
        return await work;
    }
    catch (err) {
        throw toConnectError(err);
    }
}
