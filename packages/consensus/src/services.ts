/** RPC service for requests from other replicas. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type ConsensusService } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { toConnectError } from "./peers.js";
import { type Replica } from "./replicas.js";

const readTimeoutMs = 2000;

/** `current` returns the running replica, which changes when it is reopened after a storage failure. */
export function consensusService(current: () => Replica): ServiceImpl<typeof ConsensusService> {
    return {
        vote: req => convertErrors(current().follower.vote(req)),
        append: req => convertErrors(current().follower.append(req)),
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
            await convertErrors(replica.join(req.member!));
            return { group: replica.state.group };
        },
        handOverVote: async req => ({ handedOver: await convertErrors(current().handOverVoteOf(req.memberId)) }),
        propose: req => convertErrors(current().proposeAsLeader(req.command)),
        readIndex: async () => {
            const replica = current();
            const index = await convertErrors(replica.readIndex(readTimeoutMs));
            return { index, term: replica.state.term };
        },
        elect: req => {
            current().campaign(req.term);
            return {};
        },
    };
}

async function convertErrors<T>(work: Promise<T>): Promise<T> {
    try {
        return await work;
    }
    catch (err) {
        throw toConnectError(err);
    }
}
