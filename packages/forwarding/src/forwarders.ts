/** Forwards requests to upstreams: selection, waiting, attempts, retries and the final response. */
import { type AccountShares } from "@winchpath/accounts";
import { type EventFields, type EventLog, eventLoop, type Metrics } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { type DemandMeter, type FleetView } from "@winchpath/fleet";
import { type RetryBudgetTable } from "@winchpath/retries";
import { EjectionTracker } from "@winchpath/routing";
import { type StreamOrigins } from "@winchpath/streamorigins";
import { type ServerResponse } from "node:http";
import { ActiveFeatures } from "./activefeatures.js";
import { type AdmissionController, type Refusal } from "./admissioncontrollers.js";
import { type AttemptOutcome } from "./attemptoutcomes.js";
import { type attempt } from "./attempts.js";
import { AttemptSender } from "./attemptsenders.js";
import { EndpointTable } from "./endpointtables.js";
import { FairShares } from "./fairshares.js";
import { type HeaderCodec } from "./headercodecs.js";
import { type HostGuard, HostLoadWaitPolicy } from "./hostguards.js";
import { type InboundRequest, isRepeatable, itemKeyOf, promptEquivalentTokens } from "./inboundrequests.js";
import { LaxityOrder } from "./laxityorders.js";
import { LoadFacts } from "./loadfacts.js";
import { LoadWaitPolicy } from "./loadwaitpolicies.js";
import { leavesDemandUnserved, LocalResponse } from "./localresponses.js";
import { ModelCheck } from "./modelchecks.js";
import { OutcomeRecorder } from "./outcomerecorders.js";
import { type CrashReports, Quarantine } from "./quarantines.js";
import { Reservations } from "./reservations.js";
import { Responder } from "./responders.js";
import { declinedRefusal, RetryPolicy } from "./retrypolicies.js";
import { RoutingCheck } from "./routingchecks.js";
import { SelectionCosts } from "./selectioncosts.js";
import { SharedAdmission } from "./sharedadmissions.js";
import { ShutdownCheck } from "./shutdownchecks.js";
import { StreamInterference } from "./streaminterferences.js";
import { StreamVersions } from "./streamversions.js";
import { ThroughputTable } from "./throughputs.js";
import { type Assignment, UpstreamAssigner } from "./upstreamassigners.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { UpstreamPaces } from "./upstreampaces.js";
import { UpstreamSelector } from "./upstreamselectors.js";
import { UpstreamSignals } from "./upstreamsignals.js";
import { WaitPolicy } from "./waitpolicies.js";
import { ChainedOrder } from "./waitqueues.js";

export interface ForwarderDependencies {
    readonly view: FleetView<Configuration>;
    readonly codec: HeaderCodec;
    readonly meter: DemandMeter;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly dataCentre: string;
    readonly retryBudgets: Pick<RetryBudgetTable, "of" | "reportSoon">;
    readonly admissions: AdmissionController;
    /** Shares of client accounts; undefined if capacity is not shared between them. */
    readonly accountShares?: AccountShares;
    readonly crashReporter: CrashReports;
    /** Whether clients compete for capacity that is short at times; defaults to false. */
    readonly isCapacityContended?: boolean;
    /** Acts on the load of this host; without it no host counts as loaded. */
    readonly hostGuard?: HostGuard;
    /** Versions that began the streams of all entries; without it, streams that clients take up again go on anywhere. */
    readonly streamOrigins?: StreamOrigins;
    /** Whether the process is shutting down, so that responses close client connections. */
    readonly stopping: () => boolean;
    /** Time for which an upstream goes on serving after it has announced that it drains, in milliseconds; defaults to 0. */
    readonly minDrainMs?: number;
    /** Monotonic time at which connections to clients are closed, whatever is pending; undefined if no close is under way. */
    readonly closesAt?: () => number | undefined;
    /** Called with the length of each piece of a response's body that was read. */
    readonly onRead?: (bytes: number) => void;
    /** Sends one attempt; replaceable for simulations. */
    readonly sendAttempt?: typeof attempt;
    /** Random numbers from 0 to 1 for breaking ties; defaults to Math.random. */
    readonly random?: () => number;
}

