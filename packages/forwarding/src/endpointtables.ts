/** Upstreams that an entry can send requests to. */
import { type Configuration } from "@winchpath/declarations";
import { type FleetView, supersedes, type Upstream, UpstreamState } from "@winchpath/fleet";
import { type InboundRequest } from "./inboundrequests.js";
import { isOfVersion } from "./streamversions.js";
import { UpstreamEndpoint } from "./upstreamendpoints.js";

/** Minimum number of connections per entry and upstream. */
const minConnections = 4;
/** Fraction of an upstream's maximum connections that all entries together may open. */
const connectionShare = 0.8;

export class EndpointTable {
    private readonly endpoints = new Map<string, UpstreamEndpoint>();

    public constructor(private readonly view: FleetView<Configuration>) {}

    /** Applies the current fleet view. */
    public refresh(): void {
        const known = new Set<string>();
        for (const upstream of this.view.upstreams()) {
            known.add(upstream.id);
            const endpoint = this.endpoints.get(upstream.id);
            if (endpoint === undefined) {
                this.endpoints.set(upstream.id, new UpstreamEndpoint(upstream, this.connectionLimit(upstream)));
            }
            else {
                endpoint.update(upstream);
            }
        }
        for (const [id, endpoint] of this.endpoints) {
            if (!known.has(id)) {
                this.endpoints.delete(id);
                this.closeEndpoint(endpoint);
            }
        }
    }

    /** Lets requests finish on an upstream that is gone, unless it has restarted and lost them. */
    private closeEndpoint(endpoint: UpstreamEndpoint): void {
        const successor = this.view.getByName(endpoint.description.name);
        if (successor !== undefined && supersedes(successor, endpoint.description)) {
            endpoint.destroyConnections();
        }
        else {
            endpoint.close();
        }
    }

    /** Upstreams of a service that accept new requests. */
    public ready(service: string): UpstreamEndpoint[] {
        return [...this.endpoints.values()].filter(({ id, description }) =>
            description.service === service && description.state === UpstreamState.READY
            && !this.view.availability.isDraining(id)
        );
    }

    /** Whether upstreams accept requests of the service, but none of the version that began the request's stream. */
    public lacksVersionOf(request: InboundRequest): boolean {
        if (request.softwareVersion === undefined) {
            return false;
        }
        const ready = this.ready(request.service);
        return ready.length > 0 && !ready.some(endpoint => isOfVersion(request, endpoint));
    }

    /** Whether an upstream still accepts new requests; checked right before sending. */
    public isReady(endpoint: UpstreamEndpoint): boolean {
        return this.endpoints.get(endpoint.id) === endpoint && endpoint.description.state === UpstreamState.READY
            && this.view.availability.forSending(endpoint.id).kind === "open";
    }

    public close(): void {
        this.endpoints.forEach(endpoint => endpoint.close());
        this.endpoints.clear();
    }

    private connectionLimit(upstream: Upstream): number {
        const service = this.view.configuration?.services.find(({ name }) => name === upstream.service);
        const share = Math.floor((service?.maxConnections ?? 0) * connectionShare / this.view.entries);
        return Math.max(minConnections, share);
    }
}
