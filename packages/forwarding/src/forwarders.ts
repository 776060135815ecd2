/** Forwards requests to upstreams: selection, waiting, attempts, retries and the final response. */
import { type PermitDecision } from "@winchpath/availability";
import { type EventLog, eventLoop, Metrics, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec } from "@winchpath/declarations";
import { type CrashReporter, type DemandMeter, type FleetView, type ItemKey } from "@winchpath/fleet";
import { EjectionTracker } from "@winchpath/routing";
import { type ServerResponse } from "node:http";
import { type AdmissionController, type Refusal } from "./admissioncontrollers.js";
import { attempt, type AttemptOutcome, headTimeoutReason } from "./attempts.js";
import { EndpointTable } from "./endpointtables.js";
import { type HeaderCodec, type ResponseMetadata } from "./headercodecs.js";
import {
    ageMs,
    type InboundRequest,
    isRepeatable,
    promptEquivalentTokens,
    requiredCacheTokens,
    unsharedPromptTokens,
} from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { OutcomeRecorder } from "./outcomerecorders.js";
import { isConnectionLost, Quarantine } from "./quarantines.js";
import { Responder } from "./responders.js";
import { type RetryBudgetOptions } from "./retrybudgets.js";
import { RetryPolicy } from "./retrypolicies.js";
import { ThroughputTable } from "./throughputs.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { type Selection, UpstreamSelector } from "./upstreamselectors.js";
import { UpstreamSignals } from "./upstreamsignals.js";
import { busyRetryMs, headTimeoutMs, type Unavailable, WaitPolicy } from "./waitpolicies.js";
import { WaitQueue } from "./waitqueues.js";

/** Interval at which a waiting request checks whether to keep waiting, in milliseconds. */
const recheckIntervalMs = 100;
/** Retry-After while shutting down, in milliseconds; the client should use another entry. */
const stoppingRetryMs = 50;

export interface ForwarderDependencies {
    readonly view: FleetView<Configuration>;
    readonly codec: HeaderCodec;
    readonly meter: DemandMeter;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly dataCentre: string;
    readonly retryBudget: RetryBudgetOptions;
    readonly admissions: AdmissionController;
    readonly crashReporter: Pick<CrashReporter, "lost" | "succeeded">;
    /** Whether the process is shutting down, so that responses close client connections. */
    readonly stopping: () => boolean;
    /** Sends one attempt; replaceable for simulations. */
    readonly sendAttempt?: typeof attempt;
    /** Random numbers from 0 to 1 for breaking ties; defaults to Math.random. */
    readonly random?: () => number;
}

type Assignment =
    | {
        readonly kind: "upstream";
        readonly endpoint: UpstreamEndpoint;
        /** Whether the upstream had no rate limit when it was selected, or a permit was taken. */
        readonly permitDecision: PermitDecision;
    }
    | Refusal;

/** Whether the request is attempted again. */
type NextStep = "again" | "done";

export class Forwarder {
    private readonly ejections = new EjectionTracker();
    private readonly outcomeRecorder: OutcomeRecorder;
    private readonly quarantine: Quarantine;
    private readonly signals: UpstreamSignals;
    private readonly endpoints: EndpointTable;
    private readonly upstreamSelector: UpstreamSelector;
    private readonly throughput = new ThroughputTable();
    private readonly waitPolicy: WaitPolicy;
    private readonly waitQueue = new WaitQueue<Assignment>();
    private readonly retryPolicy: RetryPolicy;
    private readonly responder: Responder;

    public constructor(private readonly deps: ForwarderDependencies) {
        this.outcomeRecorder = new OutcomeRecorder(this.ejections, deps.meter, deps.log);
        this.quarantine = new Quarantine(deps.view, deps.crashReporter);
        const { availability } = deps.view;
        this.signals = new UpstreamSignals({ ...deps, availability });
        this.endpoints = new EndpointTable(deps.view);
        this.retryPolicy = new RetryPolicy(deps.view, deps.retryBudget, deps.metrics);
        this.responder = new Responder({ ...deps, waiting: () => this.waitQueue.size });
        const random = deps.random ?? Math.random;
        this.waitPolicy = new WaitPolicy(deps.view, this.endpoints, random);
        this.upstreamSelector = new UpstreamSelector(
            this.ejections,
            availability,
            deps.dataCentre,
            this.throughput,
            random,
        );
    }

