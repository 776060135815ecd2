/**
 * Which orders are worth giving now. A pure function of what is known: the
 * engines, what they hold, and what callers ask for.
 */
import { type EngineSpec } from "@winchpath/declarations";
import { AdapterPlanner } from "./adapterplans.js";
import { type ItemNeed } from "./demands.js";
import { type LoadOption, ModelValues } from "./modelvalues.js";
import { type EngineOrder } from "./orders.js";
import { type ModelNeed, PlanState } from "./planstates.js";

/** An engine that takes orders, as the plan sees it. */
export interface PlannedEngine {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    /** What it holds and what is under way to it, by model. */
    readonly models: ReadonlyMap<string, PlannedModel>;
    /** The model that room is being made for; it counts as under way. */
    readonly coming: string | undefined;
    /** Whether it can be given an order that loads or unloads a model. */
    readonly takesModels: boolean;
    /** Adapters that may be ordered before one of those under way has arrived. */
    readonly freeTransits: number;
    /** Models of which its host keeps a copy. */
    readonly inMemory: ReadonlySet<string>;
    readonly onDisk: ReadonlySet<string>;
}

export interface PlannedModel {
    readonly ready: boolean;
    readonly leaving: boolean;
    /** Adapters by name; each takes a place, whatever its stage. */
    readonly adapters: ReadonlyMap<string, AdapterStage>;
}

/** An adapter on its way out waits for the requests that run on it, and takes no others. */
export type AdapterStage = "coming" | "held" | "leaving";

/** What a plan is made for: one service with its engines and its demand. */
export interface PlanInput {
    readonly service: string;
    readonly spec: EngineSpec;
    readonly engines: readonly PlannedEngine[];
    readonly needs: readonly ItemNeed[];
    /** Loads from the weight store that may start now. */
    readonly storeStarts: number;
    /** Work for a model that one engine can do in a second, in tokens of a prompt; undefined where it is not known yet. */
    readonly capacityOf: (model: string) => number | undefined;
}

/** An order with the engine that is to get it, and why. */
export interface PlannedOrder {
    readonly engine: string;
    readonly order: EngineOrder;
    readonly fromStore: boolean;
    readonly reason: string;
    /** The model that an unload makes room for. */
    readonly coming?: string;
}

/** A model that requests wait for and that nothing is done for now, and why. */
export interface UnmetNeed {
    readonly model: string;
    readonly rate: number;
    readonly lacking: number;
    /** Engines that could take an order now. */
    readonly freeEngines: number;
    /** Requests that the best load would save, less those that it would cost; undefined where none is possible. */
    readonly bestNet: number | undefined;
}

export interface Plan {
    /** The next orders, at most one for each engine, the most useful first. */
    readonly orders: readonly PlannedOrder[];
    readonly unmet: readonly UnmetNeed[];
}

export function planOrders(input: PlanInput): Plan {
    const state = new PlanState(input);
    const adapters = new AdapterPlanner(state);
    const adapterOrders = adapters.orders();
    const models = new ModelPlanner(state, adapters);
    return { orders: [...adapterOrders, ...models.orders()], unmet: models.unmet() };
}

/** Loads of models that are lacking or overloaded, and the unloads that make room for them. */
class ModelPlanner {
    private readonly values: ModelValues;
    private storeStarts: number;

    public constructor(private readonly state: PlanState, private readonly adapters: AdapterPlanner) {
        this.values = new ModelValues(state);
        this.storeStarts = state.input.storeStarts;
    }

    public orders(): PlannedOrder[] {
        const wanted = this.state.models
            .filter(need => this.values.mayGain(need))
            .flatMap(need => this.bestFor(need) ?? [])
            .sort((a, b) => b.option.net - a.option.net);
        return [...this.pendingOrders(), ...wanted.flatMap(({ need }) => this.orderFor(need) ?? [])];
    }

