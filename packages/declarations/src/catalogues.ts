/** A decoded view of the declarations, with sizes in bytes and adapters grouped by model. */
import { safeDecode } from "@winchpath/core";
import { type Declarations } from "./declarationstates.js";
import { AdapterSpec, ModelSpec, type Resource } from "./schemas.js";

/** A model or adapter at a specific version, as loaded by an engine. */
export interface Item {
    /** "name@version" */
    readonly id: string;
    readonly name: string;
    /** Accelerator memory: weights plus, for a model, the reserved cache. */
    readonly bytes: number;
}

export interface Model extends Item {
    readonly version: string;
    readonly priority: number;
    readonly minReplicas: number;
    readonly maxReplicas: number;
    /** Data centres in which it may be placed; undefined for all. */
    readonly dataCentres: readonly string[] | undefined;
    readonly adapters: readonly Item[];
    /** Version of the resource. */
    readonly revision: number;
}

/** A model or adapter that callers can request by name. */
export interface Target {
    /** The declared name. */
    readonly name: string;
    readonly model: Model;
    /** The requested adapter; undefined if the name is a model's. */
    readonly adapter: Item | undefined;
    /** Version of the requested resource. */
    readonly revision: number;
}

/** An immutable view of the declarations at one revision. */
export class Catalogue {
    public readonly models: readonly Model[];
    public readonly services: ReadonlyMap<string, number>;
    public readonly drained: ReadonlySet<string>;
    private readonly targets = new Map<string, Target>();

    public constructor(public readonly revision: number, resources: readonly Resource[]) {
        const adapters = resources.filter(resource => resource.kind === "Adapter");
        this.models = resources.filter(resource => resource.kind === "Model").map(resource =>
            toModel(resource, adapters)
        );
        this.services = new Map(
            resources.filter(resource => resource.kind === "Service").map(({ name, version }) => [name, version]),
        );
        this.drained = new Set(resources.filter(resource => resource.kind === "Drain").map(({ name }) => name));
        for (const model of this.models) {
            this.targets.set(model.name, { name: model.name, model, adapter: undefined, revision: model.revision });
            for (const adapter of model.adapters) {
                const revision = adapters.find(({ name }) => name === adapter.name)!.version;
                this.targets.set(adapter.name, { name: adapter.name, model, adapter, revision });
            }
        }
    }

    /** Resolves a model or adapter name. */
    public findTarget(name: string): Target | undefined {
        return this.targets.get(name);
    }

    /** All names that callers can request, sorted. */
    public targetNames(): string[] {
        return [...this.targets.keys()].sort();
    }
}

/** Caches the catalogue until the declarations change. */
export class CatalogueCache {
    private cached: Catalogue = new Catalogue(0, []);

    public constructor(private readonly declarations: Declarations) {}

    public get current(): Catalogue {
        if (this.cached.revision !== this.declarations.revision) {
            this.cached = new Catalogue(this.declarations.revision, this.declarations.list());
        }
        return this.cached;
    }
}

/** Accelerator memory of a model and all its adapters. */
export function bytesWithAdapters(model: Model): number {
    return model.adapters.reduce((sum, adapter) => sum + adapter.bytes, model.bytes);
}

function toModel(resource: Resource, adapters: readonly Resource[]): Model {
    const spec = safeDecode(ModelSpec, resource.spec).unwrap();
    return {
        id: `${resource.name}@${spec.version}`,
        name: resource.name,
        version: spec.version,
        bytes: spec.memory + spec.cache,
        priority: spec.priority,
        minReplicas: spec.minReplicas,
        maxReplicas: Math.max(spec.minReplicas, spec.maxReplicas),
        dataCentres: spec.dataCentres,
        adapters: adapters.map(toAdapterItem).filter(item => item.model === resource.name),
        revision: resource.version,
    };
}

function toAdapterItem(resource: Resource): Item & { readonly model: string; } {
    const spec = safeDecode(AdapterSpec, resource.spec).unwrap();
    return { id: `${resource.name}@${spec.version}`, name: resource.name, bytes: spec.memory, model: spec.model };
}
