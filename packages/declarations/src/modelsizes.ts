/** Memory that models take, as configurations have declared it over time. */
import Type, { type Static } from "typebox";
import { type Configuration } from "./configurations.js";

/** Memory that a model takes on an engine, in megabytes (10^6 bytes). */
export const ModelSize = Type.Object({
    sizeMb: Type.Number({ minimum: 0 }),
    /** Memory of each of its adapters. */
    adapterMb: Type.Number({ minimum: 0 }),
});
export type ModelSize = Static<typeof ModelSize>;

/** The size that a configuration declares for a model of a service. */
export const DeclaredModelSize = Type.Object({
    service: Type.String({ minLength: 1 }),
    model: Type.String({ minLength: 1 }),
    size: ModelSize,
});
export type DeclaredModelSize = Static<typeof DeclaredModelSize>;

/** Models whose sizes are remembered after they were dropped from the configuration. */
const maxRememberedModels = 20_000;

/** Sizes of all models that engines of a configuration can hold. */
export function declaredModelSizes(configuration: Configuration): DeclaredModelSize[] {
    return configuration.services.flatMap(({ name: service, engine }) =>
        (engine?.models ?? [])
            // A model that exceeds the memory of its engines is loaded on none.
            .filter(({ sizeMb }) => sizeMb <= engine!.memoryMb)
            .map(({ name: model, sizeMb, adapterMb }) => ({ service, model, size: { sizeMb, adapterMb } }))
    );
}

/** The larger value of each dimension of two sizes. */
export function largerSize(a: ModelSize, b: ModelSize): ModelSize {
    return { sizeMb: Math.max(a.sizeMb, b.sizeMb), adapterMb: Math.max(a.adapterMb, b.adapterMb) };
}

/** The largest size that any configuration has declared for each model, also for models that are no longer declared. */
export class ModelSizeHistory {
    /** By service and model; those declared most recently are last. */
    private sizes = new Map<string, DeclaredModelSize>();

    /** Undefined for a model that no remembered configuration has declared. */
    public largest(service: string, model: string): ModelSize | undefined {
        return this.sizes.get(sizeKey(service, model))?.size;
    }

    /** Adds the sizes that a new configuration declares. */
    public add(declared: readonly DeclaredModelSize[]): void {
        for (const { service, model, size } of declared) {
            const key = sizeKey(service, model);
            const earlier = this.sizes.get(key)?.size ?? size;
            this.sizes.delete(key);
            this.sizes.set(key, { service, model, size: largerSize(earlier, size) });
        }
        while (this.sizes.size > Math.max(maxRememberedModels, declared.length)) {
            this.sizes.delete(this.sizes.keys().next().value!);
        }
    }

    public list(): DeclaredModelSize[] {
        return [...this.sizes.values()];
    }

    /** Replaces all sizes by those of a {@link list}. */
    public restore(sizes: readonly DeclaredModelSize[]): void {
        this.sizes = new Map(sizes.map(each => [sizeKey(each.service, each.model), each]));
    }
}

function sizeKey(service: string, model: string): string {
    return JSON.stringify([service, model]);
}