    public unmet(): UnmetNeed[] {
        return this.state.models
            .filter(({ model, lacking }) => lacking > 0 && this.state.replicas(model.name) === 0)
            .map(need => {
                const free = this.state.input.engines.filter(engine => this.isFree(engine));
                const nets = free.flatMap(engine => this.values.bestOption(engine, need)?.net ?? []);
                return {
                    model: need.model.name,
                    rate: need.rate,
                    lacking: need.lacking,
                    freeEngines: free.length,
                    bestNet: nets.length === 0 ? undefined : Math.max(...nets),
                };
            });
    }

    /** Loads that room was made for, those first that are asked for most. */
    private pendingOrders(): PlannedOrder[] {
        const pending = this.state.input.engines.flatMap(engine => {
            const need = engine.coming === undefined ? undefined : this.state.modelNeed(engine.coming);
            const waits = need !== undefined && this.isFree(engine) && !engine.models.has(need.model.name);
            return waits ? [{ engine, need }] : [];
        });
        pending.sort((a, b) => b.need.lacking - a.need.lacking || b.need.rate - a.need.rate);
        return pending.flatMap(({ engine, need }) => {
            this.state.taken.add(engine.id);
            if (this.state.fits(engine, need.model.sizeMb)) {
                return this.load(engine, need) ?? [];
            }
            const victim = this.values.bestOption(engine, need)?.victim;
            return victim === undefined ? [] : this.makeRoom(engine, need, victim);
        });
    }

    /** What is best may have changed by what was planned before. */
    private orderFor(need: ModelNeed): PlannedOrder | undefined {
        const option = this.bestFor(need)?.option;
        // What is given up for something better is not brought back at the cost of a third one.
        if (option === undefined || this.state.isDropped(need.model.name)) {
            return undefined;
        }
        const { engine, victim } = option;
        const order = victim === undefined ? this.load(engine, need) : this.makeRoom(engine, need, victim);
        if (order !== undefined) {
            this.state.taken.add(engine.id);
            this.state.plansReplica(need.model.name);
        }
        return order;
    }

    private bestFor(need: ModelNeed): { readonly need: ModelNeed; readonly option: LoadOption; } | undefined {
        let best: LoadOption | undefined;
        for (const engine of this.state.input.engines) {
            if (!this.isFree(engine) || engine.coming !== undefined || engine.models.has(need.model.name)) {
                continue;
            }
            if (this.storeStarts <= 0 && isFromStore(engine, need)) {
                continue;
            }
            const option = this.values.bestOption(engine, need);
            if (option !== undefined && option.net > (best?.net ?? 0) && !this.adapters.lacksAdapters(engine)) {
                best = option;
            }
        }
        return best === undefined ? undefined : { need, option: best };
    }

    private isFree(engine: PlannedEngine): boolean {
        return engine.takesModels && !this.state.taken.has(engine.id);
    }

    private load(engine: PlannedEngine, need: ModelNeed): PlannedOrder | undefined {
        const { name } = need.model;
        const fromStore = isFromStore(engine, need);
        if (fromStore && this.storeStarts <= 0) {
            return undefined;
        }
        this.storeStarts -= fromStore ? 1 : 0;
        const reason = `asked for ${need.rate.toFixed(1)}/s, work ${Math.round(need.work)}, ${need.lacking} lacking`;
        return { engine: engine.id, order: { kind: "load", model: name, adapter: "" }, fromStore, reason };
    }

    private makeRoom(engine: PlannedEngine, need: ModelNeed, victim: ModelNeed): PlannedOrder {
        this.state.plansDrop(victim.model.name);
        return {
            engine: engine.id,
            coming: need.model.name,
            order: { kind: "unload", model: victim.model.name, adapter: "" },
            fromStore: false,
            reason: `makes room for ${need.model.name}`,
        };
    }
}

/** Whether the engine's host has no copy of the model's weights. */
function isFromStore(engine: PlannedEngine, need: ModelNeed): boolean {
    return !engine.inMemory.has(need.model.name) && !engine.onDisk.has(need.model.name);
}
