/** The routing table of an entry: which upstreams are ready for what. */
import { type Catalogue } from "@winchpath/declarations";
import { type Registrar } from "@winchpath/upstream";
import { type Holder, holdersOf, holdersOfService, type RoutedReplica, routedReplicas } from "./replicas.js";

/** What the table is made of. */
export interface RoutingTableParts {
    readonly registrar: Registrar;
    readonly catalogue: () => Catalogue;
    /** Upstreams that are drained, with Date.now() as of when this process knows. */
    readonly drainedSince: () => ReadonlyMap<string, number>;
}

/**
 * Looks through all upstreams only once for each target, until an upstream or a
 * declaration changes; a request costs no more than its own target's replicas.
 */
export class RoutingTable {
    private holders = new Map<string, Holder[]>();
    private structure = -1;
    private revision = -1;

    public constructor(private readonly parts: RoutingTableParts) {}

    /** Replicas that are ready for a model or adapter now. */
    public replicasOf(name: string): RoutedReplica[] {
        const { registrar, catalogue } = this.parts;
        return this.routed(`target/${name}`, () => {
            const target = catalogue().target(name);
            return target === undefined ? [] : holdersOf(target, registrar.live());
        });
    }

    /** Upstreams of a plain service now. */
    public replicasOfService(name: string): RoutedReplica[] {
        return this.routed(`service/${name}`, () => holdersOfService(name, this.parts.registrar.live()));
    }

    private routed(key: string, find: () => Holder[]): RoutedReplica[] {
        const { registrar, drainedSince } = this.parts;
        this.forgetOld();
        let holders = this.holders.get(key);
        if (holders === undefined) {
            holders = find();
            this.holders.set(key, holders);
        }
        return routedReplicas(holders, upstream => registrar.find(upstream), drainedSince());
    }

    private forgetOld(): void {
        const { structure } = this.parts.registrar;
        const { revision } = this.parts.catalogue();
        if (structure !== this.structure || revision !== this.revision) {
            this.structure = structure;
            this.revision = revision;
            this.holders = new Map();
        }
    }
}
