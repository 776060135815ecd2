/** The RPCs by which other replicas reach this one. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type ConsensusService } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { toConnectError } from "./peers.js";
import { type Replica } from "./replicas.js";

const readTimeoutMs = 2000;

export function consensusService(replica: Replica): ServiceImpl<typeof ConsensusService> {
    return {
        vote: req => answer(replica.follower.vote(req)),
        append: req => answer(replica.follower.append(req)),
        probe: () => ({
            memberId: replica.state.memberId,
            group: replica.state.group,
            leaderUrl: replica.state.leaderUrl,
            term: replica.state.term,
            host: replica.state.identity.host,
            hasDisk: replica.state.store.durable,
            appliedIndex: replica.state.appliedIndex,
        }),
        join: async req => {
            await answer(replica.join(req.member!));
            return { group: replica.state.group };
        },
        propose: req => answer(replica.proposeHere(req.command)),
        readIndex: async () => {
            const index = await answer(replica.readIndex(readTimeoutMs));
            return { index, term: replica.state.term };
        },
        elect: req => {
            replica.elect(req.term);
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
