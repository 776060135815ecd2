/** Plans load and unload orders for the engines of a service, as a pure function of their state and of demand. */
import { type EngineSpec } from "@winchpath/declarations";
import { AdapterPlanner } from "./adapterplans.js";
import { type ItemNeed } from "./demands.js";
import { type LoadOption, LoadScorer } from "./loadscorers.js";
import { type EngineOrder } from "./orders.js";
import { isModelOverdue, needsOtherHolder, patienceMsOf } from "./overdueneeds.js";
import { type ModelNeed, PlanState } from "./planstates.js";

/** State of an engine at the time of planning. */
export interface EngineSnapshot {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    /** Models that are loaded, loading or unloading, by name. */
    readonly models: ReadonlyMap<string, ModelSnapshot>;
    /** The model that memory is being freed for; it counts as a replica that is loading. */
    readonly pendingModel: string | undefined;
    /** Whether it accepts an order that loads or unloads a model. */
    readonly acceptsModelOrders: boolean;
    /** Further adapter loads that may run at the same time. */
    readonly freeAdapterLoads: number;
    /** Models of which its host keeps a copy in memory. */
    readonly inMemory: ReadonlySet<string>;
    /** Models of which its host keeps a copy on disk. */
    readonly onDisk: ReadonlySet<string>;
}

/** State of a model on one engine. */
export interface ModelSnapshot {
    readonly isReady: boolean;
    /** Whether it is being unloaded. */
    readonly isUnloading: boolean;
    /** Upper bound of the memory that it takes, whatever is declared now; infinite if no declaration is known. */
    readonly sizeMb: number;
    /** Upper bound of the memory that each of its adapters takes. */
    readonly adapterMb: number;
    /** Adapters by name; each occupies an adapter slot, whatever its stage. */
    readonly adapters: ReadonlyMap<string, AdapterStage>;
}

/** "coming": being loaded; "leaving": accepts no new requests and is unloaded once the running ones end. */
export type AdapterStage = "coming" | "held" | "leaving";

/** One service with its engines and its demand. */
export interface PlanInput {
    readonly service: string;
    readonly spec: EngineSpec;
    readonly engines: readonly EngineSnapshot[];
    readonly needs: readonly ItemNeed[];
    /** Number of loads from the weight store that may start now. */
    readonly storeLoadBudget: number;
    /** Prompt tokens per second that one engine can process for a model; undefined while unknown. */
    readonly throughputOf: (model: string) => number | undefined;
}

/** An order, the engine that it is for, and the reason that is logged. */
export interface PlannedOrder {
    readonly engine: string;
    readonly order: EngineOrder;
    /** Whether a load reads the weights from the weight store. */
    readonly fromStore: boolean;
    readonly reason: string;
    /** The model that an unload frees memory for. */
    readonly freesMemoryFor?: string;
}

/** Why a plan orders nothing for an item that has unserved requests and that no engine holds. */
export type UnmetReason =
    /** No engine accepts an order now. */
    | "engines-busy"
    /** All loads cost more requests than they save, or evict what is in use. */
    | "not-worthwhile"
    /** The weight store bears no further load now. */
    | "store-limit"
    /** All adapter places of the engines that hold the model are in use. */
    | "no-place";

/** An item with unserved requests that no engine holds or loads, and that the plan loads nowhere. */
export interface UnmetNeed {
    readonly model: string;
    /** Empty for a model. */
    readonly adapter: string;
    /** Requests per second. */
    readonly rate: number;
    /** Requests that wait for the item, or were recently rejected for lack of it. */
    readonly unserved: number;
    /** Number of engines that accept an order for it now. */
    readonly availableEngines: number;
    /** Net benefit of the best possible load of a model, in requests; undefined if no load is possible. */
    readonly bestNetBenefit: number | undefined;
    readonly reason: UnmetReason;
}

export interface PlacementPlan {
    /** At most one order for each engine, in order of priority. */
    readonly orders: readonly PlannedOrder[];
    readonly unmet: readonly UnmetNeed[];
}

/**
 * Plans the next orders: models that are overdue, then adapters, then unloads of models that are no longer declared, then
 * other models. An engine that alone has a place for an overdue adapter loads that first.
 */
