/** Sends attempts to upstreams, and records their load, timing and signals. */
import { type PermitDecision } from "@winchpath/availability";
import { eventLoop, type ResponseEndFacts, steadyNow } from "@winchpath/core";
import { type EngineSpec } from "@winchpath/declarations";
import { type SentRetry } from "@winchpath/retries";
import { type EjectionTracker } from "@winchpath/routing";
import { type ServerResponse } from "node:http";
import { type Refusal } from "./admissioncontrollers.js";
import { type AttemptOutcome, exceededBound, headTimeoutReason } from "./attemptoutcomes.js";
import { attempt } from "./attempts.js";
import { type EndpointTable } from "./endpointtables.js";
import { type ForwarderDependencies } from "./forwarders.js";
import { type ResponseMetadata } from "./headercodecs.js";
import { ageMs, closesConnection, type InboundRequest, isRepeatable, itemKeyOf } from "./inboundrequests.js";
import { isConnectionLost, type Quarantine } from "./quarantines.js";
import { type Reservation } from "./reservations.js";
import { type Responder } from "./responders.js";
import { type RetryPolicy } from "./retrypolicies.js";
import { type SharedAdmission } from "./sharedadmissions.js";
import { isOfVersion, type StreamVersions } from "./streamversions.js";
import { type ThroughputTable } from "./throughputs.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { type UpstreamSignals } from "./upstreamsignals.js";
import { headTimeoutMs } from "./waitpolicies.js";

export interface AttemptSenderDependencies extends ForwarderDependencies {
    readonly ejections: EjectionTracker;
    readonly endpoints: EndpointTable;
    readonly quarantine: Quarantine;
    readonly responder: Responder;
    readonly streamVersions: Pick<StreamVersions, "begin">;
    readonly retryPolicy: Pick<RetryPolicy, "recordSent">;
    readonly signals: UpstreamSignals;
    readonly throughput: ThroughputTable;
    readonly sharedAdmission: Pick<SharedAdmission, "admitted" | "loadReported">;
    /** Returns why the request must not be sent any more; checked once a connection is available. */
    readonly denial: (request: InboundRequest) => Refusal | undefined;
    /**
     * Called once an attempt has ended, so that waiting requests can use its capacity; not if it was postponed, since the
     * request goes first.
     */
    readonly onCapacityFreed: () => void;
}

/** Entries may learn this much later than the leader that an upstream drains, in milliseconds. */
const drainNoticeMs = 300;

/** An upstream that was selected for a request. */
export interface UpstreamAssignment {
    readonly kind: "upstream";
    readonly endpoint: UpstreamEndpoint;
    /** Whether the upstream had no rate limit when it was selected, or a permit was taken. */
    readonly permitDecision: PermitDecision;
    /** Released by the sender; by whoever doesn't send the request otherwise. */
    readonly reservation: Reservation;
}

export class AttemptSender {
    public constructor(private readonly deps: AttemptSenderDependencies) {}

