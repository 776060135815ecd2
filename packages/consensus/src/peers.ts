/** How a replica reaches the others. */
import { type Client, Code, ConnectError } from "@connectrpc/connect";
import { Failure, FailureCode, messageOf } from "@winchpath/core";
import { isSilence, type RpcClients } from "@winchpath/rpc";
import {
    type AppendRequest,
    type AppendResponse,
    ConsensusService,
    type Member,
    type ProbeResponse,
    type VoteRequest,
    type VoteResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** A replica that looks for its group. */
export interface ProbeAsker {
    readonly memberId: string;
    readonly url: string;
}

/** Calls to one other replica. Each fails with a `Failure` when time runs out. */
export interface Peer {
    vote(req: VoteRequest, timeoutMs: number): Promise<VoteResponse>;
    append(req: AppendRequest, timeoutMs: number): Promise<AppendResponse>;
    /** `asker`: who asks, where it holds a log of its own. */
    probe(timeoutMs: number, asker?: ProbeAsker): Promise<ProbeResponse>;
    join(member: Member, timeoutMs: number): Promise<void>;
    propose(command: Uint8Array, timeoutMs: number): Promise<{ index: bigint; result: Uint8Array; }>;
    readIndex(timeoutMs: number): Promise<{ index: bigint; term: bigint; }>;
    elect(term: bigint, timeoutMs: number): Promise<void>;
}

/** Finds a replica by its URL; tests put cuts and delays here. */
export interface PeerConnector {
    connect(url: string): Peer;
}

/** Peers over Connect. */
export class RpcPeerConnector implements PeerConnector {
    public constructor(private readonly clients: RpcClients) {}

    public connect(url: string): Peer {
        return new RpcPeer(this.clients, url);
    }
}

class RpcPeer implements Peer {
    private readonly client: Client<typeof ConsensusService>;

    public constructor(private readonly clients: RpcClients, private readonly url: string) {
        this.client = clients.client(ConsensusService, url);
    }

    public vote(req: VoteRequest, timeoutMs: number): Promise<VoteResponse> {
        return this.typed(this.client.vote(req, { timeoutMs }));
    }

    public append(req: AppendRequest, timeoutMs: number): Promise<AppendResponse> {
        return this.typed(this.client.append(req, { timeoutMs }));
    }

    public probe(timeoutMs: number, asker?: ProbeAsker): Promise<ProbeResponse> {
        return this.typed(this.client.probe({ ...asker }, { timeoutMs }));
    }

    public async join(member: Member, timeoutMs: number): Promise<void> {
        await this.typed(this.client.join({ member }, { timeoutMs }));
    }

    public propose(command: Uint8Array, timeoutMs: number): Promise<{ index: bigint; result: Uint8Array; }> {
        return this.typed(this.client.propose({ command }, { timeoutMs }));
    }

    public readIndex(timeoutMs: number): Promise<{ index: bigint; term: bigint; }> {
        return this.typed(this.client.readIndex({}, { timeoutMs }));
    }

    public async elect(term: bigint, timeoutMs: number): Promise<void> {
        await this.typed(this.client.elect({ term }, { timeoutMs }));
    }

    /** `FailedPrecondition` is what {@link toConnectError} makes of "nothing was proposed". */
    private async typed<T>(call: Promise<T>): Promise<T> {
        try {
            return await call;
        }
        catch (err) {
            if (isSilence(err)) {
                this.clients.forget(this.url);
            }
            const code = err instanceof ConnectError && err.code === Code.FailedPrecondition
                ? FailureCode.noLeader
                : FailureCode.outcomeUnknown;
            throw Failure.of(code, messageOf(err));
        }
    }
}

/** The RPC error for a failure. */
export function toConnectError(err: unknown): ConnectError {
    const nothingDone = err instanceof Failure && err.code === FailureCode.noLeader;
    return new ConnectError(messageOf(err), nothingDone ? Code.FailedPrecondition : Code.Unknown);
}
