/** Which adapters are worth loading now, and which give up their places. */
import { type ItemNeed } from "./demands.js";
import { type PlannedEngine, type PlannedOrder } from "./plans.js";
import { type PlanState } from "./planstates.js";

/** Requests for one adapter that run on one engine before it is loaded on another: a share of its slots. */
const adapterFullShare = 0.25;
/** An adapter that was asked for in this time keeps its place, unless all places are as busy. */
const adapterIdleMs = 1500;
/** What a held adapter adds to its engine's demand beside its own, in requests a second: places are spread evenly. */
const perHeldAdapter = 0.5;

export class AdapterPlanner {
    /** Adapters that requests wait for and no engine has. */
    private lacking: readonly ItemNeed[] | undefined;

    public constructor(private readonly state: PlanState) {}

    /** Loads of adapters that somebody asks for and no ready engine holds, or too few do. */
    public orders(): PlannedOrder[] {
        const wanted = this.state.input.needs
            .filter(need => need.key.adapter !== "" && (need.lacking > 0 || need.idleMs < adapterIdleMs))
            .sort((a, b) => b.lacking - a.lacking || b.rate - a.rate);
        return wanted.flatMap(need => this.orderFor(need) ?? []);
    }

    /**
     * Whether an engine has places for adapters of its models that are waited
     * for: it takes no orders for them while it loads a model.
     */
    public lacksAdapters(engine: PlannedEngine): boolean {
        this.lacking ??= this.state.input.needs.filter(({ key, lacking }) =>
            key.adapter !== "" && lacking > 0 && !this.isAnywhere(key.model, key.adapter)
        );
        return this.lacking.some(need =>
            engine.models.get(need.key.model)?.ready === true && this.place(engine, need) !== undefined
        );
    }

    private orderFor(need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const { state } = this;
        const holders = state.holders(model).filter(engine => engine.models.get(model)!.ready);
        const stageAt = (engine: PlannedEngine) => engine.models.get(model)!.adapters.get(adapter);
        const having = holders.filter(engine => stageAt(engine) === "coming" || stageAt(engine) === "held");
        const enough = having.length >= 1 + Math.floor(need.running / (state.input.spec.slots * adapterFullShare));
        if (enough && having.length > 0) {
            return undefined;
        }
        const candidates = holders
            .filter(engine => stageAt(engine) === undefined && engine.freeTransits > 0 && !state.taken.has(engine.id))
            .sort((a, b) => this.pressure(a) - this.pressure(b));
        for (const engine of candidates) {
            const order = this.place(engine, need);
            if (order !== undefined) {
                state.taken.add(engine.id);
                return order;
            }
        }
        return undefined;
    }

    private place(engine: PlannedEngine, need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const { state } = this;
        if (
            adapterCount(engine) < state.input.spec.adapterPlaces && state.fits(engine, state.adapterMb(model))
        ) {
            return {
                engine: engine.id,
                order: { kind: "load", model, adapter },
                fromStore: false,
                reason: `asked for ${need.rate.toFixed(1)}/s, ${need.lacking} lacking`,
            };
        }
        const victim = this.idleAdapter(engine);
        return victim === undefined ? undefined : {
            engine: engine.id,
            order: { kind: "unload", ...victim },
            fromStore: false,
            reason: `makes room for ${model}/${adapter}`,
        };
    }

    /** The adapter that was not asked for the longest; none while a place is being freed, however long that takes. */
    private idleAdapter(engine: PlannedEngine): { model: string; adapter: string; } | undefined {
        if (hasLeavingAdapter(engine)) {
            return undefined;
        }
        const idle = [...engine.models].flatMap(([model, held]) =>
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
        const victim = idle.filter(({ idleMs, running }) => idleMs > adapterIdleMs && running === 0)
            .sort((a, b) => b.idleMs - a.idleMs)[0];
        return victim === undefined ? undefined : { model: victim.model, adapter: victim.adapter };
    }

    private isAnywhere(model: string, adapter: string): boolean {
        return this.state.holders(model).some(engine => engine.models.get(model)!.adapters.get(adapter) === "held");
    }

    /** Demand for the adapters that an engine holds. */
    private pressure(engine: PlannedEngine): number {
        let rate = 0;
        for (const [model, held] of engine.models) {
            for (const adapter of held.adapters.keys()) {
                rate += perHeldAdapter + (this.state.adapterNeed(model, adapter)?.rate ?? 0);
            }
        }
        return rate;
    }
}

function adapterCount(engine: PlannedEngine): number {
    return [...engine.models.values()].reduce((count, held) => count + held.adapters.size, 0);
}

function hasLeavingAdapter(engine: PlannedEngine): boolean {
    return [...engine.models.values()].some(held => [...held.adapters.values()].includes("leaving"));
}
