/** Memory that models take on the engines that hold them: a fact of what was loaded, not of what is declared now. */
import { type EngineSpec, largerSize, type ModelSize, type ModelSizeHistory } from "@winchpath/declarations";

/** Size of a model of which no declaration is known: nothing is proved free beside it. */
const unknownSize: ModelSize = { sizeMb: Number.POSITIVE_INFINITY, adapterMb: Number.POSITIVE_INFINITY };

/**
 * Upper bounds of the memory that held models take, for one leadership. A model that this leader has loaded takes at most the
 * largest size declared since; for one that it found, that is the largest size ever declared.
 */
export class HeldSizes {
    /** By upstream id and model. */
    private readonly sizes = new Map<string, Map<string, ModelSize>>();

    public constructor(private readonly history: () => Pick<ModelSizeHistory, "largest">) {}

    /** Records that a load is being ordered under the present declaration, at an engine that doesn't hold the model. */
    public startLoad(upstream: string, model: string, { models }: EngineSpec): void {
        const declared = models.find(({ name }) => name === model);
        if (declared !== undefined) {
            const { sizeMb, adapterMb } = declared;
            this.of(upstream).set(model, { sizeMb, adapterMb });
        }
    }

    /** Discards what was recorded for a load of a model that the engine has held already. */
    public cancelLoad(upstream: string, model: string): void {
        this.of(upstream).delete(model);
    }

    /**
     * Updates the bounds for the models that an engine holds, loads or unloads now.
     *
     * @returns the size of each of them, by name
     */
    public update(
        upstream: string,
        service: string,
        models: readonly string[],
        spec: EngineSpec,
    ): ReadonlyMap<string, ModelSize> {
        const earlier = this.of(upstream);
        const current = new Map(models.map((model): [string, ModelSize] => {
            const known = earlier.get(model) ?? this.history().largest(service, model);
            const declared = spec.models.find(({ name }) => name === model);
            if (declared === undefined) {
                return [model, known ?? unknownSize];
            }
            const { sizeMb, adapterMb } = declared;
            return [model, largerSize(known ?? { sizeMb, adapterMb }, { sizeMb, adapterMb })];
        }));
        this.sizes.set(upstream, current);
        return current;
    }

    /** Discards the sizes at an upstream that is gone. */
    public forget(upstream: string): void {
        this.sizes.delete(upstream);
    }

    private of(upstream: string): Map<string, ModelSize> {
        let sizes = this.sizes.get(upstream);
        if (sizes === undefined) {
            sizes = new Map();
            this.sizes.set(upstream, sizes);
        }
        return sizes;
    }
}
