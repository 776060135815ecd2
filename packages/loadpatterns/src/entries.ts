/** An entry of a simulated fleet: the product's view, demand meter and forwarder, with tries at simulated engines. */
import { AccountLimiter, Authenticator } from "@winchpath/accounts";
import { Metrics, silentLog } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { DemandMeter, FeedFollower, FleetView } from "@winchpath/fleet";
import {
    AdmissionController,
    type AttemptOptions,
    type AttemptOutcome,
    Forwarder,
    type HeaderCodec,
    type InboundRequest,
    remainingMs,
    requiredCacheTokens,
    type ResponseMetadata,
    unsharedPromptTokens,
    type UpstreamEndpoint,
} from "@winchpath/forwarding";
import { type PeerClients } from "@winchpath/rpc";
import { type ServerResponse } from "node:http";
import { type Draws } from "./draws.js";
import { type EngineEnd, type SimulatedEngine } from "./engines.js";
import { leaderUrl } from "./leaders.js";

const lookMs = 1000;
/** The users' bound on repeats: this share of a service's requests, and so many more in a window. */
const retryBudget = { ratio: 0.2, slack: 60, windowMs: 10_000 };
/** Nothing is written or read as text here. */
const noCodec = {} as HeaderCodec;

/** How a request ended for its caller. */
export interface CallerEnd {
    readonly status: number;
    /** Time of the first event; undefined where none came. */
    readonly firstAt: number | undefined;
    /** When to come back; undefined where the answer doesn't say. */
    readonly retryAfterMs: number | undefined;
}

export class SimulatedEntry {
    private readonly view: FleetView<Configuration>;
    private readonly follower: FeedFollower<Configuration>;
    private readonly meter: DemandMeter;
    private readonly forwarder: Forwarder;
    private readonly ended = new AbortController();

    public constructor(
        public readonly name: string,
        dataCentre: string,
        private readonly clients: PeerClients,
        private readonly engines: ReadonlyMap<string, SimulatedEngine>,
        draws: Draws,
    ) {
        this.view = new FleetView(text => JSON.parse(text) as Configuration, silentLog);
        const { rates } = this.view.availability;
        this.meter = new DemandMeter(silentLog, this.view.availability);
        rates.setCallbacks(() => this.meter.reportSoon(this.view.entries), () => this.view.changed.notify());
        const options = { entry: name, dataCentre, seeds: () => [leaderUrl] };
        this.follower = new FeedFollower(this.view, clients, options, silentLog);
        this.forwarder = new Forwarder({
            view: this.view,
            codec: noCodec,
            meter: this.meter,
            log: silentLog,
            metrics: new Metrics(),
            dataCentre,
            retryBudget: retryBudget,
            admissions: new AdmissionController(
                new Authenticator(this.view, { strict: false, withinMs: 0 }),
                new AccountLimiter({ windowMs: 0, overage: 0, slack: 0 }, () => undefined),
            ),
            // Simulated bodies are all alike: there is nothing to tell requests by.
            crashReporter: { lost: () => undefined, succeeded: () => undefined },
            stopping: () => false,
            sendAttempt: (job, link, parts) => this.send(job, link, parts),
            random: () => draws.share(),
        });
    }

    public start(): void {
        const { signal } = this.ended;
        void this.follower.run(signal);
        void this.meter.run(this.name, this.clients, () => this.follower.currentLeader, signal);
        void this.followView();
    }

    public end(): void {
        this.ended.abort();
    }

    /** Serves one request to its end. */
    public async serve(job: InboundRequest): Promise<CallerEnd> {
        const res = new SimulatedResponse();
        await this.forwarder.serve(job, res as unknown as ServerResponse);
        return res.outcome();
    }

    private async followView(): Promise<void> {
        while (!this.ended.signal.aborted) {
            await this.view.changed.wait(lookMs);
            this.forwarder.refresh();
        }
    }

    private async send(job: InboundRequest, link: UpstreamEndpoint, parts: AttemptOptions): Promise<AttemptOutcome> {
        const cut = AbortSignal.any([job.abortSignal, timeoutSignal(remainingMs(job))]);
        const work = {
            model: job.metadata.model,
            adapter: job.metadata.adapter,
            priority: job.priority,
            promptTokens: job.metadata.promptTokens,
            outputTokens: requiredCacheTokens(job) - unsharedPromptTokens(job),
        };
        const engine = this.engines.get(link.id)!;
        if (!parts.maySend()) {
            return { kind: "not-run", reason: "unsent", misdirected: false, unreachable: false };
        }
        const end = await engine.run(work, cut, () => {
            parts.onResponseHead(headOf(job, engine, true));
            parts.onResponseStart();
            job.responseStarted = true;
            (parts.res as unknown as SimulatedResponse).first();
        });
        if (end === "full" || end === "lacking") {
            parts.onResponseHead(headOf(job, engine, false));
        }
        return outcomeOf(end, job);
    }
}

/** What the head of an engine's answer says. */
function headOf({ id }: InboundRequest, { limitPerSecond }: SimulatedEngine, sealed: boolean): ResponseMetadata {
    return {
        id,
        sealed,
        limitPerSecond,
        notExecuted: !sealed,
        misdirected: false,
        load: undefined,
        leaving: false,
        restMs: undefined,
        unknownHeaders: [],
    };
}

function outcomeOf(end: EngineEnd, job: InboundRequest): AttemptOutcome {
    switch (end) {
        case "done":
            return { kind: "answered", status: 200 };
        case "failed":
            return { kind: "unknown", reason: "reset", lost: true };
        case "full":
            return { kind: "not-run", reason: "full", misdirected: false, unreachable: false };
        case "lacking":
            return { kind: "not-run", reason: "lacking", misdirected: true, unreachable: false };
        case "dropped":
            return job.abortSignal.aborted ? { kind: "caller-gone" } : { kind: "late" };
    }
}

function timeoutSignal(ms: number): AbortSignal {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), ms);
    return controller.signal;
}

/** What the forwarder writes a final answer to. */
class SimulatedResponse {
    private status = 200;
    private firstAt: number | undefined;
    private retryAfterMs: number | undefined;

    public first(): void {
        this.firstAt ??= Date.now();
    }

    public writeHead(status: number, headers: readonly string[]): void {
        this.status = status;
        const index = headers.indexOf("Retry-After");
        this.retryAfterMs = index === -1 ? undefined : Number(headers[index + 1]) * 1000;
    }

    public end(): void {
        // The body says what the status says.
    }

    public destroy(): void {
        this.status = 0;
    }

    public outcome(): CallerEnd {
        return { status: this.status, firstAt: this.firstAt, retryAfterMs: this.retryAfterMs };
    }
}
