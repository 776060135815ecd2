/** How upstreams are compared for a request, and when they are full for it. */
import { type EngineSpec } from "@winchpath/declarations";
import { createHash } from "node:crypto";
import { fitsCache, maxWaitObjectiveShare } from "./enginecapacities.js";
import { type InboundRequest, promptEquivalentTokens, unsharedPromptTokens } from "./inboundrequests.js";
import { InterferenceCost } from "./interferencecosts.js";
import { noPlainServiceContext, PlainServiceCost } from "./plainservicecosts.js";
import { type StreamInterference } from "./streaminterferences.js";
import { type ThroughputTable } from "./throughputs.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** Cost added to upstreams in other data centres, in prompt tokens or in requests. */
const remotePenaltyTokens = 300;
const remotePenaltyRequests = 0.5;
/** Maximum load of an upstream that is no model engine, as a multiple of its slots. */
const plainServiceSlotFactor = 2;

export interface SelectionCost {
    /** Returns the cost of sending the request to each of the upstreams, in their order and in a common unit. */
    costs(request: InboundRequest, endpoints: readonly UpstreamEndpoint[]): number[];
    /** Returns the cost of that many further attempts, in the unit of {@link costs}. */
    attemptCost(request: InboundRequest, endpoint: UpstreamEndpoint, attempts: number): number;
    /** Whether the upstream can accept the request now. */
    hasCapacity(request: InboundRequest, endpoint: UpstreamEndpoint): boolean;
}

/** Compares plain services by their requests in flight. */
export class OutstandingRequestsCost implements SelectionCost {
    public constructor(private readonly dataCentre: string) {}

    public costs(_request: InboundRequest, endpoints: readonly UpstreamEndpoint[]): number[] {
        return endpoints.map(({ load, description }) =>
            load + (description.dataCentre !== this.dataCentre ? remotePenaltyRequests : 0)
        );
    }

    /**
     * An upstream completes as many requests as it has slots during one attempt. The cost is at most its slots, so that it
     * doesn't fill healthy upstreams beyond theirs.
     */
    public attemptCost(_request: InboundRequest, { description }: UpstreamEndpoint, attempts: number): number {
        return Math.min(1, attempts) * description.slots;
    }

    public hasCapacity(_request: InboundRequest, endpoint: UpstreamEndpoint): boolean {
        return endpoint.load < endpoint.description.slots * plainServiceSlotFactor;
    }
}

/** Compares model engines by the prompt tokens queued ahead of the request; a cached prompt prefix reduces the cost. */
export class QueuedTokensCost implements SelectionCost {
    public constructor(
        private readonly dataCentre: string,
        private readonly engine: EngineSpec,
        private readonly throughput: ThroughputTable,
    ) {}

    public costs(request: InboundRequest, endpoints: readonly UpstreamEndpoint[]): number[] {
        const preferred = request.route.sticky ? stickyEndpoint(request, endpoints) : undefined;
        const sharedTokens = request.metadata.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        return endpoints.map(endpoint =>
            endpoint.queuedTokensAhead(request.priority, unsharedPromptTokens(request))
            + (endpoint.description.dataCentre !== this.dataCentre ? remotePenaltyTokens : 0)
            - (endpoint === preferred ? sharedTokens : 0)
        );
    }

    public attemptCost(request: InboundRequest, _endpoint: UpstreamEndpoint, attempts: number): number {
        return attempts * promptEquivalentTokens(request);
    }

    public hasCapacity(request: InboundRequest, endpoint: UpstreamEndpoint): boolean {
        if (endpoint.load >= endpoint.description.slots) {
            return false;
        }
        const fits = fitsCache(this.engine, request, endpoint, endpoint.load);
        const ahead = endpoint.queuedTokensAhead(request.priority, unsharedPromptTokens(request));
        const waitMs = this.throughput.durationMs(request.service, request.metadata.model, ahead);
        const inTime = waitMs <= request.route.objectiveMs * maxWaitObjectiveShare;
        return endpoint.load < 1 || (fits && inTime);
    }
}

/** Provides the cost of each service. */
export class SelectionCosts {
    private readonly plain: SelectionCost;
    private readonly byEngine = new WeakMap<EngineSpec, SelectionCost>();

    /** `interference`: loads of engines that long prompts and streams share; undefined if it is never considered. */
    public constructor(
        private readonly dataCentre: string,
        private readonly throughput: ThroughputTable,
        private readonly interference?: StreamInterference,
        plainServices = noPlainServiceContext,
    ) {
        this.plain = new PlainServiceCost(dataCentre, plainServices);
    }

    /** `engine`: specification of the service's model engines; undefined for other services. */
    public for(engine: EngineSpec | undefined): SelectionCost {
        if (engine === undefined) {
            return this.plain;
        }
        let cost = this.byEngine.get(engine);
        if (cost === undefined) {
            const queued = new QueuedTokensCost(this.dataCentre, engine, this.throughput);
            cost = this.interference === undefined
                ? queued
                : new InterferenceCost(this.dataCentre, this.interference, engine, queued);
            this.byEngine.set(engine, cost);
        }
        return cost;
    }
}

/** Chooses an upstream by rendezvous hashing, so that all entries agree on it. */
function stickyEndpoint(
    request: InboundRequest,
    open: readonly UpstreamEndpoint[],
): UpstreamEndpoint | undefined {
    const key = affinityKey(request);
    return key === undefined
        ? undefined
        : open.reduce((best, endpoint) => affinityScore(key, endpoint) > affinityScore(key, best) ? endpoint : best);
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
