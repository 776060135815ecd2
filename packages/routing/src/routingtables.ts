/** An entry's routing table: the ready upstreams of each target. */
import { type Catalogue } from "@winchpath/declarations";
import { type Registrar } from "@winchpath/upstream";
import {
    findServiceReplicas,
    findTargetReplicas,
    type RoutedReplica,
    routedReplicas,
    type TargetReplica,
} from "./replicas.js";

export interface RoutingTableDependencies {
    readonly registrar: Registrar;
    readonly catalogue: () => Catalogue;
    /** Drained upstreams, with the Date.now() at which this process learned of each. */
    readonly drainedSince: () => ReadonlyMap<string, number>;
}

/**
 * Caches the replicas of each target until upstreams or declarations change, so
 * that the cost of a request does not depend on the total number of upstreams.
 */
export class RoutingTable {
    private targetReplicas = new Map<string, TargetReplica[]>();
    private structure = -1;
    private revision = -1;

    public constructor(private readonly dependencies: RoutingTableDependencies) {}

    /** Returns the ready replicas of a model or adapter. */
    public replicasOf(name: string): RoutedReplica[] {
        const { registrar, catalogue } = this.dependencies;
        return this.resolve(`target/${name}`, () => {
            const target = catalogue().findTarget(name);
            return target === undefined ? [] : findTargetReplicas(target, registrar.live());
        });
    }

    /** Returns the upstreams of a plain service. */
    public replicasOfService(name: string): RoutedReplica[] {
        return this.resolve(`service/${name}`, () => findServiceReplicas(name, this.dependencies.registrar.live()));
    }

    private resolve(key: string, find: () => TargetReplica[]): RoutedReplica[] {
        const { registrar, drainedSince } = this.dependencies;
        this.invalidateIfChanged();
        let cached = this.targetReplicas.get(key);
        if (cached === undefined) {
            cached = find();
            this.targetReplicas.set(key, cached);
        }
        return routedReplicas(cached, upstream => registrar.find(upstream), drainedSince());
    }

    private invalidateIfChanged(): void {
        const { structureVersion: structure } = this.dependencies.registrar;
        const { revision } = this.dependencies.catalogue();
        if (structure !== this.structure || revision !== this.revision) {
            this.structure = structure;
            this.revision = revision;
            this.targetReplicas = new Map();
        }
    }
}
