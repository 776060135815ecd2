/** Decides how long a request waits for an upstream, and the Retry-After of a refusal. */
import { steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type Refusal } from "./admissioncontrollers.js";
import { type EndpointTable } from "./endpointtables.js";
import { ageMs, firstEventRemainingMs, type InboundRequest, remainingMs } from "./inboundrequests.js";
import { type LoadWaitPolicy } from "./loadwaitpolicies.js";
import { LocalResponse } from "./localresponses.js";
import { isOfVersion } from "./streamversions.js";
import { type Selection } from "./upstreamselectors.js";

/** Requests are refused within this share of their objective, so that a retry can still meet it. */
const refusalObjectiveShare = 0.2;
/** A request waits for a model load that finishes within this share of its objective. */
const loadWaitObjectiveShare = 0.7;
/** Ratio of the total time of a load, including unloading another model, to the model's load time. */
const loadTimeFactor = 1.6;
/** Share of the remaining time after which clients are expected to retry. */
export const retryDelayShare = 0.3;
/** Delay of a model load beyond its expected end that a request tolerates, in milliseconds. */
const loadSlackMs = 400;
/** Minimum time left for an attempt, in milliseconds. */
export const minAttemptMs = 20;
/** Retry-After if all upstreams are at capacity, in milliseconds. */
export const busyRetryMs = 400;
/** Retry-After if no upstream is known, in milliseconds. */
const noUpstreamRetryMs = 1000;

/** Timeout for response headers, as a multiple of the expected processing time. */
const headTimeoutExpectedFactor = 4;
/** Lower bound of that timeout, as a multiple of the objective. */
const headTimeoutObjectives = 2;
/** Upper bound of that timeout, as a share of the time that the client still waits, so that another upstream can be tried. */
const headTimeoutWaitShare = 0.5;

/**
 * Returns how long an attempt waits for response headers, in milliseconds. `expectedMs`: expected time to process the
 * prompts ahead of the request and its own.
 */
export function headTimeoutMs(request: InboundRequest, expectedMs: number): number {
    const { objectiveMs } = request.route;
    const timeoutMs = Math.max(headTimeoutObjectives * objectiveMs, headTimeoutExpectedFactor * expectedMs);
    return Math.min(timeoutMs, Math.max(objectiveMs, firstEventRemainingMs(request) * headTimeoutWaitShare));
}

/** Random share by which Retry-After is extended, so that clients do not return all at once. */
const retryJitter = 0.25;

/** A selection without an upstream, with the reason. */
export type Unavailable = Exclude<Selection, { readonly kind: "upstream"; }>;

/** How long a request without an upstream waits, and how it is refused otherwise. */
export type WaitDecisions = Pick<WaitPolicy, "waitMs" | "refusal" | "waitsLong">;

export class WaitPolicy {
    /**
     * `random`: returns a number from 0 to 1. `loadWaits`: decides for requests whose objective covers a load of their
     * model.
     */
    public constructor(
        private readonly view: FleetView<Configuration>,
        private readonly endpoints: EndpointTable,
        private readonly random: () => number,
        private readonly loadWaits?: LoadWaitPolicy,
    ) {}

    /** Returns how long the request may wait, in milliseconds; it is refused if the result is not positive. */
    public waitMs(request: InboundRequest, reason: Unavailable): number {
        return Math.min(this.usefulWaitMs(request, reason), firstEventRemainingMs(request) - minAttemptMs);
    }

    /** Whether the request waits longer than a rejection in time for a retry allows. */
    public waitsLong(request: InboundRequest, reason: Unavailable): boolean {
        switch (reason.kind) {
            case "lacking":
                return this.modelWaits(request) !== undefined;
            case "full":
                return this.loadWaits?.appliesTo(request) ?? false;
            default:
                return false;
        }
    }

    private usefulWaitMs(request: InboundRequest, reason: Unavailable): number {
        switch (reason.kind) {
            case "lacking":
                return this.modelWaits(request)?.loadWaitMs(
                    request,
                    this.readyInMs(request),
                    earlyWaitMs(request),
                ) ?? this.loadWaitMs(request);
            case "full":
                return this.waitsLong(request, reason)
                    ? Math.max(this.loadWaits!.fullWaitMs(request), earlyWaitMs(request))
                    : earlyWaitMs(request);
            case "version-absent":
                return 0;
            case "resting":
            case "limited":
                // A request that cannot wait until an upstream accepts requests again is refused at once.
                return reason.until - steadyNow() < earlyWaitMs(request) ? earlyWaitMs(request) : 0;
            default:
                return earlyWaitMs(request);
        }
    }