    /** Applies the current fleet view and lets waiting requests try again. */
    public refresh(): void {
        this.endpoints.refresh();
        this.waitQueue.retryAll();
    }

    public close(): void {
        this.endpoints.close();
    }

    /** Forwards one request; resolves once the final response was sent or the client has disconnected. */
    public async serve(request: InboundRequest, res: ServerResponse): Promise<void> {
        const refusal = this.quarantine.refusal(request);
        if (refusal !== undefined) {
            // Checked first, so that a quarantined request neither counts as demand nor earns a retry.
            this.refuse(request, res, refusal);
            this.refundIfNotRun(request);
            return;
        }
        this.retryPolicy.recordRequest(request);
        const key = itemKeyOf(request);
        this.deps.meter.arrived(key, promptEquivalentTokens(request));
        for (let attemptIndex = 0;; attemptIndex++) {
            if (attemptIndex > 0) {
                await eventLoop.departuresRead();
            }
            const assignment = await this.assign(request);
            if (eventLoop.isBehind) {
                await eventLoop.departuresRead();
            }
            if (request.abortSignal.aborted) {
                this.recordClientGone(request, attemptIndex === 0 ? "queue" : "between-attempts");
                this.refundIfNotRun(request);
                return;
            }
            if (assignment.kind === "refused") {
                this.refuse(request, res, assignment);
                this.refundIfNotRun(request);
                return;
            }
            const outcome = await this.sendAttempt(request, assignment, res, key, attemptIndex);
            if (this.handleOutcome(request, assignment.endpoint, outcome, res) === "done") {
                this.refundIfNotRun(request);
                return;
            }
        }
    }

    /** Records a client that left before its request was sent (again). */
    private recordClientGone(request: InboundRequest, stage: "queue" | "between-attempts"): void {
        this.deps.metrics.count("callers_gone_total", { stage });
        this.responder.logEvent(request, "caller-gone", { stage });
    }

    /** Refunds the account if no upstream may have executed the request. */
    private refundIfNotRun(request: InboundRequest): void {
        if (request.attemptedUpstreams.length === 0) {
            request.charge.refund();
        }
    }

    /** Selects an upstream, waiting for one as long as that is useful. */
    private async assign(request: InboundRequest): Promise<Assignment> {
        const key = itemKeyOf(request);
        let waitReported = false;
        try {
            for (;;) {
                const denied = this.denial(request);
                if (denied !== undefined) {
                    return denied;
                }
                const result = this.tryAssign(request);
                if (result.kind === "upstream") {
                    return result;
                }
                if (this.deps.stopping()) {
                    // Another entry can let the request wait longer.
                    return { kind: "refused", response: LocalResponse.stopping, retryAfterMs: stoppingRetryMs };
                }
                if (result.kind === "lacking" && !waitReported) {
                    waitReported = true;
                    this.deps.meter.waitStarted(key);
                }
                const waitMs = this.waitPolicy.waitMs(request, result);
                if (waitMs <= 0 || request.abortSignal.aborted) {
                    return this.waitPolicy.refusal(request, result);
                }
                const assigned = await this.waitForUpstream(request, Math.min(waitMs, recheckIntervalMs));
                if (assigned !== undefined) {
                    return assigned;
                }
            }
        }
        finally {
            if (waitReported) {
                this.deps.meter.waitEnded(key);
            }
        }
    }

    private waitForUpstream(request: InboundRequest, ms: number): Promise<Assignment | undefined> {
        return this.waitQueue.wait(request.priority, ms, request.abortSignal, () => {
            const result = this.tryAssign(request);
            return result.kind === "upstream" ? result : undefined;
        });
    }

    /**
     * Selects an upstream to send the request to. After a backoff, the upstream receives no other request until it
     * has responded.
     */
    private tryAssign(request: InboundRequest): Extract<Assignment, { readonly kind: "upstream"; }> | Unavailable {
        const selection = this.selectUpstream(request);
        if (selection.kind !== "upstream") {
            return selection;
        }
        const { availability } = this.deps.view;
        availability.sent(selection.endpoint.id);
        return { ...selection, permitDecision: availability.rates.acquirePermit(selection.endpoint.id) };
    }

    private selectUpstream(request: InboundRequest): Selection {
        return this.upstreamSelector.select(
            request,
            this.endpoints.ready(request.service),
            this.engineOf(request.service),
        );
    }

