/** Plans loads of adapters, and the unloads that free slots or memory for them. */
import { type ItemNeed } from "./demands.js";
import {
    isAdapterOverdue,
    isAdapterRequestedAgain,
    needsOtherHolder,
    owedRequests,
    patienceMsOf,
} from "./overdueneeds.js";
import { type EngineSnapshot, type PlannedOrder, type UnmetNeed } from "./plans.js";
import { type PlanState } from "./planstates.js";

/** Share of an engine's request slots that one adapter may use before it is loaded on another engine. */
const slotShareBeforeReplication = 0.25;
/** An adapter that was requested within this time stays loaded, unless all places are as busy. */
const adapterIdleThresholdMs = 1500;
/** An adapter that was overdue keeps its place for this long once it is served, in milliseconds. */
const minHoldMs = 2000;
/**
 * Turn of an adapter whose place an overdue one of the same demand takes, in milliseconds; it is longer the more its demand
 * exceeds the other's.
 */
const turnMs = 3000;
/** Share of an engine's adapter places that may be emptied for overdue adapters at the same time. */
const emptiedPlacesShare = 0.25;
/** Share of an engine's adapter places that others are emptied for while their adapters wait for callers. */
const keptPlacesShare = 0.25;
/** Requests per second that each loaded adapter adds to its engine's adapter demand, to spread adapters evenly. */
const baseRatePerAdapter = 0.5;

export class AdapterPlanner {
    /** Demand for adapters that have unserved requests and are loaded nowhere; computed on first use. */
    private unservedNeeds: readonly ItemNeed[] | undefined;

    /** Demand for overdue adapters that no engine holds or loads; computed on first use. */
    private overdueNeeds: readonly ItemNeed[] | undefined;

    /** Number of places that are being emptied and that overdue adapters have claimed, by engine. */
    private readonly claimedPlaces = new Map<string, number>();

    public constructor(private readonly state: PlanState) {}

    /** Orders for adapters that are in demand and loaded on too few ready engines. */
    public orders(): PlannedOrder[] {
        const needs = this.state.declaredNeeds.filter(({ key }) => key.adapter !== "");
        const overdue = needs.filter(isAdapterOverdue).sort((a, b) => b.unservedMs - a.unservedMs);
        const others = needs
            .filter(need => need.unserved > 0 || need.idleMs < adapterIdleThresholdMs)
            .sort((a, b) => b.unserved - a.unserved || b.rate - a.rate);
        const orders = overdue.flatMap(need => this.orderFor(need, true) ?? []);
        return [...orders, ...others.flatMap(need => isAdapterOverdue(need) ? [] : this.orderFor(need, false) ?? [])];
    }

    /** Adapters with unserved requests that no engine holds or loads although one holds their model. */
    public unmet(): UnmetNeed[] {
        return this.state.declaredNeeds
            .filter(({ key, unserved }) => key.adapter !== "" && unserved > 0)
            .filter(({ key }) => this.readyHolders(key.model).length > 0 && !this.state.isPlaced(key))
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
        this.unservedNeeds ??= this.state.declaredNeeds.filter(({ key, unserved }) =>
            key.adapter !== "" && unserved > 0 && !this.isLoadedAnywhere(key.model, key.adapter)
        );
        return this.unservedNeeds.some(need =>
            engine.models.get(need.key.model)?.isReady === true && this.placementOrder(engine, need) !== undefined
        );
    }

    /**
     * Whether an overdue adapter has a free place on an engine, and on no other one that could load it now. It is loaded in
     * milliseconds; a model's load would keep all adapters of the engine's models out for seconds.
     */
    public isOnlyPlaceForOverdue(engine: EngineSnapshot): boolean {
        this.overdueNeeds ??= this.state.declaredNeeds.filter(need =>
            need.key.adapter !== "" && isAdapterOverdue(need) && !this.state.isPlaced(need.key)
        );
        return this.overdueNeeds.some(({ key: { model } }) => {
            const able = this.readyHolders(model).filter(each =>
                each.freeAdapterLoads > 0 && this.hasPlace(each, model)
            );
            return able.length === 1 && able[0] === engine;
        });
    }

