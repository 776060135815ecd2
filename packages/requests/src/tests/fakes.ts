/** In-memory agents and upstreams with fault injection. */
import { create } from "@bufbuild/protobuf";
import { Metrics, ResponseFraming, silentLog } from "@winchpath/core";
import { QuarantineState } from "@winchpath/quarantine";
import { RetryBudget } from "@winchpath/retries";
import { type RoutedReplica, Router } from "@winchpath/routing";
import { Timeline } from "@winchpath/timeline";
import {
    FenceOutcome,
    Registrar,
    ReportRequestSchema,
    type RunChunk,
    Runner,
    type RunRequest,
    type Upstream,
    type UpstreamRequest,
    type UpstreamResponse,
} from "@winchpath/upstream";
import {
    type AgentClient,
    type AgentConnector,
    type AttemptId,
    IdempotencyClaims,
    type Job,
    NotSentError,
    RequestHandler,
    RequestQuarantine,
} from "../index.js";

/** Faults to inject, one per run; no further faults once a list is exhausted. */
export interface Faults {
    /** Number of chunks after which the connection is lost; -1 for before the request is sent. */
    readonly disconnects: number[];
    /** Number of pieces after which the upstream's response ends early. */
    readonly truncations: number[];
    /** Whether the agent restarts without its state at the next fence call. */
    readonly restarts: boolean[];
    /** Whether the response has no framing and its connection is reset after the last byte. */
    readonly resets?: boolean[];
    /** Every run returns a different response. */
    readonly varied?: boolean;
}

export const responsePieces = Array.from({ length: 12 }, (_, index) => `data: piece ${index} of the answer\n\n`);
export const responseText = `${responsePieces.join("")}data: [DONE]\n\n`;

/** Body of a request that crashes every upstream that runs it, after one piece of the response. */
export const crashingBody = "deadly";

class FakeUpstream implements Upstream {
    public readonly runs = new Map<string, number>();
    /** Whether its process has crashed; it is restarted before the next run. */
    private crashed = false;

    public constructor(private readonly faults: Faults) {}

    public async readState() {
        return undefined;
    }

    public async order() {
        return "taken" as const;
    }

    public async send(req: UpstreamRequest): Promise<UpstreamResponse> {
        const id = String(Buffer.from(req.body));
        this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        this.crashed = id === crashingBody;
        const pieces = this.faults.truncations.shift() ?? Number.POSITIVE_INFINITY;
        const isReset = this.faults.resets?.shift() === true;
        const rest = {
            status: 200,
            headers: { "content-type": "text/event-stream" },
            framing: isReset ? ResponseFraming.close : ResponseFraming.chunked,
            wasReset: () => isReset,
            discard: async () => undefined,
        };
        if (this.crashed) {
            return { ...rest, body: bodyOf(1, "") };
        }
        const prefix = this.faults.varied ? `: run ${this.runs.get(id)}\n` : "";
        return { ...rest, body: bodyOf(pieces, prefix) };
    }

    public async hasEnded() {
        return this.crashed;
    }

    public async close() {}
}

async function* bodyOf(pieces: number, prefix: string): AsyncGenerator<Uint8Array> {
    for (const [index, piece] of [...responsePieces, "data: [DONE]\n\n"].entries()) {
        await new Promise(resolve => setImmediate(resolve));
        if (index >= pieces) {
            // Even counts end the stream normally, odd ones with an error.
            if (pieces % 2 === 0) {
                return;
            }
            throw new Error("upstream closed the connection");
        }
        yield Buffer.from(prefix + piece);
    }
}

export class FakeAgents implements AgentConnector {
    public readonly timeline = new Timeline({ process: "entry/test", host: "test", dataCentre: "d" });
    public readonly registrar = new Registrar(this.timeline);
    public readonly upstream: FakeUpstream;
    private readonly runners = new Map<string, { incarnation: number; runner: Runner; }>();
    private sequence = 0n;
    /** Date.now() of each report, by sequence number. */
    private readonly reportedAt = new Map<bigint, number>();

    public constructor(private readonly faults: Faults, private readonly names: readonly string[]) {
        this.upstream = new FakeUpstream(faults);
        names.forEach(name => this.restart(name));
    }

    public replicas(): RoutedReplica[] {
        this.sequence += 1n;
        this.reportedAt.set(this.sequence, Date.now());
        return this.names.map(upstream => ({
            upstream,
            url: upstream,
            incarnation: this.incarnationOf(upstream),
            dataCentre: "d",
            item: "m@1",
            capacity: 8,
            reportedLoad: 0,
            reportedAt: 0,
            sequence: this.sequence,
        }));
    }