/** Whether the request is attempted again. */
type NextStep = "again" | "done";

export class Forwarder {
    public readonly features: ActiveFeatures;
    private readonly loadFacts: LoadFacts;
    private readonly outcomeRecorder: OutcomeRecorder;
    private readonly quarantine: Quarantine;
    private readonly endpoints: EndpointTable;
    private readonly routing: RoutingCheck;
    private readonly models: ModelCheck;
    private readonly waitPolicy: HostLoadWaitPolicy;
    private readonly sharedAdmission: SharedAdmission;
    private readonly fairShares: FairShares;
    private readonly assigner: UpstreamAssigner;
    private readonly retryPolicy: RetryPolicy;
    private readonly responder: Responder;
    private readonly streamVersions: StreamVersions;
    private readonly attemptSender: AttemptSender;
    private readonly shutdownCheck: ShutdownCheck;

    public constructor(private readonly deps: ForwarderDependencies) {
        this.loadFacts = new LoadFacts(deps.isCapacityContended ?? false, deps.view.hosts);
        this.features = new ActiveFeatures(() => this.loadFacts, deps.log, deps.metrics);
        this.fairShares = new FairShares(deps.accountShares, this.features, deps.metrics);
        const ejections = new EjectionTracker();
        const throughput = new ThroughputTable();
        this.outcomeRecorder = new OutcomeRecorder(ejections, deps.meter, deps.log);
        this.quarantine = new Quarantine(deps.view, deps.crashReporter);
        const { availability } = deps.view;
        const paces = new UpstreamPaces({ ...deps, facts: this.loadFacts, features: this.features });
        this.endpoints = new EndpointTable(deps.view);
        this.retryPolicy = new RetryPolicy(deps);
        this.shutdownCheck = new ShutdownCheck(deps);
        this.responder = new Responder({ ...deps, waiting: () => this.waiting });
        this.streamVersions = new StreamVersions({ ...deps, responder: this.responder });
        const random = deps.random ?? Math.random;
        const loadWaits = new LoadWaitPolicy(this.features, throughput, () => deps.view.configuration);
        this.routing = new RoutingCheck(deps.view);
        this.models = new ModelCheck(deps.view);
        const waitPolicy = new WaitPolicy(deps.view, this.endpoints, random, loadWaits);
        this.waitPolicy = new HostLoadWaitPolicy(waitPolicy, deps.hostGuard);
        const interference = new StreamInterference(this.features, this.loadFacts, deps);
        const costs = new SelectionCosts(deps.dataCentre, throughput, interference, paces);
        this.sharedAdmission = new SharedAdmission({ ...deps, features: this.features, random });
        deps.meter.includeLevels(this.sharedAdmission.counter);
        this.assigner = new UpstreamAssigner({
            ...deps,
            endpoints: this.endpoints,
            selector: new UpstreamSelector(ejections, availability, costs, random, paces),
            waitPolicy: this.waitPolicy,
            sharedAdmission: this.sharedAdmission,
            fairShares: this.fairShares,
            reservations: new Reservations(interference),
            order: new ChainedOrder([this.fairShares, new LaxityOrder(loadWaits)]),
            denial: request => this.sendDenial(request),
        });
        this.attemptSender = new AttemptSender({
            ...deps,
            ejections,
            endpoints: this.endpoints,
            quarantine: this.quarantine,
            responder: this.responder,
            streamVersions: this.streamVersions,
            retryPolicy: this.retryPolicy,
            signals: new UpstreamSignals({ ...deps, availability, ejections, paces }),
            throughput,
            sharedAdmission: this.sharedAdmission,
            denial: request => this.sendDenial(request),
            onCapacityFreed: () => this.assigner.retryAll(),
        });
    }

    /** Applies the current fleet view and lets waiting requests try again. */
    public refresh(): void {
        this.features.refresh(this.deps.view.configuration);
        this.fairShares.refresh(this.deps.view.configuration);
        this.endpoints.refresh();
        this.quarantine.refresh();
        this.assigner.retryAll();
    }

