/** RPC client for the agents that run beside upstreams. */
import { messageOf } from "@winchpath/core";
import { isRefusal, type RpcClients } from "@winchpath/rpc";
import { AgentService, FenceOutcome, type RunChunk, type RunRequest } from "@winchpath/upstream";

/** Client for a single agent. */
export interface AgentClient {
    /** Streams the response of one attempt; throws if the connection is lost. */
    run(req: RunRequest, signal: AbortSignal): AsyncIterable<RunChunk>;
    fence(attempt: AttemptId, timeoutMs: number): Promise<FenceOutcome>;
    cancel(attempt: AttemptId, timeoutMs: number): Promise<void>;
}

/** Identifies an attempt at one incarnation of an agent. */
export interface AttemptId {
    readonly requestId: string;
    readonly attempt: number;
    readonly incarnation: string;
    /** Sequence number of the report on which the upstream was selected. */
    readonly seenReport: bigint;
}

/** Creates clients by agent URL; tests inject faults here. */
export interface AgentConnector {
    connect(url: string): AgentClient;
}

export class RpcAgentConnector implements AgentConnector {
    public constructor(private readonly clients: RpcClients) {}

    public connect(url: string): AgentClient {
        const client = this.clients.client(AgentService, url);
        return {
            run: (req, signal) => mapConnectionErrors(client.run(req, { signal })),
            fence: async (attempt, timeoutMs) => (await client.fence(attempt, { timeoutMs })).outcome,
            cancel: async ({ requestId, attempt }, timeoutMs) => {
                await client.cancel({ requestId, attempt }, { timeoutMs });
            },
        };
    }
}

/** The connection to the agent could not be established, so the request was not sent. */
export class NotSentError extends Error {}

async function* mapConnectionErrors(chunks: AsyncIterable<RunChunk>): AsyncGenerator<RunChunk> {
    try {
        yield* chunks;
    }
    catch (err) {
        // Only a refused connection proves that nothing was sent; a connection lost later may have carried the request.
        throw isRefusal(err) ? new NotSentError(messageOf(err)) : err;
    }
}

/** Fences an attempt at its agent and returns the outcome, or undefined if the agent does not respond in time. */
export async function fenceAttempt(
    agent: AgentClient,
    attempt: AttemptId,
    timeoutMs: number,
): Promise<FenceOutcome | undefined> {
    try {
        return await agent.fence(attempt, timeoutMs);
    }
    catch {
        return undefined;
    }
}

/** Whether the attempt has not run and never will. */
export function neverRan(outcome: FenceOutcome | undefined): boolean {
    return outcome === FenceOutcome.NEVER;
}

/** Whether the agent has, or will have, the response. */
export function hasResponse(outcome: FenceOutcome | undefined): boolean {
    return outcome === FenceOutcome.RUNNING || outcome === FenceOutcome.FINISHED;
}