export function planOrders(input: PlanInput): PlacementPlan {
    const state = new PlanState(input);
    const adapterPlanner = new AdapterPlanner(state);
    const modelPlanner = new ModelPlanner(state, adapterPlanner);
    const overdueOrders = modelPlanner.overdueOrders();
    const adapterOrders = adapterPlanner.orders();
    const undeclaredUnloads = modelPlanner.undeclaredUnloads();
    const orders = [...overdueOrders, ...adapterOrders, ...undeclaredUnloads, ...modelPlanner.orders()];
    return { orders, unmet: [...modelPlanner.unmet(), ...adapterPlanner.unmet()] };
}

/** Plans loads of models that have too few replicas, and the unloads that free memory for them. */
class ModelPlanner {
    private readonly loadScorer: LoadScorer;
    private storeLoadBudget: number;

    public constructor(private readonly state: PlanState, private readonly adapterPlanner: AdapterPlanner) {
        this.loadScorer = new LoadScorer(state);
        this.storeLoadBudget = state.input.storeLoadBudget;
    }

    public orders(): PlannedOrder[] {
        const candidates = this.state.models
            .filter(need => this.loadScorer.mayBenefit(need))
            .flatMap(need => this.bestLoad(need) ?? [])
            .sort((a, b) => b.option.netBenefit - a.option.netBenefit);
        return [...this.pendingOrders(undefined), ...candidates.flatMap(({ need }) => this.orderFor(need) ?? [])];
    }

    /** Orders for models that are overdue, the longest first, whatever other demand there is. */
    public overdueOrders(): PlannedOrder[] {
        const overdue = this.state.models.filter(isModelOverdue).sort((a, b) => b.unservedMs - a.unservedMs);
        if (overdue.length === 0) {
            return [];
        }
        const names = new Set(overdue.map(({ model }) => model.name));
        const pending = this.pendingOrders(names);
        return [...pending, ...overdue.flatMap(need => this.overdueOrder(need) ?? [])];
    }

    /** Unloads models that the service no longer declares, once no request runs on them: nothing can be sent to them. */
    public undeclaredUnloads(): PlannedOrder[] {
        return this.state.input.engines.filter(engine => this.isAvailable(engine)).flatMap(engine => {
            const undeclared = [...engine.models].find(([name, { isReady, isUnloading }]) =>
                isReady && !isUnloading && this.state.isUndeclared(name) && this.state.runningRequests(name) === 0
            );
            if (undeclared === undefined) {
                return [];
            }
            this.state.assignedEngines.add(engine.id);
            const order = { kind: "unload" as const, model: undeclared[0], adapter: "" };
            return [{ engine: engine.id, order, fromStore: false, reason: "no longer declared" }];
        });
    }

    private overdueOrder(need: ModelNeed): PlannedOrder | undefined {
        const { name } = need.model;
        const replicas = this.state.expectedReplicas(name);
        const lacksReplica = replicas === 0
            || (this.state.readyReplicas(name) === replicas
                && needsOtherHolder(need.unservedAtHoldersMs, replicas, patienceMsOf({ adapter: "" })));
        const option = lacksReplica ? this.bestOverdueLoad(need) : undefined;
        if (option === undefined) {
            return undefined;
        }
        const { engine, victim } = option;
        // Adapter loads keep an engine from loading models, so no further ones are planned there.
        this.state.assignedEngines.add(engine.id);
        this.state.addPlannedLoad(name);
        if (!engine.acceptsModelOrders) {
            return undefined;
        }
        return victim === undefined ? this.load(engine, need) : this.evict(engine, need, victim);
    }

    private bestOverdueLoad(need: ModelNeed): LoadOption | undefined {
        let best: LoadOption | undefined;
        for (const engine of this.state.input.engines) {
            const isBusy = this.state.assignedEngines.has(engine.id)
                || (!engine.acceptsModelOrders && engine.freeAdapterLoads <= 0);
            if (isBusy || !this.mayLoad(engine, need) || this.adapterPlanner.isOnlyPlaceForOverdue(engine)) {
                continue;
            }
            const option = this.loadScorer.bestOverdueOption(engine, need);
            if (option !== undefined && (best === undefined || option.netBenefit > best.netBenefit)) {
                best = option;
            }
        }
        return best;
    }

    public unmet(): UnmetNeed[] {
        return this.state.models
            .filter(({ model, unserved }) => unserved > 0 && this.state.expectedReplicas(model.name) === 0)
            .map(need => {
                const available = this.state.input.engines.filter(engine => this.isAvailable(engine));
                const netBenefits = available.flatMap(engine =>
                    this.loadScorer.bestOption(engine, need)?.netBenefit ?? []
                );
                return {
                    model: need.model.name,
                    adapter: "",
                    rate: need.rate,
                    unserved: need.unserved,
                    availableEngines: available.length,
                    bestNetBenefit: netBenefits.length === 0 ? undefined : Math.max(...netBenefits),
                    reason: this.unmetReason(need, available),
                };
            });
    }

