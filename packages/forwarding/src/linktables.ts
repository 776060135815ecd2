/** The upstreams that an entry may send to. */
import { type Configuration } from "@winchpath/declarations";
import { type FleetView, succeeds, type Upstream, UpstreamState } from "@winchpath/fleet";
import { UpstreamLink } from "./links.js";

/** Connections to an upstream that an entry may open, whatever its share of them would be. */
const fewestConnections = 4;
/** Share of an upstream's connections that all entries use together. */
const connectionShare = 0.8;

export class LinkTable {
    private readonly links = new Map<string, UpstreamLink>();

    public constructor(private readonly view: FleetView<Configuration>) {}

    /** Follows what the view knows now. */
    public refresh(): void {
        const known = new Set<string>();
        for (const upstream of this.view.upstreams()) {
            known.add(upstream.id);
            const link = this.links.get(upstream.id);
            if (link === undefined) {
                this.links.set(upstream.id, new UpstreamLink(upstream, this.connectionsFor(upstream)));
            }
            else {
                link.update(upstream);
            }
        }
        for (const [id, link] of this.links) {
            if (!known.has(id)) {
                this.links.delete(id);
                this.end(link);
            }
        }
    }

    /** Requests at an upstream that has left end there; one that has started anew knows nothing of them. */
    private end(link: UpstreamLink): void {
        const successor = this.view.named(link.description.name);
        if (successor !== undefined && succeeds(successor, link.description)) {
            link.cut();
        }
        else {
            link.close();
        }
    }

    /** Upstreams of a service that take new requests. */
    public ready(service: string): UpstreamLink[] {
        return [...this.links.values()].filter(({ id, description }) =>
            description.service === service && description.state === UpstreamState.READY
            && !this.view.availability.isLeaving(id)
        );
    }

    /** Whether an upstream still takes new requests; asked right before one is sent. */
    public isReady(link: UpstreamLink): boolean {
        return this.links.get(link.id) === link && link.description.state === UpstreamState.READY
            && this.view.availability.sendable(link.id).kind === "open";
    }

    public close(): void {
        this.links.forEach(link => link.close());
        this.links.clear();
    }

    private connectionsFor(upstream: Upstream): number {
        const service = this.view.configuration?.services.find(({ name }) => name === upstream.service);
        const share = Math.floor((service?.maxConnections ?? 0) * connectionShare / this.view.entries);
        return Math.max(fewestConnections, share);
    }
}