    public async send(
        request: InboundRequest,
        { endpoint, permitDecision, reservation }: UpstreamAssignment,
        res: ServerResponse,
        attemptIndex: number,
    ): Promise<AttemptOutcome> {
        const { meter, codec, stopping } = this.deps;
        const key = itemKeyOf(request);
        const startedAt = steadyNow();
        let responseMetadata: ResponseMetadata | undefined;
        let responseEnd: ResponseEndFacts | undefined;
        let firstByteMs: number | undefined;
        let longestPauseMs = 0;
        let sentDelayMs = 0;
        let retry: SentRetry | undefined;
        let isPostponed = false;
        let isServed = false;
        const recordServed = () => {
            if (!isServed) {
                isServed = true;
                meter.served(key);
            }
        };
        const { tracked, prompt } = reservation;
        const output = this.deps.quarantine.trackOutput(request);
        meter.started(key);
        this.deps.ejections.sent(endpoint.id);
        request.attemptedUpstreams.push(endpoint.id);
        try {
            const outcome = await (this.deps.sendAttempt ?? attempt)(request, endpoint, {
                codec,
                res,
                urgency: this.engineOf(request.service) === undefined ? undefined : Math.min(9, request.priority),
                stripApiKeys: this.deps.view.configuration?.accounts !== undefined,
                closing: () => closesConnection(request, stopping()),
                isBehind: () => eventLoop.isBehind,
                maySend: () => {
                    sentDelayMs = eventLoop.delayMs;
                    const maySend = this.maySend(request, endpoint, permitDecision);
                    if (maySend) {
                        retry = this.deps.retryPolicy.recordSent(request);
                        this.deps.sharedAdmission.admitted(request);
                    }
                    return maySend;
                },
                headTimeoutMs: this.headTimeoutMs(request, tracked.tokensAhead),
                mayForwardEvents: () => {
                    const mayForward = this.deps.streamVersions.begin(request, endpoint);
                    if (mayForward) {
                        recordServed();
                    }
                    return mayForward;
                },
                onPause: ms => {
                    longestPauseMs = Math.max(longestPauseMs, ms);
                    prompt?.recordEventInterval(ms);
                    output.continued(ms);
                },
                onRead: this.deps.onRead,
                onResponseHead: metadata => {
                    responseMetadata = metadata;
                    if (metadata.load !== undefined) {
                        prompt?.updateReport(metadata.load);
                        this.deps.sharedAdmission.loadReported(endpoint);
                    }
                    this.deps.signals.handle(request, endpoint, metadata, startedAt);
                },
                hasUpstreamEnded: async () => this.mayEndInsideResponses(endpoint) && await endpoint.hasEnded(),
                onResponseEnd: facts => responseEnd = facts,
                onResponseStart: () => {
                    firstByteMs = Math.round(ageMs(request));
                    tracked.markPromptRead();
                    this.recordThroughput(request, tracked.tokensAhead, steadyNow() - startedAt);
                    prompt?.markStarted(steadyNow() - startedAt);
                    this.deps.metrics.histogram("first_byte", { route: request.route.name }).record(ageMs(request));
                },
            });
            isPostponed = outcome.kind === "postponed";
            if (outcome.kind === "answered" && outcome.status < 500) {
                recordServed();
            }
            if (firstByteMs === undefined && timedOutWithoutResponse(outcome)) {
                // The connection may be dead, and so may the idle ones of the same pool.
                endpoint.renewConnections();
            }
            if (exceededBound(outcome)) {
                this.deps.metrics.count("upstream_endless_responses_total", { service: request.service });
            }
            const ranMs = firstByteMs === undefined ? undefined : Math.round(ageMs(request)) - firstByteMs;
            this.deps.quarantine.recordOutcome(request, endpoint, outcome, { sentAt: startedAt, ranMs });
            this.deps.responder.logEvent(request, "attempt", {
                upstream: endpoint.id,
                try: attemptIndex + 1,
                load: Math.round(endpoint.load),
                viewAgeMs: Math.round(this.deps.view.ageMs),
                configuration: request.decidedByVersion,
                confirmedAgeMs: request.confirmedAgeMs,
                sentDelayMs: sentDelayMs === 0 ? undefined : sentDelayMs,
                retryBasis: retry?.basis,
                retryWaitedMs: retry?.waitedMs,
                outcome: outcome.kind,
                reason: "reason" in outcome ? outcome.reason : undefined,
                firstMs: firstByteMs,
                longestPauseMs: longestPauseMs === 0 ? undefined : Math.round(longestPauseMs),
                framing: responseEnd?.framing,
                connection: responseEnd?.connection === "intact" ? undefined : responseEnd?.connection,
                unfinishedBytes: responseEnd?.stream?.unfinishedBytes || undefined,
                ...prompt?.logFields,
                // Identifies the request in crash reports.
                fingerprint: isConnectionLost(outcome) ? this.deps.quarantine.fingerprint(request) : undefined,
                suspectParts: isConnectionLost(outcome) ? this.deps.quarantine.suspectParts(request) : undefined,
                ranMs: isConnectionLost(outcome) ? ranMs : undefined,
                leaving: responseMetadata?.leaving || undefined,
                restMs: responseMetadata?.restMs,
                limitPerSecond: responseMetadata?.limitPerSecond,
                tookMs: Math.round(steadyNow() - startedAt),
            });
            return outcome;
        }
        finally {
            reservation.release();
            meter.ended(key);
            if (!isPostponed) {
                this.deps.onCapacityFreed();
            }
        }
    }

    /**
     * Whether the end of the upstream's process may cut responses. One that drains finishes them before it ends, but goes on
     * serving for a while first: until then, only a crash ends it.
     */
    private mayEndInsideResponses({ id, description }: UpstreamEndpoint): boolean {
        const drainingMs = this.deps.view.availability.drainingMs(id);
        const lastsMs = (this.deps.minDrainMs ?? 0) - drainNoticeMs;
        return description.shortNotice || drainingMs === undefined || drainingMs < lastsMs;
    }

    /** Checks again once a connection is available: the upstream may have set a rate limit while the request waited. */
    private maySend(request: InboundRequest, endpoint: UpstreamEndpoint, permitDecision: PermitDecision): boolean {
        return this.deps.endpoints.isReady(endpoint) && isOfVersion(request, endpoint)
            && this.deps.denial(request) === undefined
            && (permitDecision === "permitted"
                || this.deps.view.availability.rates.acquirePermit(endpoint.id) !== "refused");
    }

    /** Undefined if the request must not be repeated, or has no attempts left. */
    private headTimeoutMs(request: InboundRequest, tokensAhead: number): number | undefined {
        if (!isRepeatable(request) || request.attemptedUpstreams.length >= request.route.maxAttempts) {
            return undefined;
        }
        return headTimeoutMs(
            request,
            this.deps.throughput.durationMs(request.service, request.metadata.model, tokensAhead),
        );
    }

    private recordThroughput(request: InboundRequest, tokens: number, ms: number): void {
        const { model } = request.metadata;
        this.deps.throughput.addSample(request.service, model, tokens, ms);
        const tokensPerSecond = this.deps.throughput.tokensPerSecond(request.service, model);
        if (tokensPerSecond !== undefined && this.engineOf(request.service) !== undefined) {
            this.deps.meter.recordThroughput(request.service, model, tokensPerSecond);
        }
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.deps.view.configuration?.services.find(({ name }) => name === service)?.engine;
    }
}

function timedOutWithoutResponse(outcome: AttemptOutcome): boolean {
    return outcome.kind === "late" || (outcome.kind === "unknown" && outcome.reason === headTimeoutReason);
}