    public connect(name: string): AgentClient {
        return {
            run: (req, signal) => this.run(name, req, signal),
            fence: (attempt: AttemptId) => this.fence(name, attempt),
            cancel: async ({ requestId, attempt }) => this.runners.get(name)!.runner.cancel(requestId, attempt),
        };
    }

    private async *run(name: string, req: RunRequest, signal: AbortSignal): AsyncGenerator<RunChunk> {
        let remaining = this.faults.disconnects.shift() ?? Number.POSITIVE_INFINITY;
        if (remaining < 0) {
            throw new NotSentError("refused");
        }
        for await (const chunk of this.runners.get(name)!.runner.run(req)) {
            remaining -= 1;
            if (remaining < 0 || signal.aborted) {
                throw new Error("connection lost");
            }
            yield chunk;
        }
    }

    private async fence(
        name: string,
        { requestId, attempt, incarnation, seenReport }: AttemptId,
    ): Promise<FenceOutcome> {
        if (this.faults.restarts.shift() === true) {
            this.restart(name);
        }
        const age = Date.now() - (this.reportedAt.get(seenReport) ?? 0);
        const known = this.incarnationOf(name) === incarnation;
        return known ? this.runners.get(name)!.runner.table.fence(requestId, attempt, age) : FenceOutcome.FORGOTTEN;
    }

    private restart(name: string): void {
        const incarnation = (this.runners.get(name)?.incarnation ?? 0) + 1;
        this.runners.set(name, { incarnation, runner: new Runner(this.upstream, () => undefined, this.timeline) });
        this.registrar.receive(
            create(ReportRequestSchema, { upstream: name, incarnation: `${name}-${incarnation}`, sequence: 1n }),
        );
    }

    private incarnationOf(name: string): string {
        return `${name}-${this.runners.get(name)!.incarnation}`;
    }
}

/** A quarantine whose commands are applied directly to `book`. */
export function createQuarantine(book = new QuarantineState()): RequestQuarantine {
    return new RequestQuarantine({
        book: () => book,
        propose: async command => book.apply(command, { time: Date.now() }),
        log: silentLog,
        metrics: new Metrics(),
    });
}

/** A budget with enough retries for a test, as if the leader had leased them to this entry alone. */
export function createRetryBudget(): RetryBudget {
    const budget = new RetryBudget(() => ({ ratio: 1, slack: 100, windowMs: 10_000 }));
    budget.applyGrant(100, Number.POSITIVE_INFINITY);
    return budget;
}

/** A request handler for these agents; handlers may share claims and a quarantine. */
export function createHandler(
    agents: FakeAgents,
    claims = new IdempotencyClaims(),
    quarantine = createQuarantine(),
    retryBudget = createRetryBudget(),
): RequestHandler {
    return new RequestHandler({
        entry: "entry",
        quarantine,
        agents,
        router: new Router(),
        registrar: agents.registrar,
        log: { propose: async command => claims.apply(command, { time: Date.now() }) },
        timeline: agents.timeline,
        metrics: new Metrics(),
        queueLimit: 10,
        retryBudget,
        claimWindowMs: 86_400_000,
        joinTimeoutMs: 5,
    });
}

export function createJob(agents: FakeAgents, changes: Partial<Job>): Job {
    return {
        requestId: "r",
        resource: "m",
        demandName: "m",
        method: "POST",
        path: "/v1/chat/completions",
        headers: [],
        repeatable: true,
        idempotencyKey: undefined,
        fingerprint: "f",
        caller: "caller",
        priority: 5,
        prefix: undefined,
        deadline: Date.now() + 5000,
        startBy: Date.now() + 5000,
        signal: new AbortController().signal,
        requiresEndMarker: () => true,
        bodyFor: () => Buffer.from("r"),
        replicas: () => agents.replicas(),
        unplaceableReason: () => undefined,
        revision: () => 1,
        ...changes,
    };
}

/** Runs the job and returns the text that the client received, and the failure if any. */
export async function ask(handler: RequestHandler, job: Job): Promise<{ text: string; failure: unknown; }> {
    let text = "";
    try {
        for await (const event of handler.handle(job)) {
            text += event.tag === "body" ? String(Buffer.from(event.bytes)) : "";
        }
        return { text, failure: undefined };
    }
    catch (failure) {
        return { text, failure };
    }
}
