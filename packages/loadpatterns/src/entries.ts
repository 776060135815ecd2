/** An entry process of a simulated fleet: the production view, demand meter and forwarder, connected to simulated engines. */
import { AccountLimiter, Authenticator } from "@winchpath/accounts";
import { Metrics, silentLog } from "@winchpath/core";
import { type Configuration, type Feature } from "@winchpath/declarations";
import { DemandMeter, FeedFollower, FleetView } from "@winchpath/fleet";
import {
    AdmissionController,
    type AttemptOptions,
    type AttemptOutcome,
    type CrashReports,
    Forwarder,
    type HeaderCodec,
    type InboundRequest,
    remainingMs,
    requiredCacheTokens,
    type ResponseMetadata,
    unsharedPromptTokens,
    type UpstreamEndpoint,
} from "@winchpath/forwarding";
import { RetryBudgetTable } from "@winchpath/retries";
import { type PeerClients } from "@winchpath/rpc";
import { type ServerResponse } from "node:http";
import { type EngineResult, type SimulatedEngine } from "./engines.js";
import { leaderUrl, retryBound } from "./leaders.js";
import { type Mechanism } from "./mechanisms.js";
import { type SeededRandom } from "./seededrandoms.js";

const viewRefreshMs = 1000;
/** Requests are passed as objects, so the forwarder never encodes or decodes them. */
const unusedCodec = {} as HeaderCodec;

/** Ignores crashes. */
const silentCrashReports: CrashReports = {
    lost: () => undefined,
    succeeded: () => undefined,
    lossCount: () => 0,
    hasLosses: false,
    hasLossOfSize: () => false,
    hasRepeatedLoss: () => false,
    hasReported: () => true,
    tryRetry: () => "granted",
    startTrial: async () => "granted",
    endTrial: () => undefined,
};

export interface SimulatedEntryOptions {
    /** Whether capacity is contended; engines report their load then. */
    readonly isCapacityContended: boolean;
    readonly mechanisms: Readonly<Record<Mechanism, boolean>>;
}

/** The response that a caller received. */
export interface CallerResult {
    readonly status: number;
    /** Time of the first event, or undefined if there was none. */
    readonly firstEventAt: number | undefined;
    /** Longest time between two events in milliseconds; 0 if there were fewer than two. */
    readonly longestGapMs: number;
    /** Delay from the `Retry-After` header, or undefined if it is absent. */
    readonly retryAfterMs: number | undefined;
}

export class SimulatedEntry {
    private readonly view: FleetView<Configuration>;
    private readonly follower: FeedFollower<Configuration>;
    private readonly meter: DemandMeter;
    private readonly forwarder: Forwarder;
    private readonly stopController = new AbortController();

    public constructor(
        public readonly name: string,
        dataCentre: string,
        private readonly clients: PeerClients,
        private readonly engines: ReadonlyMap<string, SimulatedEngine>,
        random: SeededRandom,
        options: SimulatedEntryOptions,
    ) {
        this.view = new FleetView(text => JSON.parse(text) as Configuration, silentLog);
        const { rates } = this.view.availability;
        this.meter = new DemandMeter(silentLog, this.view.availability);
        rates.setCallbacks(() => this.meter.reportSoon(this.view.entries), () => this.view.changed.notify());
        const followed = { entry: name, dataCentre, seeds: () => [leaderUrl] };
        this.follower = new FeedFollower(this.view, clients, followed, silentLog);
        const retryBudgets = new RetryBudgetTable({
            bound: () => retryBound,
            services: () => this.view.configuration?.services.map(({ name }) => name) ?? [],
            requestReport: () => this.meter.reportSoon(this.view.entries),
            log: silentLog,
            metrics: new Metrics(),
        });
        this.meter.includeRetries(retryBudgets);
        this.forwarder = new Forwarder({
            view: this.view,
            codec: unusedCodec,
            meter: this.meter,
            log: silentLog,
            metrics: new Metrics(),
            dataCentre,
            retryBudgets,
            admissions: new AdmissionController(
                new Authenticator(this.view, { strict: false, withinMs: 0 }),
                new AccountLimiter({ windowMs: 0, overage: 0, slack: 0 }, () => undefined),
            ),
            // All simulated requests have the same empty body, so crashes can't be attributed to one of them.
            crashReporter: silentCrashReports,
            stopping: () => false,
            sendAttempt: (job, link, parts) => this.sendAttempt(job, link, parts),
            random: () => random.uniform(),
            isCapacityContended: options.isCapacityContended,
        });
        this.disable(options.mechanisms);
    }

    public start(): void {
        const { signal } = this.stopController;
        void this.follower.run(signal);
        void this.meter.run(this.name, this.clients, () => this.follower.currentLeader, signal);
        void this.refreshOnViewChange();
    }

    public stop(): void {
        this.stopController.abort();
    }

