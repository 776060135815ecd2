/** Upstreams that an entry can send requests to. */
import { type Configuration } from "@winchpath/declarations";
import { type FleetView, supersedes, type Upstream, UpstreamState } from "@winchpath/fleet";
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

    /** Whether upstreams of several software versions accept new requests of a service. */
    public hasSeveralVersions(service: string): boolean {
        const [first, ...others] = this.ready(service);
        return others.some(({ description }) => description.softwareVersion !== first.description.softwareVersion);
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
