/** Applies the admission limits of the whole fleet to the requests of an entry that would have to wait for capacity. */
import { EntryLevel, isWithin, levelCount, LevelCounter, openLimit, ReturnSchedule } from "@winchpath/admission";
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import { type Configuration, priorityCount } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type ActiveFeatures } from "./activefeatures.js";
import { type Refusal } from "./admissioncontrollers.js";
import { type AttemptOutcome } from "./attemptoutcomes.js";
import { ageMs, type InboundRequest, promptEquivalentTokens, remainingMs } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { busyRetryMs, retryDelayShare, type Unavailable } from "./waitpolicies.js";

export interface SharedAdmissionDependencies {
    readonly view: Pick<FleetView<Configuration>, "admission" | "configuration" | "entries">;
    readonly features: Pick<ActiveFeatures, "has">;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
}

interface ServiceState {
    readonly level: EntryLevel;
    readonly returns: ReturnSchedule;
    /** The limit that was applied last, and when it was evaluated. */
    limit: number;
    evaluatedAt: number;
}

/** A return is promised within this share of the objective; the rest is for the request's own work. */
const promiseObjectiveShare = 0.7;
/** Largest share of an upstream's slots that requests above the limit leave to more urgent ones from any entry. */
const maxReservedShare = 0.5;
/** The load that an upstream told counts as known for this long, in milliseconds; entries let it decay as fast. */
const loadLifetimeMs = 2500;
/** Limits are not evaluated more often, in milliseconds. */
const minEvaluationIntervalMs = 50;

/** Rejections for lack of capacity. */
const capacityResponses: readonly LocalResponse[] = [
    LocalResponse.overloaded,
    LocalResponse.limited,
    LocalResponse.declined,
];

export class SharedAdmission {
    /** Counts for the reports to the leader. */
    public readonly counter = new LevelCounter();
    private readonly services = new Map<string, ServiceState>();
    /** A fixed random number of each request that was compared with a limit, so that repeated checks agree. */
    private readonly draws = new WeakMap<InboundRequest, number>();
    /** Monotonic time of the last load that an upstream reported. */
    private readonly loadReportedAt = new WeakMap<UpstreamEndpoint, number>();
    /** Requests that use the promise of an earlier rejection. */
    private readonly claims = new WeakSet<InboundRequest>();

    public constructor(private readonly deps: SharedAdmissionDependencies) {}

    /** Whether capacity is contended, and requests of several priorities compete for it. */
    public appliesTo({ service }: Pick<InboundRequest, "service">): boolean {
        const { configuration } = this.deps.view;
        return this.deps.features.has("shared-admission") && configuration !== undefined
            && priorityCount(configuration.routes, service) > 1;
    }

    /** Records a request that was received. */
    public arrived(request: InboundRequest): void {
        if (this.appliesTo(request)) {
            const work = this.workOf(request);
            this.counter.arrived(request.service, levelOf(request), work);
            this.record(request, { arrived: 1, work });
        }
    }

    /** Records a request that is sent to an upstream. */
    public admitted(request: InboundRequest): void {
        if (this.appliesTo(request)) {
            this.counter.admitted(request.service, levelOf(request));
            this.record(request, { admitted: 1 });
        }
    }

    /** Records that a request was not run; it says something about capacity only if the upstream answered so. */
    public notRun(request: InboundRequest, outcome: AttemptOutcome & { readonly kind: "not-run"; }): void {
        const { misdirected, unreachable, responded } = outcome;
        if (!misdirected && !unreachable && responded !== false && this.appliesTo(request)) {
            this.counter.declined(request.service, levelOf(request));
            this.record(request, { declined: 1 });
        }
    }

    /** Records the start of a wait for capacity; the returned function records its end. */
    public waitStarted(request: InboundRequest): () => void {
        if (!this.appliesTo(request)) {
            return () => undefined;
        }
        const { service } = request;
        const level = levelOf(request);
        this.counter.waitStarted(service, level);
        return () => this.counter.waitEnded(service, level);
    }

    /**
     * Whether a request may use the upstream that was selected for it. Above the limit it may if the upstream is known to
     * have capacity to spare: otherwise it would take the place of a more urgent request that waits at another entry.
     */
    public mayUse(request: InboundRequest, endpoint: UpstreamEndpoint): boolean {
        if (!this.appliesTo(request)) {
            return true;
        }
        const state = this.stateOf(request.service);
        return this.isAdmitted(request, state) || this.hasSpareCapacity(request, endpoint, state.limit)
            || this.claim(request, state);
    }

    /** Records that an upstream has reported its load in a response head; the response may last much longer. */
    public loadReported(endpoint: UpstreamEndpoint): void {
        this.loadReportedAt.set(endpoint, steadyNow());
    }

    /** Returns the rejection of a request that would have to wait, if it is above the limit; otherwise undefined. */
    public refusal(request: InboundRequest, reason: Unavailable): Refusal | undefined {
        if ((reason.kind !== "full" && reason.kind !== "limited") || !this.appliesTo(request)) {
            return undefined;
        }
        if (request.attemptedUpstreams.length > 0) {
            // An upstream may have executed the request, so that a rejection would be answered as failed.
            return undefined;
        }
        const state = this.stateOf(request.service);
        if (this.isAdmitted(request, state) || this.claim(request, state)) {
            return undefined;
        }
        return {
            kind: "refused",
            response: LocalResponse.overloaded,
            retryAfterMs: busyRetryMs,
            details: { admissionLimit: state.limit, limitAgeMs: this.deps.view.admission.of(request.service)?.ageMs },
        };
    }