    private refuse(request: InboundRequest, res: ServerResponse, refusal: Refusal): void {
        if (refusal.response === LocalResponse.lacking) {
            this.deps.meter.refused(itemKeyOf(request));
        }
        if (request.attemptedUpstreams.length > 0 && refusal.response !== LocalResponse.barred) {
            // An upstream may have executed the request, so a "not executed" response would be wrong.
            this.responder.respond(request, res, LocalResponse.failed);
            return;
        }
        this.responder.respond(request, res, refusal.response, refusal.retryAfterMs, refusal.details);
    }

    /** Returns why the request must not be sent any more; checked before every attempt. */
    private denial(request: InboundRequest): Refusal | undefined {
        return this.deps.admissions.denial(request.grant) ?? this.quarantine.refusal(request);
    }

    private async sendAttempt(
        request: InboundRequest,
        { endpoint, permitDecision }: Extract<Assignment, { readonly kind: "upstream"; }>,
        res: ServerResponse,
        key: ItemKey,
        attemptIndex: number,
    ): Promise<AttemptOutcome> {
        const { meter, codec, stopping } = this.deps;
        const startedAt = steadyNow();
        let responseMetadata: ResponseMetadata | undefined;
        let firstByteMs: number | undefined;
        let longestPauseMs = 0;
        let sentDelayMs = 0;
        const tracked = endpoint.track(request.priority, unsharedPromptTokens(request), requiredCacheTokens(request));
        meter.started(key);
        this.ejections.sent(endpoint.id);
        request.attemptedUpstreams.push(endpoint.id);
        try {
            const outcome = await (this.deps.sendAttempt ?? attempt)(request, endpoint, {
                codec,
                res,
                urgency: this.engineOf(request.service) === undefined ? undefined : Math.min(9, request.priority),
                stripApiKeys: this.deps.view.configuration?.accounts !== undefined,
                closing: stopping,
                isBehind: () => eventLoop.isBehind,
                maySend: () => {
                    sentDelayMs = eventLoop.delayMs;
                    return this.maySend(request, endpoint, permitDecision);
                },
                headTimeoutMs: this.headTimeoutMs(request, tracked.tokensAhead),
                onPause: ms => {
                    longestPauseMs = Math.max(longestPauseMs, ms);
                },
                onResponseHead: metadata => {
                    responseMetadata = metadata;
                    this.signals.handle(request, endpoint, metadata, startedAt);
                },
                onResponseStart: () => {
                    firstByteMs = Math.round(ageMs(request));
                    tracked.markPromptRead();
                    this.recordThroughput(request, tracked.tokensAhead, steadyNow() - startedAt);
                    this.deps.metrics.histogram("first_byte", { route: request.route.name }).record(ageMs(request));
                },
            });
            if (firstByteMs === undefined && timedOutWithoutResponse(outcome)) {
                // The connection may be dead, and so may the idle ones of the same pool.
                endpoint.renewConnections();
            }
            const ranMs = firstByteMs === undefined ? undefined : Math.round(ageMs(request)) - firstByteMs;
            this.quarantine.recordOutcome(request, endpoint, outcome, { sentAt: startedAt, ranMs });
            this.responder.logEvent(request, "attempt", {
                upstream: endpoint.id,
                try: attemptIndex + 1,
                load: Math.round(endpoint.load),
                viewAgeMs: Math.round(this.deps.view.ageMs),
                sentDelayMs: sentDelayMs === 0 ? undefined : sentDelayMs,
                outcome: outcome.kind,
                reason: "reason" in outcome ? outcome.reason : undefined,
                firstMs: firstByteMs,
                longestPauseMs: longestPauseMs === 0 ? undefined : Math.round(longestPauseMs),
                // Identifies the request in crash reports.
                fingerprint: isConnectionLost(outcome) ? this.quarantine.fingerprint(request) : undefined,
                ranMs: isConnectionLost(outcome) ? ranMs : undefined,
                leaving: responseMetadata?.leaving || undefined,
                restMs: responseMetadata?.restMs,
                limitPerSecond: responseMetadata?.limitPerSecond,
                tookMs: Math.round(steadyNow() - startedAt),
            });
            return outcome;
        }
        finally {
            tracked.finish();
            meter.ended(key);
            this.waitQueue.retryAll();
        }
    }

