/** RPC clients for the other replicas. */
import { type Client, Code, ConnectError } from "@connectrpc/connect";
import { Failure, FailureCode, messageOf } from "@winchpath/core";
import { isNoResponseError, type RpcClients } from "@winchpath/rpc";
import {
    type AppendRequest,
    type AppendResponse,
    ConsensusService,
    type Member,
    type ProbeResponse,
    type VoteRequest,
    type VoteResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** The replica that sends a probe. */
export interface ProbeSender {
    readonly memberId: string;
    readonly url: string;
}

/** Calls to one other replica; each rejects with a `Failure` on errors and timeouts. */
export interface Peer {
    vote(req: VoteRequest, timeoutMs: number): Promise<VoteResponse>;
    append(req: AppendRequest, timeoutMs: number): Promise<AppendResponse>;
    /** `sender` identifies the calling replica, if it has a durable log. */
    probe(timeoutMs: number, sender?: ProbeSender): Promise<ProbeResponse>;
    join(member: Member, timeoutMs: number): Promise<void>;
    /** Resolves to whether the member is no voter any more. */
    handOverVote(memberId: string, timeoutMs: number): Promise<boolean>;
    propose(command: Uint8Array, timeoutMs: number): Promise<{ index: bigint; result: Uint8Array; }>;
    readIndex(timeoutMs: number): Promise<{ index: bigint; term: bigint; }>;
    elect(term: bigint, timeoutMs: number): Promise<void>;
}

/** Creates peers by URL; tests replace it to simulate network partitions. */
export interface PeerConnector {
    connect(url: string): Peer;
}

/** Connects to peers by Connect RPC. */
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
        return this.convertErrors(this.client.vote(req, { timeoutMs }));
    }

    public append(req: AppendRequest, timeoutMs: number): Promise<AppendResponse> {
        return this.convertErrors(this.client.append(req, { timeoutMs }));
    }

    public probe(timeoutMs: number, sender?: ProbeSender): Promise<ProbeResponse> {
        return this.convertErrors(this.client.probe({ ...sender }, { timeoutMs }));
    }

    public async join(member: Member, timeoutMs: number): Promise<void> {
        await this.convertErrors(this.client.join({ member }, { timeoutMs }));
    }

    public async handOverVote(memberId: string, timeoutMs: number): Promise<boolean> {
        return (await this.convertErrors(this.client.handOverVote({ memberId }, { timeoutMs }))).handedOver;
    }

    public propose(command: Uint8Array, timeoutMs: number): Promise<{ index: bigint; result: Uint8Array; }> {
        return this.convertErrors(this.client.propose({ command }, { timeoutMs }));
    }

    public readIndex(timeoutMs: number): Promise<{ index: bigint; term: bigint; }> {
        return this.convertErrors(this.client.readIndex({}, { timeoutMs }));
    }

    public async elect(term: bigint, timeoutMs: number): Promise<void> {
        await this.convertErrors(this.client.elect({ term }, { timeoutMs }));
    }

    /** Converts RPC errors to failures; {@link toConnectError} uses `FailedPrecondition` if nothing was proposed. */
    private async convertErrors<T>(call: Promise<T>): Promise<T> {
        try {
            return await call;
        }
        catch (err) {
            if (isNoResponseError(err)) {
                this.clients.disconnect(this.url);
            }
            const code = err instanceof ConnectError && err.code === Code.FailedPrecondition
                ? FailureCode.noLeader
                : FailureCode.outcomeUnknown;
            throw Failure.of(code, messageOf(err));
        }
    }
}

/** Converts a failure to an RPC error. */
export function toConnectError(err: unknown): ConnectError {
    const notProposed = err instanceof Failure
        && (err.code === FailureCode.noLeader || err.code === FailureCode.overloaded);
    return new ConnectError(messageOf(err), notProposed ? Code.FailedPrecondition : Code.Unknown);
}