    /** Records a rejection; for lack of capacity, its Retry-After is when capacity is reserved for the return. */
    public withReturn(request: InboundRequest, refusal: Refusal): Refusal {
        const { response, retryAfterMs } = refusal;
        if (!capacityResponses.includes(response) || !this.appliesTo(request)) {
            return refusal;
        }
        this.counter.rejected(request.service, levelOf(request));
        this.record(request, { rejected: 1 });
        const state = this.stateOf(request.service);
        if (retryAfterMs === undefined || this.updateLimit(request.service, state) >= openLimit) {
            return refusal;
        }
        const bounds = {
            minMs: retryAfterMs,
            maxMs: remainingMs(request) * retryDelayShare,
            promiseMs: request.route.objectiveMs * promiseObjectiveShare - ageMs(request),
        };
        const capacity = this.capacityFor(request, state);
        return { ...refusal, retryAfterMs: state.returns.reserve(levelOf(request), capacity, bounds, steadyNow()) };
    }

    /** Capacity for returns: this entry's part of the fleet's, less what more urgent requests need here. */
    private capacityFor(request: InboundRequest, { level }: ServiceState) {
        const requestLevel = levelOf(request);
        const rates = level.currentRates(steadyNow());
        return {
            total: this.fleetCapacity(request.service, level) / Math.max(1, this.deps.view.entries),
            moreUrgent: rates.reduce((sum, rate) => sum + (rate.level < requestLevel ? rate.arrived : 0), 0),
        };
    }

    private isAdmitted(request: InboundRequest, state: ServiceState): boolean {
        const limit = this.updateLimit(request.service, state);
        return isWithin(limit, levelOf(request), this.drawOf(request)) || this.claims.has(request);
    }

    /**
     * Whether a slot remains free beside the request for each more urgent level that is not admitted in full. An engine whose load is unknown is tried: the limit is for the
     * service, which may be short of one model only.
     */
    private hasSpareCapacity(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        limit: number,
    ): boolean {
        const ageMs = steadyNow() - (this.loadReportedAt.get(endpoint) ?? Number.NEGATIVE_INFINITY);
        if (ageMs >= loadLifetimeMs) {
            return request.metadata.model !== "";
        }
        const { slots } = endpoint.description;
        const reserved = Math.min(1 + Math.max(0, levelOf(request) - Math.floor(limit)), slots * maxReservedShare);
        return endpoint.load + 1 + reserved <= slots;
    }

    /** Requests per second that the service accepts from all entries. */
    private fleetCapacity(service: string, level: EntryLevel): number {
        const { admission, entries } = this.deps.view;
        const rates = level.currentRates(steadyNow());
        const own = rates.reduce((sum, { sent, declined }) => sum + Math.max(0, sent - declined), 0);
        return admission.capacity(service) ?? own * Math.max(1, entries);
    }

    private claim(request: InboundRequest, { returns }: ServiceState): boolean {
        const claimed = returns.tryClaim(levelOf(request), steadyNow());
        if (claimed) {
            this.claims.add(request);
        }
        return claimed;
    }

    private updateLimit(service: string, state: ServiceState): number {
        const now = steadyNow();
        if (now - state.evaluatedAt < minEvaluationIntervalMs) {
            return state.limit;
        }
        state.evaluatedAt = now;
        const before = state.limit;
        const leader = this.deps.view.admission.of(service);
        state.limit = state.level.update(leader, now);
        if (Math.floor(before) !== Math.floor(state.limit)) {
            const { log, metrics } = this.deps;
            metrics.setGauge("admission_limit", state.limit, { service });
            log.info("admission.limit", {
                service,
                limit: state.limit,
                before,
                leader: leader?.limit,
                ageMs: leader?.ageMs,
            });
        }
        return state.limit;
    }

    private record(
        request: InboundRequest,
        counts: { readonly arrived?: number; work?: number; admitted?: number; rejected?: number; declined?: number; },
    ): void {
        const none = { arrived: 0, work: 0, admitted: 0, rejected: 0, declined: 0 };
        this.stateOf(request.service).level.record({ level: levelOf(request), ...none, ...counts }, steadyNow());
    }

    private drawOf(request: InboundRequest): number {
        let draw = this.draws.get(request);
        if (draw === undefined) {
            draw = this.deps.random();
            this.draws.set(request, draw);
        }
        return draw;
    }

    private stateOf(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            state = {
                level: new EntryLevel(),
                returns: new ReturnSchedule(),
                limit: openLimit,
                evaluatedAt: Number.NEGATIVE_INFINITY,
            };
            this.services.set(service, state);
        }
        return state;
    }

    /** Work in prompt tokens at engines, otherwise in requests. */
    private workOf(request: InboundRequest): number {
        const service = this.deps.view.configuration?.services.find(({ name }) => name === request.service);
        return service?.engine === undefined ? 1 : promptEquivalentTokens(request);
    }
}

/** Priorities have no upper bound in the configuration; those beyond the highest level count as that level. */
function levelOf({ priority }: InboundRequest): number {
    return Math.min(levelCount - 1, priority);
}