    public refusal(request: InboundRequest, reason: Unavailable): Refusal {
        switch (reason.kind) {
            case "resting":
                return {
                    kind: "refused",
                    response: LocalResponse.resting,
                    retryAfterMs: this.jitteredRetryMs(reason.until),
                };
            case "limited":
                return {
                    kind: "refused",
                    response: LocalResponse.limited,
                    retryAfterMs: this.jitteredRetryMs(reason.until),
                };
            case "lacking":
                return { kind: "refused", response: LocalResponse.lacking, retryAfterMs: this.loadRetryMs(request) };
            case "none":
                return { kind: "refused", response: LocalResponse.noUpstream, retryAfterMs: noUpstreamRetryMs };
            case "version-absent":
                return {
                    kind: "refused",
                    response: LocalResponse.streamVersionAbsent,
                    retryAfterMs: noUpstreamRetryMs,
                };
            case "full":
                return { kind: "refused", response: LocalResponse.overloaded, retryAfterMs: busyRetryMs };
        }
    }

    /** Undefined if the objective covers no model load, and for adapters of a loaded model, which need none. */
    private modelWaits(request: InboundRequest): LoadWaitPolicy | undefined {
        const needsLoad = request.metadata.adapter === "" || !this.isHeld(request);
        return needsLoad && this.loadWaits?.appliesTo(request) === true ? this.loadWaits : undefined;
    }

    private jitteredRetryMs(until: number): number {
        return Math.max(busyRetryMs, until - steadyNow()) * (1 + retryJitter * this.random());
    }

    private loadWaitMs(request: InboundRequest): number {
        const { objectiveMs } = request.route;
        const remainingWaitMs = objectiveMs * loadWaitObjectiveShare - ageMs(request);
        const readyMs = this.readyInMs(request);
        if (readyMs === undefined) {
            return this.loadMs(request) * loadTimeFactor <= remainingWaitMs ? remainingWaitMs : earlyWaitMs(request);
        }
        if (readyMs <= remainingWaitMs) {
            return remainingWaitMs;
        }
        // A client that is refused now can return in time for the loaded model.
        const retryDelayMs = remainingMs(request) * retryDelayShare;
        if (earlyWaitMs(request) > 0 && readyMs <= retryDelayMs + objectiveMs * loadWaitObjectiveShare) {
            return 0;
        }
        return readyMs + loadSlackMs < firstEventRemainingMs(request) ? readyMs + loadSlackMs : earlyWaitMs(request);
    }

    /** Returns the Retry-After for a model that is being loaded, so that the retry can meet its objective. */
    private loadRetryMs(request: InboundRequest): number {
        const modelWaits = this.modelWaits(request);
        if (modelWaits !== undefined) {
            return Math.max(busyRetryMs, modelWaits.loadRetryMs(request, this.readyInMs(request)));
        }
        const readyMs = this.readyInMs(request) ?? this.loadMs(request) * loadTimeFactor;
        return Math.max(busyRetryMs, readyMs - request.route.objectiveMs * refusalObjectiveShare);
    }

    /**
     * Returns the expected time until the requested model is loaded, in milliseconds; undefined if no load is in
     * progress.
     */
    private readyInMs(request: InboundRequest): number | undefined {
        const { model, adapter } = request.metadata;
        // An adapter of a model that is already loaded needs no model load.
        return adapter !== "" && this.isHeld(request)
            ? undefined
            : this.view.readyInMs(request.service, model, request.softwareVersion);
    }

    /** Returns the time to load the requested model from disk; 0 for an adapter of a loaded model. */
    private loadMs(request: InboundRequest): number {
        const { model, adapter } = request.metadata;
        if (adapter !== "" && this.isHeld(request)) {
            return 0;
        }
        const service = this.view.configuration?.services.find(({ name }) => name === request.service);
        return service?.engine?.models.find(({ name }) => name === model)?.diskLoadMs ?? Number.POSITIVE_INFINITY;
    }

    private isHeld(request: InboundRequest): boolean {
        return this.endpoints.ready(request.service).some(endpoint =>
            isOfVersion(request, endpoint)
            && endpoint.description.models.some(({ name, leaving, readyInMs }) =>
                name === request.metadata.model && !leaving && readyInMs === 0
            )
        );
    }
}

/** Returns the time left to refuse a request early enough for a retry, in milliseconds. */
function earlyWaitMs(request: InboundRequest): number {
    return request.route.objectiveMs * refusalObjectiveShare - ageMs(request);
}
