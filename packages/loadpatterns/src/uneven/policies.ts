/** Policies that select among upstreams of uneven pace, including rejected ones. */
import {
    type InboundRequest,
    OutstandingRequestsCost,
    type SelectionCost,
    type UpstreamEndpoint,
} from "@winchpath/forwarding";
import { type EntryState, type UnevenPolicy } from "./unevensimulations.js";

const dataCentre = "d";

/** The least outstanding requests, without paces. */
export class OutstandingPolicy implements UnevenPolicy {
    public readonly halfLifeMs = 0;
    private readonly cost: SelectionCost = new OutstandingRequestsCost(dataCentre);

    public select(request: InboundRequest, entry: EntryState): UpstreamEndpoint {
        return lowest(entry.endpoints, this.cost.costs(request, entry.endpoints), entry);
    }
}

/** The least expected completion, of all endpoints or of two random ones. */
export class PacePolicy implements UnevenPolicy {
    public constructor(public readonly halfLifeMs: number, private readonly choices: "all" | "two" = "all") {}

    public select(request: InboundRequest, entry: EntryState): UpstreamEndpoint {
        const candidates = this.choices === "all" ? entry.endpoints : randomPair(entry);
        return lowest(candidates, entry.cost.costs(request, candidates), entry);
    }
}

/** The least expected completion by reported and learned paces only, without the age of requests in flight. */
export class ReportsOnlyPolicy implements UnevenPolicy {
    public constructor(public readonly halfLifeMs: number) {}

    public select({ service }: InboundRequest, entry: EntryState): UpstreamEndpoint {
        const { endpoints, paces } = entry;
        return lowest(endpoints, endpoints.map(({ id, load }) => (load + 1) * paces.pace(service, id)), entry);
    }
}

/** The least expected completion if requests don't delay each other while the upstream has free slots. */
export class QueuePolicy implements UnevenPolicy {
    public constructor(public readonly halfLifeMs: number) {}

    public select(request: InboundRequest, entry: EntryState): UpstreamEndpoint {
        const costs = entry.cost.costs(request, entry.endpoints);
        const queueCosts = entry.endpoints.map(({ load, description }, index) =>
            costs[index] * Math.max(1, description.slots / (load + 1))
        );
        return lowest(entry.endpoints, queueCosts, entry);
    }
}

function lowest(
    candidates: readonly UpstreamEndpoint[],
    costs: readonly number[],
    { random }: EntryState,
): UpstreamEndpoint {
    return candidates
        .map((endpoint, index) => ({ endpoint, cost: costs[index], tie: random.uniform() }))
        .sort((a, b) => a.cost - b.cost || a.tie - b.tie)[0].endpoint;
}

function randomPair({ endpoints, random }: EntryState): UpstreamEndpoint[] {
    const first = random.integerBelow(endpoints.length);
    const step = 1 + random.integerBelow(endpoints.length - 1);
    return [endpoints[first], endpoints[(first + step) % endpoints.length]];
}
