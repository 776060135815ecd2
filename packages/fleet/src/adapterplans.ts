/** Plans loads of adapters, and the unloads that free slots or memory for them. */
import { type ItemNeed } from "./demands.js";
import { type EngineSnapshot, type PlannedOrder, type UnmetNeed } from "./plans.js";
import { type PlanState } from "./planstates.js";

/** Share of an engine's request slots that one adapter may use before it is loaded on another engine. */
const slotShareBeforeReplication = 0.25;
/** An adapter that was requested within this time stays loaded, unless all places are as busy. */
const adapterIdleThresholdMs = 1500;
/** Requests per second that each loaded adapter adds to its engine's adapter demand, to spread adapters evenly. */
const baseRatePerAdapter = 0.5;

export class AdapterPlanner {
    /** Demand for adapters that have unserved requests and are loaded nowhere; computed on first use. */
    private unservedNeeds: readonly ItemNeed[] | undefined;

    public constructor(private readonly state: PlanState) {}

    /** Orders for adapters that are in demand and loaded on too few ready engines. */
    public orders(): PlannedOrder[] {
        const candidates = this.state.input.needs
            .filter(need => need.key.adapter !== "" && (need.unserved > 0 || need.idleMs < adapterIdleThresholdMs))
            .sort((a, b) => b.unserved - a.unserved || b.rate - a.rate);
        return candidates.flatMap(need => this.orderFor(need) ?? []);
    }

    /** Adapters with unserved requests that no engine holds or loads although one holds their model. */
    public unmet(): UnmetNeed[] {
        return this.state.input.needs
            .filter(({ key, unserved }) => key.adapter !== "" && unserved > 0)
            .filter(({ key }) => this.readyHolders(key.model).length > 0 && !this.isPlacedAnywhere(key))
            .map(({ key: { model, adapter }, rate, unserved }) => {
                const available = this.readyHolders(model).filter(engine => this.isAvailable(engine));
                return {
                    model,
                    adapter,
                    rate,
                    unserved,
                    availableEngines: available.length,
                    bestNetBenefit: undefined,
                    reason: available.length === 0 ? "engines-busy" : "no-place",
                };
            });
    }

    /**
     * Whether an engine could load an adapter that has unserved requests. It accepts no adapter orders while
     * it loads a model.
     */
    public hasUnservedAdapters(engine: EngineSnapshot): boolean {
        this.unservedNeeds ??= this.state.input.needs.filter(({ key, unserved }) =>
            key.adapter !== "" && unserved > 0 && !this.isLoadedAnywhere(key.model, key.adapter)
        );
        return this.unservedNeeds.some(need =>
            engine.models.get(need.key.model)?.isReady === true && this.placementOrder(engine, need) !== undefined
        );
    }

    private orderFor(need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const { state } = this;
        const holders = this.readyHolders(model);
        const stageAt = (engine: EngineSnapshot) => engine.models.get(model)!.adapters.get(adapter);
        const replicas = holders.filter(engine => stageAt(engine) === "coming" || stageAt(engine) === "held");
        const isSufficient =
            replicas.length >= 1 + Math.floor(need.running / (state.input.spec.slots * slotShareBeforeReplication));
        if (isSufficient && replicas.length > 0) {
            return undefined;
        }
        const candidates = holders
            .filter(engine => stageAt(engine) === undefined && this.isAvailable(engine))
            .sort((a, b) => this.adapterDemand(a) - this.adapterDemand(b));
        for (const engine of candidates) {
            const order = this.placementOrder(engine, need);
            if (order !== undefined) {
                state.assignedEngines.add(engine.id);
                return order;
            }
        }
        return undefined;
    }

    /** The order that loads an adapter on an engine or unloads another one for it; undefined if none of its adapters is idle. */
    private placementOrder(engine: EngineSnapshot, need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const { state } = this;
        if (
            adapterCount(engine) < state.input.spec.adapterPlaces && state.fits(engine, state.adapterSizeMb(model))
        ) {
            return {
                engine: engine.id,
                order: { kind: "load", model, adapter },
                fromStore: false,
                reason: `demand ${need.rate.toFixed(1)}/s, ${need.unserved} unserved`,
            };
        }
        const victim = this.longestIdleAdapter(engine);
        return victim === undefined ? undefined : {
            engine: engine.id,
            order: { kind: "unload", ...victim },
            fromStore: false,
            reason: `makes room for ${model}/${adapter}`,
        };
    }

    /** The adapter that has been idle for longest; undefined while another one is being unloaded. */
    private longestIdleAdapter(engine: EngineSnapshot): { model: string; adapter: string; } | undefined {
        if (isUnloadingAdapter(engine)) {
            return undefined;
        }
        const loaded = [...engine.models].flatMap(([model, held]) =>
            [...held.adapters].filter(([, stage]) => stage === "held").map(([adapter]) => {
                const need = this.state.adapterNeed(model, adapter);
                return {
                    model,
                    adapter,
                    idleMs: need?.idleMs ?? Number.POSITIVE_INFINITY,
                    running: need?.running ?? 0,
                };
            })
        );
        const victim = loaded.filter(({ idleMs, running }) => idleMs > adapterIdleThresholdMs && running === 0)
            .sort((a, b) => b.idleMs - a.idleMs)[0];
        return victim === undefined ? undefined : { model: victim.model, adapter: victim.adapter };
    }

    private readyHolders(model: string): EngineSnapshot[] {
        return this.state.holders(model).filter(engine => engine.models.get(model)!.isReady);
    }

    private isAvailable(engine: EngineSnapshot): boolean {
        return engine.freeAdapterLoads > 0 && !this.state.assignedEngines.has(engine.id);
    }

    /** Whether an engine holds or loads the adapter. */
    private isPlacedAnywhere({ model, adapter }: { readonly model: string; readonly adapter: string; }): boolean {
        return this.state.holders(model).some(engine => {
            const stage = engine.models.get(model)!.adapters.get(adapter);
            return stage === "held" || stage === "coming";
        });
    }

    private isLoadedAnywhere(model: string, adapter: string): boolean {
        return this.state.holders(model).some(engine => engine.models.get(model)!.adapters.get(adapter) === "held");
    }

    /** Requests per second for the adapters of an engine, with a base rate for each. */
    private adapterDemand(engine: EngineSnapshot): number {
        let rate = 0;
        for (const [model, held] of engine.models) {
            for (const adapter of held.adapters.keys()) {
                rate += baseRatePerAdapter + (this.state.adapterNeed(model, adapter)?.rate ?? 0);
            }
        }
        return rate;
    }
}

function adapterCount(engine: EngineSnapshot): number {
    return [...engine.models.values()].reduce((count, held) => count + held.adapters.size, 0);
}

function isUnloadingAdapter(engine: EngineSnapshot): boolean {
    return [...engine.models.values()].some(held => [...held.adapters.values()].includes("leaving"));
}
