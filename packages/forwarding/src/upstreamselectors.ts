/** Selects the upstream for a request. */
import { type AvailabilityTracker, excludeBackingOff } from "@winchpath/availability";
import { type EngineSpec } from "@winchpath/declarations";
import { type EjectionTracker } from "@winchpath/routing";
import { failureAttempts, isEjected } from "./failurecosts.js";
import { type InboundRequest, isRepeatable, requiredCacheTokens, unsharedPromptTokens } from "./inboundrequests.js";
import { type SelectionCosts } from "./selectioncosts.js";
import { type SilenceContext, SilenceDetector } from "./silences.js";
import { isOfVersion } from "./streamversions.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** The result of a selection. */
export type Selection =
    /** `alternatives`: number of other upstreams with capacity for the request. */
    | { readonly kind: "upstream"; readonly endpoint: UpstreamEndpoint; readonly alternatives: number; }
    /** All upstreams that hold the model are at capacity. */
    | { readonly kind: "full"; }
    /**
     * All upstreams that hold the model asked this entry to back off; `until`: monotonic time at which the first
     * backoff ends.
     */
    | { readonly kind: "resting"; readonly until: number; }
    /** All eligible upstreams are rate limited; `until`: monotonic time at which a permit may be available. */
    | { readonly kind: "limited"; readonly until: number; }
    /** No upstream holds the model, or all that do refuse connections. */
    | { readonly kind: "lacking"; }
    /** No upstream of the service accepts requests or connections. */
    | { readonly kind: "none"; }
    /** No upstream of the software version that began the stream accepts requests. */
    | { readonly kind: "version-absent"; };

export class UpstreamSelector {
    private readonly silences: SilenceDetector | undefined;

    public constructor(
        private readonly ejections: EjectionTracker,
        private readonly availability: AvailabilityTracker,
        private readonly selectionCosts: SelectionCosts,
        /** Returns a number from 0 to 1. */
        private readonly random: () => number,
        silences?: SilenceContext,
    ) {
        this.silences = silences === undefined ? undefined : new SilenceDetector(silences);
    }

    /** `engine`: specification of the service's model engines; undefined for other services. */
    public select(
        request: InboundRequest,
        all: readonly UpstreamEndpoint[],
        engine: EngineSpec | undefined,
    ): Selection {
        const ready = request.softwareVersion === undefined
            ? all
            : all.filter(endpoint => isOfVersion(request, endpoint));
        if (ready.length === 0) {
            return { kind: all.length === 0 ? "none" : "version-absent" };
        }
        const holders = ready.filter(endpoint => isReadyFor(endpoint, request));
        if (holders.length === 0) {
            return { kind: "lacking" };
        }
        const reachable = this.ejections.withoutUnreachable(holders);
        if (reachable.length === 0) {
            return { kind: request.metadata.model === "" ? "none" : "lacking" };
        }
        // Applied before ejections: unlike a backoff, they are ignored when too few upstreams would remain.
        const { usable: available, until } = excludeBackingOff(this.availability, reachable, ({ id }) => id);
        if (available.length === 0) {
            return { kind: "resting", until };
        }
        const willing = this.ejections.withoutEjected(candidates(request, available));
        const admitted = this.silences?.withoutSilent(request, willing, ready, engine !== undefined) ?? willing;
        const selectionCost = this.selectionCosts.for(engine);
        const open = admitted.filter(endpoint => selectionCost.hasCapacity(request, endpoint));
        if (open.length === 0) {
            return { kind: "full" };
        }
        const best = this.lowestCost(request, open, engine);
        if (this.limitedUntil(best) === undefined) {
            return { kind: "upstream", endpoint: best, alternatives: open.length - 1 };
        }
        this.availability.rates.addWaiting(best.id, request.id);
        return this.selectUnlimited(request, open, available, engine);
    }

    /** Whether the upstream would still have capacity for a request like this one after it was sent there. */
    public leavesCapacity(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        engine: EngineSpec | undefined,
    ): boolean {
        const selectionCost = this.selectionCosts.for(engine);
        // Costs may depend on states of the time before the request is added.
        if (!selectionCost.hasCapacity(request, endpoint)) {
            return false;
        }
        const own = unsharedPromptTokens(request);
        const { priority, body } = request;
        const tracked = endpoint.track(priority, own, requiredCacheTokens(request), body.length);
        const leaves = selectionCost.hasCapacity(request, endpoint);
        tracked.finish();
        return leaves;
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
            const endpoint = this.lowestCost(request, free, engine);
            return { kind: "upstream", endpoint, alternatives: free.length - 1 };
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

    /** Returns the upstream with the lowest cost; ejected ones are used only if all others are full. */
    private lowestCost(
        request: InboundRequest,
        all: readonly UpstreamEndpoint[],
        engine: EngineSpec | undefined,
    ): UpstreamEndpoint {
        const healthy = all.filter(endpoint => !isEjected(endpoint));
        const open = healthy.length > 0 ? healthy : all;
        const selectionCost = this.selectionCosts.for(engine);
        const costs = selectionCost.costs(request, open);
        const ties = open.map(() => this.random());
        const withFailures = costs.map((cost, index) => {
            const { failingPercent } = open[index].description;
            return failingPercent === 0
                ? cost
                : cost + selectionCost.attemptCost(request, open[index], failureAttempts(request, failingPercent));
        });
        const best = open[indexOfLowest(withFailures, ties)];
        // Healthy upstreams don't queue requests because another one fails some of its own.
        return hasFreeSlot(best) ? best : open[indexOfLowest(costs, ties)];
    }
}

/** Index of the lowest cost, of several the one with the lowest tie breaker. */
function indexOfLowest(costs: readonly number[], ties: readonly number[]): number {
    let lowest = 0;
    for (let index = 1; index < costs.length; index++) {
        if (costs[index] < costs[lowest] || (costs[index] === costs[lowest] && ties[index] < ties[lowest])) {
            lowest = index;
        }
    }
    return lowest;
}

function hasFreeSlot({ load, description }: UpstreamEndpoint): boolean {
    return load < description.slots;
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