    /** Number of requests that wait for an upstream. */
    public get waiting(): number {
        return this.assigner.waiting;
    }

    public close(): void {
        this.endpoints.close();
    }

    /**
     * Forwards one request; resolves once the final response was sent or the client has disconnected, or once the request
     * {@link InboundRequest.hasMoved}.
     */
    public async serve(request: InboundRequest, res: ServerResponse): Promise<void> {
        try {
            await this.serveWithRetries(request, res);
        }
        finally {
            this.retryPolicy.release(request);
        }
    }

    private async serveWithRetries(request: InboundRequest, res: ServerResponse): Promise<void> {
        const refusal = this.quarantine.refusal(request);
        if (refusal !== undefined) {
            // Checked first, so that a quarantined request neither counts as demand nor earns a retry.
            this.refuse(request, res, refusal);
            this.refundIfNotRun(request);
            return;
        }
        if (this.loadFacts.recordPrompt(request.service, request.metadata.promptTokens)) {
            this.features.refresh(this.deps.view.configuration);
        }
        if (!this.retryPolicy.admit(request)) {
            this.refuse(request, res, declinedRefusal);
            return;
        }
        this.deps.meter.arrived(itemKeyOf(request), promptEquivalentTokens(request));
        this.sharedAdmission.arrived(request);
        let isPostponed = false;
        for (let attemptIndex = 0;; attemptIndex++) {
            if (attemptIndex > 0 && !isPostponed) {
                await eventLoop.departuresRead();
            }
            const assigning = this.assign(request);
            if (isPostponed && this.assigner.isWaiting(request)) {
                this.assigner.retryAll();
            }
            const assignment = await assigning;
            if (isPostponed || eventLoop.isBehind) {
                await eventLoop.departuresRead();
            }
            const sending = request.abortSignal.aborted || assignment.kind === "refused"
                ? undefined
                : this.attemptSender.send(request, assignment, res, attemptIndex);
            if (isPostponed) {
                // Its capacity is offered to others once the request has taken what it needs.
                this.assigner.retryAll();
            }
            if (sending === undefined || assignment.kind === "refused") {
                this.endWithoutAttempt(request, res, assignment, attemptIndex);
                return;
            }
            const outcome = await sending;
            isPostponed = outcome.kind === "postponed";
            if (this.handleOutcome(request, assignment.endpoint, outcome, res) === "done") {
                this.refundIfNotRun(request);
                return;
            }
        }
    }

    private endWithoutAttempt(
        request: InboundRequest,
        res: ServerResponse,
        assignment: Assignment,
        attemptIndex: number,
    ): void {
        if (assignment.kind === "upstream") {
            assignment.reservation.release();
            this.fairShares.returned(request);
            this.assigner.retryAll();
        }
        this.quarantine.endTrial(request);
        if (request.abortSignal.aborted) {
            this.deps.meter.unserved(itemKeyOf(request), "caller-gone");
            this.responder.recordClientGone(request, attemptIndex === 0 ? "queue" : "between-attempts");
        }
        else if (assignment.kind === "refused") {
            this.refuse(request, res, assignment);
        }
        this.refundIfNotRun(request);
    }

    /**
     * Selects an upstream, unless the request needs the version that began its stream, or a decision about crashes under
     * it, and is refused then.
     */
    private async assign(request: InboundRequest): Promise<Assignment> {
        const unbound = this.streamVersions.needsOrigin(request) ? await this.streamVersions.bind(request) : undefined;
        if (unbound !== undefined) {
            return unbound;
        }
        const refusal = this.quarantine.needsAdmission(request) ? await this.quarantine.admit(request) : undefined;
        return refusal ?? this.assigner.assign(request);
    }

    /** Refunds the account if no upstream may have executed the request. */
    private refundIfNotRun(request: InboundRequest): void {
        if (request.attemptedUpstreams.length === 0) {
            request.charge.refund();
        }
    }

