/** Agents and upstreams in memory, with connections that tests cut. */
import { create } from "@bufbuild/protobuf";
import { Metrics, silentLog } from "@winchpath/core";
import { QuarantineState } from "@winchpath/quarantine";
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
    type UpstreamAnswer,
    type UpstreamRequest,
} from "@winchpath/upstream";
import {
    type AgentClient,
    type AgentConnector,
    type AttemptId,
    Claims,
    type Job,
    NotSentError,
    RequestHandler,
    RequestQuarantine,
} from "../index.js";

/** What goes wrong, in the order of the runs; nothing more where a list has ended. */
export interface Faults {
    /** Connections are cut after so many chunks; -1 before the request is sent. */
    readonly cuts: number[];
    /** Upstream answers break off after so many pieces. */
    readonly breaks: number[];
    /** The agent restarts at the next fence, and has forgotten everything. */
    readonly restarts: boolean[];
    /** Each run gives another answer. */
    readonly varied?: boolean;
}

export const whole = Array.from({ length: 12 }, (_, index) => `data: piece ${index} of the answer\n\n`);
export const wholeText = `${whole.join("")}data: [DONE]\n\n`;

/** Body of a request that ends each upstream that runs it, after a piece of its answer. */
export const deadly = "deadly";

class FakeUpstream implements Upstream {
    public readonly runs = new Map<string, number>();
    /** Whether its process has ended; it is back before the next run. */
    private ended = false;

    public constructor(private readonly faults: Faults) {}

    public async readState() {
        return undefined;
    }

    public async order() {
        return "taken" as const;
    }

    public async send(req: UpstreamRequest): Promise<UpstreamAnswer> {
        const id = String(Buffer.from(req.body));
        this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        this.ended = id === deadly;
        const pieces = this.faults.breaks.shift() ?? Number.POSITIVE_INFINITY;
        const headers = { "content-type": "text/event-stream" };
        if (this.ended) {
            return { status: 200, headers, body: bodyOf(1, ""), discard: async () => undefined };
        }
        const mark = this.faults.varied ? `run ${this.runs.get(id)}: ` : "";
        return { status: 200, headers, body: bodyOf(pieces, mark), discard: async () => undefined };
    }

    public async hasEnded() {
        return this.ended;
    }

    public async close() {}
}

async function* bodyOf(pieces: number, mark: string): AsyncGenerator<Uint8Array> {
    for (const [index, piece] of [...whole, "data: [DONE]\n\n"].entries()) {
        await new Promise(resolve => setImmediate(resolve));
        if (index >= pieces) {
            // Every second break looks like an end.
            if (pieces % 2 === 0) {
                return;
            }
            throw new Error("the upstream broke off");
        }
        yield Buffer.from(mark + piece);
    }
}

export class FakeAgents implements AgentConnector {
    public readonly timeline = new Timeline({ process: "entry/test", host: "test", dataCentre: "d" });
    public readonly registrar = new Registrar(this.timeline);
    public readonly upstream: FakeUpstream;
    private readonly runners = new Map<string, { incarnation: number; runner: Runner; }>();
    private sequence = 0n;
    /** Date.now() of each report that entries have seen. */
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
        let left = this.faults.cuts.shift() ?? Number.POSITIVE_INFINITY;
        if (left < 0) {
            throw new NotSentError("refused");
        }
        for await (const chunk of this.runners.get(name)!.runner.run(req)) {
            left -= 1;
            if (left < 0 || signal.aborted) {
                throw new Error("the connection was cut");
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
        this.registrar.take(
            create(ReportRequestSchema, { upstream: name, incarnation: `${name}-${incarnation}`, sequence: 1n }),
        );
    }

    private incarnationOf(name: string): string {
        return `${name}-${this.runners.get(name)!.incarnation}`;
    }
}

/** A quarantine of one process, whose log is its memory. */
export function quarantineFor(book = new QuarantineState()): RequestQuarantine {
    return new RequestQuarantine({
        book: () => book,
        propose: async command => book.apply(command, { time: Date.now() }),
        log: silentLog,
        metrics: new Metrics(),
    });
}

/** A handler before these agents; several of them share one log of claims, and one quarantine. */
export function handlerFor(agents: FakeAgents, claims = new Claims(), quarantine = quarantineFor()): RequestHandler {
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
        retryShare: 1,
        claimWindowMs: 86_400_000,
        joinPatienceMs: 5,
    });
}

export function jobFor(agents: FakeAgents, changes: Partial<Job>): Job {
    return {
        requestId: "r",
        resource: "m",
        demandOf: "m",
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
        endsWithMark: () => true,
        bodyFor: () => Buffer.from("r"),
        replicas: () => agents.replicas(),
        unplaceable: () => undefined,
        revision: () => 1,
        ...changes,
    };
}

/** What the caller has in the end: the text, and the failure where there was one. */
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
