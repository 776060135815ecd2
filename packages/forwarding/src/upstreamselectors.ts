/** Selects the upstream for a request. */
import { type AvailabilityTracker, excludeBackingOff } from "@winchpath/availability";
import { type EngineSpec } from "@winchpath/declarations";
import { type EjectionTracker } from "@winchpath/routing";
import { createHash } from "node:crypto";
import { type InboundRequest, isRepeatable, requiredCacheTokens, unsharedPromptTokens } from "./inboundrequests.js";
import { type ThroughputTable } from "./throughputs.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** Cost added to upstreams in other data centres, in prompt tokens or in requests. */
const remotePenaltyTokens = 300;
const remotePenaltyRequests = 0.5;
/** An upstream is full for a request if the estimated wait exceeds this multiple of its objective. */
const maxWaitObjectiveShare = 1.5;
/** Fraction of an engine's cache to fill; the rest is for outputs that exceed their estimate. */
const maxCacheShare = 0.95;

/** Maximum load of an upstream that is no model engine, as a multiple of its slots. */
const plainServiceSlotFactor = 2;

/** The result of a selection. */
export type Selection =
    | { readonly kind: "upstream"; readonly endpoint: UpstreamEndpoint; }
    /** All upstreams that hold the model are at capacity. */
    | { readonly kind: "full"; }
    /**
     * All upstreams that hold the model asked this entry to back off; `until`: monotonic time at which the first
     * backoff ends.
     */
    | { readonly kind: "resting"; readonly until: number; }
    /** All eligible upstreams are rate limited; `until`: monotonic time at which a permit may be available. */
    | { readonly kind: "limited"; readonly until: number; }
    /** No upstream holds the model. */
    | { readonly kind: "lacking"; }
    /** No upstream of the service accepts requests. */
    | { readonly kind: "none"; };

export class UpstreamSelector {
    public constructor(
        private readonly ejections: EjectionTracker,
        private readonly availability: AvailabilityTracker,
        private readonly dataCentre: string,
        private readonly throughput: ThroughputTable,
        /** Returns a number from 0 to 1. */
        private readonly random: () => number,
    ) {}

    /** `engine`: specification of the service's model engines; undefined for other services. */
    public select(
        request: InboundRequest,
        ready: readonly UpstreamEndpoint[],
        engine: EngineSpec | undefined,
    ): Selection {
        if (ready.length === 0) {
            return { kind: "none" };
        }
        const holders = ready.filter(endpoint => isReadyFor(endpoint, request));
        if (holders.length === 0) {
            return { kind: "lacking" };
        }
        // Applied before ejections: unlike a backoff, they are ignored when too few upstreams would remain.
        const { usable: available, until } = excludeBackingOff(this.availability, holders, ({ id }) => id);
        if (available.length === 0) {
            return { kind: "resting", until };
        }
        const admitted = this.ejections.withoutEjected(candidates(request, available));
        const open = admitted.filter(endpoint => this.hasCapacity(endpoint, request, engine));
        if (open.length === 0) {
            return { kind: "full" };
        }
        const best = this.lowestCost(request, open, engine);
        if (this.limitedUntil(best) === undefined) {
            return { kind: "upstream", endpoint: best };
        }
        this.availability.rates.addWaiting(best.id, request.id);
        return this.selectUnlimited(request, open, available, engine);
    }

    /** Selects an upstream that needs no permit, after the best one turned out to be rate limited. */
    private selectUnlimited(
        request: InboundRequest,
        open: readonly UpstreamEndpoint[],
        available: readonly UpstreamEndpoint[],
        engine: EngineSpec | undefined,
    ): Selection {
        const free = open.filter(endpoint => this.limitedUntil(endpoint) === undefined);
        if (free.length > 0) {
            return { kind: "upstream", endpoint: this.lowestCost(request, free, engine) };
        }
        const untils = available.map(endpoint => this.limitedUntil(endpoint));
        const all = untils.filter(until => until !== undefined);
        return all.length < untils.length ? { kind: "full" } : { kind: "limited", until: Math.min(...all) };
    }

    /** Monotonic time at which a permit may be available; undefined if none is needed. */
    private limitedUntil(endpoint: UpstreamEndpoint): number | undefined {
        const state = this.availability.forSelection(endpoint.id);
        return state.kind === "limited" ? state.until : undefined;
    }

