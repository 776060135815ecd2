/** How an entry reaches agents. */
import { messageOf } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { AgentService, FenceOutcome, type RunChunk, type RunRequest } from "@winchpath/upstream";

/** Calls to one agent. */
export interface AgentClient {
    /** The chunks of one attempt; throws when the connection is lost. */
    run(req: RunRequest, signal: AbortSignal): AsyncIterable<RunChunk>;
    fence(attempt: AttemptId, timeoutMs: number): Promise<FenceOutcome>;
    cancel(attempt: AttemptId, timeoutMs: number): Promise<void>;
}

/** Names one attempt at one incarnation of an agent. */
export interface AttemptId {
    readonly requestId: string;
    readonly attempt: number;
    readonly incarnation: string;
    /** The report that its upstream was chosen by. */
    readonly seenReport: bigint;
}

/** Finds an agent by its URL; tests put faults here. */
export interface AgentConnector {
    connect(url: string): AgentClient;
}

export class RpcAgentConnector implements AgentConnector {
    public constructor(private readonly clients: RpcClients) {}

    public connect(url: string): AgentClient {
        const client = this.clients.client(AgentService, url);
        return {
            run: (req, signal) => typedRun(client.run(req, { signal })),
            fence: async (attempt, timeoutMs) => (await client.fence(attempt, { timeoutMs })).outcome,
            cancel: async ({ requestId, attempt }, timeoutMs) => {
                await client.cancel({ requestId, attempt }, { timeoutMs });
            },
        };
    }
}

/** The agent could not be connected to: the request was not sent. */
export class NotSentError extends Error {}

async function* typedRun(chunks: AsyncIterable<RunChunk>): AsyncGenerator<RunChunk> {
    try {
        yield* chunks;
    }
    catch (err) {
        throw wasNeverConnected(err) ? new NotSentError(messageOf(err)) : err;
    }
}

/** A refused connection; one that was lost later may have carried the request. */
function wasNeverConnected(err: unknown): boolean {
    const cause = err instanceof Error ? err.cause as { code?: string; } | undefined : undefined;
    return cause?.code === "ECONNREFUSED";
}

/** Settles with the agent what became of an attempt; undefined where it does not answer in time. */
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

/** Whether the attempt can't have run and never will. */
export function neverRan(outcome: FenceOutcome | undefined): boolean {
    return outcome === FenceOutcome.NEVER;
}

/** Whether the agent has the answer, or will have it. */
export function hasAnswer(outcome: FenceOutcome | undefined): boolean {
    return outcome === FenceOutcome.RUNNING || outcome === FenceOutcome.FINISHED;
}