    private refuse(request: InboundRequest, res: ServerResponse, refusal: Refusal): void {
        if (refusal.response === LocalResponse.lacking) {
            this.deps.meter.refused(itemKeyOf(request));
        }
        if (refusal.response === LocalResponse.routeMoved) {
            request.hasMoved = true;
            return;
        }
        if (request.attemptedUpstreams.length > 0 && refusal.response !== LocalResponse.barred) {
            // An upstream may have executed the request, so a "not executed" response would be wrong.
            this.respond(request, res, LocalResponse.failed);
            return;
        }
        const { response, retryAfterMs, details } = this.sharedAdmission.withReturn(request, refusal);
        this.respond(request, res, response, retryAfterMs, details);
    }

    private respond(
        request: InboundRequest,
        res: ServerResponse,
        response: LocalResponse,
        retryAfterMs?: number,
        details?: EventFields,
    ): void {
        if (leavesDemandUnserved(response)) {
            this.deps.meter.unserved(itemKeyOf(request), response.reason);
        }
        this.responder.respond(request, res, response, retryAfterMs, details);
    }

    /** Returns why no attempt of the request may be made any more. */
    private denial(request: InboundRequest): Refusal | undefined {
        return this.deps.admissions.denial(request.grant) ?? this.routing.refusal(request)
            ?? this.models.refusal(request) ?? this.quarantine.refusal(request) ?? this.shutdownCheck.refusal(request);
    }

    /** The same for a request whose attempt was decided: a retry needs what allowed it until it is sent. */
    private sendDenial(request: InboundRequest): Refusal | undefined {
        return this.denial(request) ?? this.retryPolicy.refusal(request);
    }

    private handleOutcome(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        outcome: AttemptOutcome,
        res: ServerResponse,
    ): NextStep {
        this.outcomeRecorder.record(request, endpoint.id, outcome);
        const notSent = outcome.kind === "caller-gone" && !outcome.sent;
        if (notSent || outcome.kind === "postponed" || outcome.kind === "not-run") {
            this.fairShares.returned(request);
        }
        switch (outcome.kind) {
            case "answered":
                this.responder.recordMetrics(request, "answered");
                return "done";
            case "caller-gone":
                this.responder.recordMetrics(request, "caller-gone");
                this.deps.metrics.count("callers_gone_total", { stage: outcome.sent ? "sent" : "connection" });
                return "done";
            case "late":
                this.respond(request, res, LocalResponse.late);
                return "done";
            case "postponed":
                request.attemptedUpstreams.splice(request.attemptedUpstreams.lastIndexOf(endpoint.id), 1);
                return "again";
            case "not-run":
                request.attemptedUpstreams.splice(request.attemptedUpstreams.lastIndexOf(endpoint.id), 1);
                request.declinedUpstreams.add(endpoint.id);
                this.sharedAdmission.notRun(request, outcome);
                return this.handleDeclined(request, res);
            case "failure":
                if (
                    isRepeatable(request) && outcome.response.status >= 500
                    && this.retryPolicy.acquireAfterFailure(request)
                ) {
                    return "again";
                }
                if (outcome.response.status >= 500) {
                    this.deps.meter.unserved(itemKeyOf(request), LocalResponse.failed.reason);
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
        const next = this.assigner.select(request);
        if ((next.kind === "resting" || next.kind === "limited") && this.waitPolicy.waitMs(request, next) <= 0) {
            // Refused before a retry is taken from the budget.
            this.refuse(request, res, this.waitPolicy.refusal(request, next));
            return "done";
        }
        if (this.retryPolicy.acquireAfterDecline(request)) {
            return "again";
        }
        this.refuse(request, res, declinedRefusal);
        return "done";
    }

    private handleFailed(request: InboundRequest, res: ServerResponse, broken: boolean): NextStep {
        if (this.endpoints.lacksVersionOf(request)) {
            // Ended before a retry is taken from the budget.
            this.respond(request, res, LocalResponse.failed);
            return "done";
        }
        const resumable = !broken || (request.route.resumable && request.lastEventId !== undefined);
        if (
            isRepeatable(request) && resumable && this.quarantine.isRetryAllowed(request)
            && this.retryPolicy.acquireAfterFailure(request)
        ) {
            return "again";
        }
        this.respond(request, res, LocalResponse.failed);
        return "done";
    }
}
