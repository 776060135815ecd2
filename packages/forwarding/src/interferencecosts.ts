/** Compares engines by the interference of a request with the streams and prompts that they already have. */
import { type EngineSpec } from "@winchpath/declarations";
import {
    acceptsPrefix,
    type EngineState,
    interferenceCost,
    interferenceOf,
    type PlacedRequest,
    prefillMs,
} from "@winchpath/engineload";
import { fitsCache, maxWaitObjectiveShare } from "./enginecapacities.js";
import { ageMs, type InboundRequest, unsharedPromptTokens } from "./inboundrequests.js";
import { type SelectionCost } from "./selectioncosts.js";
import { isLongPrompt, type StreamInterference } from "./streaminterferences.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** Latency added by another data centre, in milliseconds; breaks ties between engines that are equally suitable. */
const remoteMs = 1;

const noCosts: ReadonlyMap<number, number> = new Map();

export class InterferenceCost implements SelectionCost {
    /** `fallback`: compares engines while their pace is unknown, and where interference is not considered. */
    public constructor(
        private readonly dataCentre: string,
        private readonly interference: StreamInterference,
        private readonly engine: EngineSpec,
        private readonly fallback: SelectionCost,
    ) {}

    public costs(request: InboundRequest, endpoints: readonly UpstreamEndpoint[]): number[] {
        const placed = placedRequest(request);
        const states: EngineState[] = [];
        for (const endpoint of endpoints) {
            const state = this.interference.stateOf(request, endpoint);
            if (state === undefined) {
                return this.fallback.costs(request, endpoints);
            }
            states.push(state);
        }
        const homeCosts = placed.isLong && states.length > 0
            ? this.homeCosts(request, placed, endpoints, states)
            : noCosts;
        return states.map((state, index) => {
            const homeCost = homeCosts.get(index);
            const cost = homeCost ?? interferenceCost(placed, state, interferenceOf(state));
            const isRemote = endpoints[index].description.dataCentre !== this.dataCentre;
            const total = cost + (isRemote ? remoteMs / placed.objectiveLeftMs : 0);
            // Homes are below zero, and so preferred to all other engines, in the order of their costs.
            return homeCost === undefined ? total : -1 / (1 + total);
        });
    }

    /** A further attempt costs as much as a first event that arrives just in time. */
    public attemptCost(request: InboundRequest, endpoint: UpstreamEndpoint, attempts: number): number {
        return this.interference.stateOf(request, endpoint) === undefined
            ? this.fallback.attemptCost(request, endpoint, attempts)
            : attempts;
    }

    /** Costs of the engines to which the prompt's prefix is assigned, by index, without overloaded ones. */
    private homeCosts(
        request: InboundRequest,
        placed: PlacedRequest,
        endpoints: readonly UpstreamEndpoint[],
        states: readonly EngineState[],
    ): ReadonlyMap<number, number> {
        const costs = new Map<number, number>();
        const ownTokens = unsharedPromptTokens(request);
        this.interference.homesOf(request, endpoints, prefillMs(states[0].pace, ownTokens), index => {
            // Other entries send the prefix there too, so it is cached.
            const state = { ...states[index], prefillTokens: Math.min(states[index].prefillTokens, ownTokens) };
            const expected = interferenceOf(state);
            const isAccepted = acceptsPrefix(placed, state, expected);
            if (isAccepted) {
                costs.set(index, interferenceCost(placed, state, expected));
            }
            return isAccepted;
        });
        return costs;
    }

    public hasCapacity(request: InboundRequest, endpoint: UpstreamEndpoint): boolean {
        const state = this.interference.stateOf(request, endpoint);
        if (state === undefined) {
            return this.fallback.hasCapacity(request, endpoint);
        }
        const load = endpoint.inFlight + state.others;
        if (load >= endpoint.description.slots) {
            return false;
        }
        // The state is determined once per selection. Requests like this one that were added since, to find out whether
        // there is capacity for another one, are ahead of it.
        const added = Math.max(0, endpoint.inFlight - state.inFlight);
        // A request is not refused for prompts that may have been prefilled since the report.
        const tokensAhead = state.knownTokensAhead + added * state.prefillTokens;
        const inTime = prefillMs(state.pace, tokensAhead) <= request.route.objectiveMs * maxWaitObjectiveShare;
        return load < 1 || (fitsCache(this.engine, request, endpoint, load) && inTime);
    }
}

function placedRequest(request: InboundRequest): PlacedRequest {
    return {
        objectiveLeftMs: Math.max(1, request.route.objectiveMs - ageMs(request)),
        allowedGapMs: request.route.pauseMs,
        isLong: isLongPrompt(request),
    };
}