    /** Forwards a request and waits for the end of its response. */
    public async serve(job: InboundRequest): Promise<CallerResult> {
        const res = new SimulatedResponse();
        await this.forwarder.serve(job, res as unknown as ServerResponse);
        return res.result();
    }

    private disable(mechanisms: Readonly<Record<Mechanism, boolean>>): void {
        const { features } = this.forwarder;
        const has = features.has.bind(features);
        const isDisabled = (feature: Feature) =>
            (feature === "load-waiting" || feature === "shared-admission") && !mechanisms[feature];
        features.has = feature => !isDisabled(feature) && has(feature);
        if (!mechanisms["leader-level"]) {
            this.view.admission.apply = () => undefined;
        }
    }

    private async refreshOnViewChange(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await this.view.changed.wait(viewRefreshMs);
            this.forwarder.refresh();
        }
    }

    private async sendAttempt(
        job: InboundRequest,
        link: UpstreamEndpoint,
        parts: AttemptOptions,
    ): Promise<AttemptOutcome> {
        const cancelSignal = AbortSignal.any([job.abortSignal, timeoutSignal(remainingMs(job))]);
        const request = {
            model: job.metadata.model,
            adapter: job.metadata.adapter,
            priority: job.priority,
            promptTokens: job.metadata.promptTokens,
            outputTokens: requiredCacheTokens(job) - unsharedPromptTokens(job),
            promptParts: job.metadata.promptParts,
        };
        const engine = this.engines.get(link.id)!;
        if (!parts.maySend()) {
            return { kind: "not-run", reason: "unsent", misdirected: false, unreachable: false, responded: false };
        }
        let eventAt: number | undefined;
        const result = await engine.run(request, cancelSignal, () => {
            if (eventAt === undefined) {
                this.startResponse(job, link, engine, parts);
            }
            else {
                parts.onPause(Date.now() - eventAt);
            }
            eventAt = Date.now();
            (parts.res as unknown as SimulatedResponse).recordEvent();
        });
        if (result === "full" || result === "lacking") {
            this.handleHead(link, parts, answerHead(job, engine, false));
        }
        return attemptOutcome(result, job);
    }

    private startResponse(
        job: InboundRequest,
        link: UpstreamEndpoint,
        engine: SimulatedEngine,
        parts: AttemptOptions,
    ): void {
        this.handleHead(link, parts, answerHead(job, engine, true));
        parts.onResponseStart();
        job.responseStarted = true;
    }

    private handleHead(link: UpstreamEndpoint, parts: AttemptOptions, head: ResponseMetadata): void {
        if (head.load !== undefined) {
            link.updateReportedLoad(head.load);
        }
        parts.onResponseHead(head);
    }
}

/** Builds the response head that an engine would send. */
function answerHead(
    { id }: InboundRequest,
    { limitPerSecond, reportedLoad }: SimulatedEngine,
    sealed: boolean,
): ResponseMetadata {
    return {
        id,
        sealed,
        limitPerSecond,
        notExecuted: !sealed,
        misdirected: false,
        failed: false,
        load: reportedLoad,
        leaving: false,
        restMs: undefined,
        unknownHeaders: [],
    };
}

function attemptOutcome(result: EngineResult, job: InboundRequest): AttemptOutcome {
    switch (result) {
        case "done":
            return { kind: "answered", status: 200 };
        case "failed":
            return { kind: "unknown", reason: "reset", lost: true };
        case "full":
            return { kind: "not-run", reason: "full", misdirected: false, unreachable: false, responded: true };
        case "lacking":
            return { kind: "not-run", reason: "lacking", misdirected: true, unreachable: false, responded: true };
        case "dropped":
            return job.abortSignal.aborted ? { kind: "caller-gone", sent: true } : { kind: "late" };
    }
}

function timeoutSignal(ms: number): AbortSignal {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), ms);
    return controller.signal;
}

/** Implements the parts of `ServerResponse` that the forwarder uses. */
class SimulatedResponse {
    private status = 200;
    private firstEventAt: number | undefined;
    private lastEventAt: number | undefined;
    private longestGapMs = 0;
    private retryAfterMs: number | undefined;

    public recordEvent(): void {
        const now = Date.now();
        this.firstEventAt ??= now;
        this.longestGapMs = Math.max(this.longestGapMs, now - (this.lastEventAt ?? now));
        this.lastEventAt = now;
    }

    public writeHead(status: number, headers: readonly string[]): void {
        this.status = status;
        const index = headers.indexOf("Retry-After");
        this.retryAfterMs = index === -1 ? undefined : Number(headers[index + 1]) * 1000;
    }

    public end(): void {
        // The outcome depends on the status only.
    }

    public destroy(): void {
        this.status = 0;
    }

    public result(): CallerResult {
        const { status, firstEventAt, longestGapMs, retryAfterMs } = this;
        return { status, firstEventAt, longestGapMs, retryAfterMs };
    }
}
