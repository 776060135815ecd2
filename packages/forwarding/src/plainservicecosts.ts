/**
 * Compares the upstreams of a plain service by the expected completion of a request, where they report their pace.
 * Elsewhere by their requests in flight.
 */
import { eventLoop } from "@winchpath/core";
import { type InboundRequest } from "./inboundrequests.js";
import { OutstandingRequestsCost, type SelectionCost } from "./selectioncosts.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** Cost added to upstreams in other data centres, in requests. */
const remotePenaltyRequests = 0.5;
/**
 * Request bodies that an upstream holds for all entries together, in bytes. An upstream crashes if the requests that it
 * holds exceed its memory. Upstreams don't report how much they have: this assumes that each can hold 64 MiB of bodies,
 * and that all entries send it about as much.
 */
const maxHeldBytes = 64 * 1024 * 1024;

/** What the costs of a plain service depend on. */
export interface PlainServiceContext {
    /** Number of live entries. */
    readonly entries: number;
    /** Whether upstreams of the service report their pace. */
    isPaceReported(service: string): boolean;
    /** Expected duration of work at the upstream, as a multiple of the usual one; `now`: monotonic time until which responses were read. */
    pace(service: string, endpoint: UpstreamEndpoint, now: number): number;
}

export class PlainServiceCost implements SelectionCost {
    private readonly outstanding: OutstandingRequestsCost;

    public constructor(private readonly dataCentre: string, private readonly context: PlainServiceContext) {
        this.outstanding = new OutstandingRequestsCost(dataCentre);
    }

    /**
     * Costs in the time of one request at the usual pace: an upstream completes as many requests as it has slots in that
     * time, and the request is included.
     */
    public costs(request: InboundRequest, endpoints: readonly UpstreamEndpoint[]): number[] {
        if (!this.context.isPaceReported(request.service)) {
            return this.outstanding.costs(request, endpoints);
        }
        const now = eventLoop.readUntil;
        const meanSlots = endpoints.reduce((sum, { description }) => sum + description.slots, 0) / endpoints.length;
        const remotePenalty = remotePenaltyRequests / Math.max(1, meanSlots);
        return endpoints.map(endpoint => {
            const { load, description } = endpoint;
            return (load + 1) / Math.max(1, description.slots) * this.context.pace(request.service, endpoint, now)
                + (description.dataCentre !== this.dataCentre ? remotePenalty : 0);
        });
    }

    /** At most one attempt, for the reason given at {@link OutstandingRequestsCost.attemptCost}. */
    public attemptCost(request: InboundRequest, endpoint: UpstreamEndpoint, attempts: number): number {
        return this.context.isPaceReported(request.service)
            ? Math.min(1, attempts) * this.context.pace(request.service, endpoint, eventLoop.readUntil)
            : this.outstanding.attemptCost(request, endpoint, attempts);
    }

    public hasCapacity(request: InboundRequest, endpoint: UpstreamEndpoint): boolean {
        return this.outstanding.hasCapacity(request, endpoint)
            && (!this.context.isPaceReported(request.service) || this.hasRoomFor(request, endpoint));
    }

    /** Whether this entry's share of the bytes allows for the body; a single one is always accepted. */
    private hasRoomFor({ body }: InboundRequest, { bytesInFlight }: UpstreamEndpoint): boolean {
        return bytesInFlight === 0 || bytesInFlight + body.length <= maxHeldBytes / this.context.entries;
    }
}

/** Context of a service whose upstreams report nothing. */
export const noPlainServiceContext: PlainServiceContext = {
    entries: 1,
    isPaceReported: () => false,
    pace: () => 1,
};