    private orderFor(need: ItemNeed, isOverdue: boolean): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const { state } = this;
        const holders = this.readyHolders(model);
        const stageAt = (engine: EngineSnapshot) => engine.models.get(model)!.adapters.get(adapter);
        const replicas = holders.filter(engine => stageAt(engine) === "coming" || stageAt(engine) === "held");
        const isSufficient = replicas.length >= this.neededReplicas(need.running);
        const servesNothing = needsOtherHolder(need.unservedAtHoldersMs, replicas.length, patienceMsOf(need.key));
        if (isSufficient && replicas.length > 0 && !servesNothing) {
            return undefined;
        }
        const candidates = holders
            .filter(engine => stageAt(engine) === undefined && this.isAvailable(engine))
            .sort((a, b) => this.adapterDemand(a) - this.adapterDemand(b));
        // An overdue adapter takes a place that is free rather than one that has to be emptied.
        const withPlace = isOverdue ? candidates.filter(engine => this.hasPlace(engine, model)) : [];
        for (const engine of [...withPlace, ...candidates]) {
            const order = this.placementOrder(engine, need);
            if (order !== undefined) {
                state.assignedEngines.add(engine.id);
                return order;
            }
        }
        return isOverdue && replicas.length === 0 && !this.claimEmptiedPlace(holders)
            ? this.turnOrder(candidates, need)
            : undefined;
    }

    /** Claims a place that is being emptied on one of the engines for an overdue adapter; false if all are claimed. */
    private claimEmptiedPlace(engines: readonly EngineSnapshot[]): boolean {
        const engine = engines.find(each => unloadingAdapterCount(each) > (this.claimedPlaces.get(each.id) ?? 0));
        if (engine === undefined) {
            return false;
        }
        this.claimedPlaces.set(engine.id, (this.claimedPlaces.get(engine.id) ?? 0) + 1);
        return true;
    }

    /** The order that takes a place from the adapter that needs it least, if its turn is over. */
    private turnOrder(engines: readonly EngineSnapshot[], need: ItemNeed): PlannedOrder | undefined {
        const options = engines.filter(engine => this.mayEmptyPlace(engine) && this.mayKeepAnother(engine)).flatMap(
            engine =>
                loadedAdapters(engine).map(held => ({
                    engine,
                    ...held,
                    need: this.state.adapterNeed(held.model, held.adapter),
                })),
        ).flatMap(option => {
            const cost = option.need === undefined ? 0 : this.isSurplus(option.need) ? 0 : option.need.rate;
            const isOver = owedRequests(need) >= turnMs / 1000 * cost;
            return isOver && !(option.need !== undefined && isHeldBack(option.need)) ? [{ ...option, cost }] : [];
        });
        const victim = options.sort((a, b) => a.cost - b.cost)[0];
        if (victim === undefined) {
            return undefined;
        }
        this.state.assignedEngines.add(victim.engine.id);
        return unloadOrder(victim.engine, victim, need);
    }

    private mayEmptyPlace(engine: EngineSnapshot): boolean {
        const limit = Math.max(1, Math.floor(this.state.input.spec.adapterPlaces * emptiedPlacesShare));
        return unloadingAdapterCount(engine) < limit;
    }

    /** Whether a place may be taken for one more adapter that waits for its callers. */
    private mayKeepAnother(engine: EngineSnapshot): boolean {
        const kept = loadedAdapters(engine).filter(({ model, adapter }) => {
            const need = this.state.adapterNeed(model, adapter);
            return need !== undefined && isAdapterRequestedAgain(need);
        });
        return kept.length < Math.max(1, Math.floor(this.state.input.spec.adapterPlaces * keptPlacesShare));
    }

    /** Whether more engines hold the adapter than its running requests need. */
    private isSurplus({ key: { model, adapter }, running }: ItemNeed): boolean {
        const held = this.state.holders(model)
            .filter(engine => engine.models.get(model)!.adapters.get(adapter) === "held").length;
        return held > 1 && held > this.neededReplicas(running);
    }

    private neededReplicas(running: number): number {
        return 1 + Math.floor(running / (this.state.input.spec.slots * slotShareBeforeReplication));
    }

    /** The order that loads an adapter on an engine or unloads another one for it; undefined if none of its adapters is idle. */
    private placementOrder(engine: EngineSnapshot, need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        if (this.hasPlace(engine, model)) {
            return {
                engine: engine.id,
                order: { kind: "load", model, adapter },
                fromStore: false,
                reason: `demand ${need.rate.toFixed(1)}/s, ${need.unserved} unserved`,
            };
        }
        const victim = this.longestIdleAdapter(engine);
        return victim === undefined ? undefined : unloadOrder(engine, victim, need);
    }

    /** The adapter that has been idle for longest; undefined while another one is being unloaded. */
    private longestIdleAdapter(engine: EngineSnapshot): { model: string; adapter: string; } | undefined {
        if (unloadingAdapterCount(engine) > 0) {
            return undefined;
        }
        const loaded = loadedAdapters(engine).map(({ model, adapter }) => {
            const need = this.state.adapterNeed(model, adapter);
            return {
                model,
                adapter,
                idleMs: need?.idleMs ?? Number.POSITIVE_INFINITY,
                running: need?.running ?? 0,
                isHeldBack: need !== undefined && isHeldBack(need),
            };
        });
        const victim = loaded
            .filter(held => held.idleMs > adapterIdleThresholdMs && held.running === 0 && !held.isHeldBack)
            .sort((a, b) => b.idleMs - a.idleMs)[0];
        return victim === undefined ? undefined : { model: victim.model, adapter: victim.adapter };
    }

    /** Whether an engine has a free place, and memory, for one more adapter of a model. */
    private hasPlace(engine: EngineSnapshot, model: string): boolean {
        return adapterCount(engine) < this.state.input.spec.adapterPlaces
            && this.state.fitsAdapter(engine, model);
    }

    private readyHolders(model: string): EngineSnapshot[] {
        return this.state.holders(model).filter(engine => engine.models.get(model)!.isReady);
    }

    private isAvailable(engine: EngineSnapshot): boolean {
        return engine.freeAdapterLoads > 0 && !this.state.assignedEngines.has(engine.id);
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

function unloadingAdapterCount(engine: EngineSnapshot): number {
    return [...engine.models.values()]
        .flatMap(({ adapters }) => [...adapters.values()])
        .filter(stage => stage === "leaving").length;
}

/** An adapter that an engine holds. */
interface LoadedAdapter {
    readonly model: string;
    readonly adapter: string;
}

function loadedAdapters(engine: EngineSnapshot): LoadedAdapter[] {
    return [...engine.models].flatMap(([model, { adapters }]) =>
        [...adapters].filter(([, stage]) => stage === "held").map(([adapter]) => ({ model, adapter }))
    );
}

function unloadOrder(engine: EngineSnapshot, { model, adapter }: LoadedAdapter, { key }: ItemNeed): PlannedOrder {
    return {
        engine: engine.id,
        order: { kind: "unload", model, adapter },
        fromStore: false,
        reason: `makes room for ${key.model}/${key.adapter}`,
    };
}

/** Whether an adapter keeps its place: it waits for its first request after a load, or has only just been served. */
function isHeldBack(need: ItemNeed): boolean {
    return need.unserved > 0 || isAdapterRequestedAgain(need) || need.recoveredMs < minHoldMs;
}