    /** Checks again once a connection is available: the upstream may have set a rate limit while the request waited. */
    private maySend(request: InboundRequest, endpoint: UpstreamEndpoint, permitDecision: PermitDecision): boolean {
        return this.endpoints.isReady(endpoint) && this.denial(request) === undefined
            && (permitDecision === "permitted"
                || this.deps.view.availability.rates.acquirePermit(endpoint.id) !== "refused");
    }

    /** Undefined if the request must not be repeated, or has no attempts left. */
    private headTimeoutMs(request: InboundRequest, tokensAhead: number): number | undefined {
        if (!isRepeatable(request) || request.attemptedUpstreams.length >= request.route.maxAttempts) {
            return undefined;
        }
        return headTimeoutMs(request, this.throughput.durationMs(request.service, request.metadata.model, tokensAhead));
    }

    private recordThroughput(request: InboundRequest, tokens: number, ms: number): void {
        const { model } = request.metadata;
        this.throughput.addSample(request.service, model, tokens, ms);
        const tokensPerSecond = this.throughput.tokensPerSecond(request.service, model);
        if (tokensPerSecond !== undefined && this.engineOf(request.service) !== undefined) {
            this.deps.meter.recordThroughput(request.service, model, tokensPerSecond);
        }
    }

    private handleOutcome(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        outcome: AttemptOutcome,
        res: ServerResponse,
    ): NextStep {
        this.outcomeRecorder.record(request, endpoint.id, outcome);
        switch (outcome.kind) {
            case "answered":
                this.responder.recordMetrics(request, "answered");
                return "done";
            case "caller-gone":
                this.responder.recordMetrics(request, "caller-gone");
                this.deps.metrics.count("callers_gone_total", { stage: outcome.sent ? "sent" : "connection" });
                return "done";
            case "late":
                this.responder.respond(request, res, LocalResponse.late);
                return "done";
            case "postponed":
                request.attemptedUpstreams.splice(request.attemptedUpstreams.lastIndexOf(endpoint.id), 1);
                return "again";
            case "not-run":
                request.attemptedUpstreams.splice(request.attemptedUpstreams.lastIndexOf(endpoint.id), 1);
                request.declinedUpstreams.add(endpoint.id);
                return this.handleDeclined(request, res);
            case "failure":
                if (
                    isRepeatable(request) && outcome.response.status >= 500
                    && this.retryPolicy.acquireAfterFailure(request)
                ) {
                    return "again";
                }
                this.responder.forward(request, res, outcome.response);
                return "done";
            case "unknown":
            case "broken":
                return this.handleFailed(request, res, outcome.kind === "broken");
        }
    }

    private handleDeclined(request: InboundRequest, res: ServerResponse): NextStep {
        const denied = this.denial(request);
        if (denied !== undefined) {
            this.refuse(request, res, denied);
            return "done";
        }
        const next = this.selectUpstream(request);
        if ((next.kind === "resting" || next.kind === "limited") && this.waitPolicy.waitMs(request, next) <= 0) {
            // Refused before a retry is taken from the budget.
            this.refuse(request, res, this.waitPolicy.refusal(request, next));
            return "done";
        }
        if (this.retryPolicy.acquireAfterDecline(request)) {
            return "again";
        }
        this.refuse(request, res, { kind: "refused", response: LocalResponse.declined, retryAfterMs: busyRetryMs });
        return "done";
    }

    private handleFailed(request: InboundRequest, res: ServerResponse, broken: boolean): NextStep {
        const resumable = !broken || (request.route.resumable && request.lastEventId !== undefined);
        if (
            isRepeatable(request) && resumable && this.quarantine.isRetryAllowed(request)
            && this.retryPolicy.acquireAfterFailure(request)
        ) {
            return "again";
        }
        this.responder.respond(request, res, LocalResponse.failed);
        return "done";
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.deps.view.configuration?.services.find(({ name }) => name === service)?.engine;
    }
}

function timedOutWithoutResponse(outcome: AttemptOutcome): boolean {
    return outcome.kind === "late" || (outcome.kind === "unknown" && outcome.reason === headTimeoutReason);
}

function itemKeyOf(request: InboundRequest): ItemKey {
    return { service: request.service, model: request.metadata.model, adapter: request.metadata.adapter };
}