    private unmetReason(need: ModelNeed, available: readonly EngineSnapshot[]): UnmetReason {
        if (available.length === 0) {
            return "engines-busy";
        }
        const lacksStore = this.storeLoadBudget <= 0 && available.every(engine => needsStore(engine, need));
        return lacksStore ? "store-limit" : "not-worthwhile";
    }

    /**
     * Continues replacements whose unload was ordered by an earlier plan, by descending demand.
     *
     * @param models those that are continued; undefined for all
     */
    private pendingOrders(models: ReadonlySet<string> | undefined): PlannedOrder[] {
        const pending = this.state.input.engines.flatMap(engine => {
            const need = this.state.pendingNeed(engine);
            const isPending = need !== undefined && this.isAvailable(engine) && !engine.models.has(need.model.name)
                && models?.has(need.model.name) !== false;
            return isPending ? [{ engine, need }] : [];
        });
        pending.sort((a, b) => b.need.unserved - a.need.unserved || b.need.rate - a.need.rate);
        return pending.flatMap(({ engine, need }) => {
            this.state.assignedEngines.add(engine.id);
            if (this.state.fitsModel(engine, need.model)) {
                return this.load(engine, need) ?? [];
            }
            const victim = this.loadScorer.bestOption(engine, need)?.victim;
            return victim === undefined ? [] : this.evict(engine, need, victim);
        });
    }

    private orderFor(need: ModelNeed): PlannedOrder | undefined {
        // Evaluated again, since orders that were planned meanwhile may have changed the best option.
        const option = this.bestLoad(need)?.option;
        // A model that this plan evicts is not reloaded elsewhere: that could evict a third model.
        if (option === undefined || this.state.hasPlannedUnload(need.model.name)) {
            return undefined;
        }
        const { engine, victim } = option;
        const order = victim === undefined ? this.load(engine, need) : this.evict(engine, need, victim);
        if (order !== undefined) {
            this.state.assignedEngines.add(engine.id);
            this.state.addPlannedLoad(need.model.name);
        }
        return order;
    }

    private bestLoad(need: ModelNeed): { readonly need: ModelNeed; readonly option: LoadOption; } | undefined {
        let best: LoadOption | undefined;
        for (const engine of this.state.input.engines) {
            if (!this.isAvailable(engine) || !this.mayLoad(engine, need)) {
                continue;
            }
            const option = this.loadScorer.bestOption(engine, need);
            if (
                option !== undefined && option.netBenefit > (best?.netBenefit ?? 0)
                && !this.adapterPlanner.hasUnservedAdapters(engine)
            ) {
                best = option;
            }
        }
        return best === undefined ? undefined : { need, option: best };
    }

    private mayLoad(engine: EngineSnapshot, need: ModelNeed): boolean {
        return this.state.pendingNeed(engine) === undefined && !engine.models.has(need.model.name)
            && (this.storeLoadBudget > 0 || !needsStore(engine, need));
    }

    private isAvailable(engine: EngineSnapshot): boolean {
        return engine.acceptsModelOrders && !this.state.assignedEngines.has(engine.id);
    }

    private load(engine: EngineSnapshot, need: ModelNeed): PlannedOrder | undefined {
        const { name } = need.model;
        const fromStore = needsStore(engine, need);
        if (fromStore && this.storeLoadBudget <= 0) {
            return undefined;
        }
        this.storeLoadBudget -= fromStore ? 1 : 0;
        const reason = `demand ${need.rate.toFixed(1)}/s, ${Math.round(need.work)} tokens/s, ${need.unserved} unserved`;
        return { engine: engine.id, order: { kind: "load", model: name, adapter: "" }, fromStore, reason };
    }

    private evict(engine: EngineSnapshot, need: ModelNeed, victim: ModelNeed): PlannedOrder {
        this.state.addPlannedUnload(victim.model.name);
        return {
            engine: engine.id,
            freesMemoryFor: need.model.name,
            order: { kind: "unload", model: victim.model.name, adapter: "" },
            fromStore: false,
            reason: `makes room for ${need.model.name}`,
        };
    }
}

/** Whether a load reads the weights from the store, since the engine's host has no copy of them. */
function needsStore(engine: EngineSnapshot, need: ModelNeed): boolean {
    return !engine.inMemory.has(need.model.name) && !engine.onDisk.has(need.model.name);
}