    /** Returns the upstream with the lowest cost, preferring healthy ones; a cached prompt prefix reduces the cost. */
    private lowestCost(
        request: InboundRequest,
        all: readonly UpstreamEndpoint[],
        engine: EngineSpec | undefined,
    ): UpstreamEndpoint {
        const healthy = all.filter(({ description }) => description.failingPercent === 0);
        const open = healthy.length > 0 ? healthy : all;
        const preferred = request.route.sticky ? this.stickyEndpoint(request, open) : undefined;
        const sharedTokens = request.metadata.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        const ranked = open.map(endpoint => ({
            endpoint,
            cost: this.costOf(request, endpoint, engine) - (endpoint === preferred ? sharedTokens : 0),
            tie: this.random(),
        }));
        ranked.sort((a, b) => a.cost - b.cost || a.tie - b.tie);
        return ranked[0].endpoint;
    }

    private costOf(request: InboundRequest, endpoint: UpstreamEndpoint, engine: EngineSpec | undefined): number {
        const far = endpoint.description.dataCentre !== this.dataCentre;
        return engine === undefined
            ? endpoint.load + (far ? remotePenaltyRequests : 0)
            : endpoint.queuedTokensAhead(request.priority, unsharedPromptTokens(request))
                + (far ? remotePenaltyTokens : 0);
    }

    /** Chooses an upstream by rendezvous hashing, so that all entries agree on it. */
    private stickyEndpoint(request: InboundRequest, open: readonly UpstreamEndpoint[]): UpstreamEndpoint | undefined {
        const key = affinityKey(request);
        return key === undefined
            ? undefined
            : open.reduce((best, endpoint) =>
                affinityScore(key, endpoint) > affinityScore(key, best) ? endpoint : best
            );
    }

    private hasCapacity(endpoint: UpstreamEndpoint, request: InboundRequest, engine: EngineSpec | undefined): boolean {
        const { slots } = endpoint.description;
        if (engine === undefined) {
            return endpoint.load < slots * plainServiceSlotFactor;
        }
        if (endpoint.load >= slots) {
            return false;
        }
        const perRequest = endpoint.inFlight === 0
            ? requiredCacheTokens(request)
            : endpoint.tokensInFlight / endpoint.inFlight;
        const fits = perRequest * endpoint.load + requiredCacheTokens(request) <= engine.cacheTokens * maxCacheShare;
        const ahead = endpoint.queuedTokensAhead(request.priority, unsharedPromptTokens(request));
        const waitMs = this.throughput.durationMs(request.service, request.metadata.model, ahead);
        const inTime = waitMs <= request.route.objectiveMs * maxWaitObjectiveShare;
        return endpoint.load < 1 || (fits && inTime);
    }
}

/**
 * Returns the upstreams that have not declined or failed the request. If there are none, a repeatable request may go to
 * one that failed it before.
 */
function candidates(request: InboundRequest, holders: readonly UpstreamEndpoint[]): readonly UpstreamEndpoint[] {
    const willing = holders.filter(({ id }) => !request.declinedUpstreams.has(id));
    const untried = willing.filter(({ id }) => !request.attemptedUpstreams.includes(id));
    return untried.length > 0 || !isRepeatable(request) ? untried : willing;
}

function isReadyFor(endpoint: UpstreamEndpoint, request: InboundRequest): boolean {
    const { model, adapter } = request.metadata;
    if (model === "") {
        return true;
    }
    const heldModel = endpoint.description.models.find(({ name }) => name === model);
    return heldModel !== undefined && !heldModel.leaving && heldModel.readyInMs === 0
        && (adapter === "" || heldModel.adapters.includes(adapter));
}

/** Returns a key of the shared prompt prefix; requests with the same key benefit from the same cache. */
function affinityKey(request: InboundRequest): string | undefined {
    const { promptParts: parts, model, adapter } = request.metadata;
    const shared = parts.at(-2) ?? parts[0];
    return shared === undefined ? undefined : `${model}/${adapter}/${shared.id}`;
}

function affinityScore(key: string, endpoint: UpstreamEndpoint): number {
    return createHash("md5").update(`${key} ${endpoint.id}`).digest().readUInt32LE(0);
}
