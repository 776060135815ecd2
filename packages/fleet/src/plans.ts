/**
 * Which orders are worth giving now. A pure function of what is known: the
 * engines, what they hold, and what callers ask for.
 */
import { type EngineModel, type EngineSpec } from "@winchpath/declarations";
import { type ItemNeed } from "./demands.js";
import { type EngineOrder } from "./orders.js";

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
    readonly inMemory: ReadonlySet<string>;
    readonly onDisk: ReadonlySet<string>;
}

export interface PlannedModel {
    readonly ready: boolean;
    readonly leaving: boolean;
    /** Adapters by name; false while one is under way. */
    readonly adapters: ReadonlyMap<string, boolean>;
}

/** What a plan is made for: one service with its engines and its demand. */
export interface PlanInput {
    readonly service: string;
    readonly spec: EngineSpec;
    readonly engines: readonly PlannedEngine[];
    readonly needs: readonly ItemNeed[];
    /** Whether a load from the weight store may start now. */
    readonly storeOpen: boolean;
    /** Work that one engine can do in a second, in tokens of a prompt; undefined where it is not known yet. */
    readonly capacity: number | undefined;
    /** Milliseconds since demand is heard: nothing is known to have been idle for longer. */
    readonly heardMs: number;
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

/**
 * Work that one replica is planned for, as a share of what an engine can read:
 * above it, prompts queue for longer than they take to read.
 */
const replicaShare = 0.7;
/** Requests for one adapter that run on one engine before it is loaded on another: a share of its slots. */
const adapterFullShare = 0.25;
/** A request that nobody can serve counts like this much work a second, in tokens of a prompt. */
const lackingWork = 1000;
/** A model that was not asked for in this time may give up its last replica to one that nobody holds. */
const idleForLackingMs = 4000;
/** And in this time to another replica of a model that has too few. */
const idleForMoreMs = 10_000;
/** What an unload counts in the choice of an engine: it waits for what runs, in milliseconds. */
const unloadMs = 500;
/** What an engine's load counts in the choice of one, in milliseconds of load time for each full engine. */
const loadWeightMs = 4000;
/** An adapter that was asked for in this time keeps its place, unless all places are as busy. */
const adapterIdleMs = 1500;

interface ModelNeed {
    readonly model: EngineModel;
    readonly rate: number;
    readonly work: number;
    readonly lacking: number;
    readonly idleMs: number;
}

/** The next orders, at most one for each engine, the most useful first. */
export function planOrders(input: PlanInput): PlannedOrder[] {
    const planner = new Planner(input);
    return [...planner.adapterOrders(), ...planner.modelOrders()];
}

class Planner {
    private readonly needs: Map<string, ModelNeed>;
    private readonly taken = new Set<string>();
    private storeOpen: boolean;

    public constructor(private readonly input: PlanInput) {
        this.storeOpen = input.storeOpen;
        this.needs = new Map(input.spec.models.map(model => [model.name, needOfModel(model, input.needs)]));
    }

    /** Loads of adapters that somebody asks for and no ready engine holds, or too few do. */
    public adapterOrders(): PlannedOrder[] {
        const wanted = this.input.needs
            .filter(need => need.key.adapter !== "" && (need.lacking > 0 || need.idleMs < adapterIdleMs))
            .sort((a, b) => b.lacking - a.lacking || b.rate - a.rate);
        return wanted.flatMap(need => this.adapterOrder(need) ?? []);
    }

    /** Loads of models that are lacking or overloaded, and the unloads that make room for them. */
    public modelOrders(): PlannedOrder[] {
        const wanted = [...this.needs.values()]
            .filter(need => this.missingReplicas(need) > 0)
            .sort((a, b) => b.lacking - a.lacking || valueOf(b) - valueOf(a));
        return [...this.pendingOrders(), ...wanted.flatMap(need => this.modelOrder(need) ?? [])];
    }

    /** Loads that room was made for. */
    private pendingOrders(): PlannedOrder[] {
        return this.input.engines.flatMap(engine => {
            const need = engine.coming === undefined ? undefined : this.needs.get(engine.coming);
            if (
                need === undefined || !engine.takesModels || this.taken.has(engine.id)
                || engine.models.has(engine.coming!)
            ) {
                return [];
            }
            this.taken.add(engine.id);
            return this.step(engine, need) ?? [];
        });
    }

    private adapterOrder(need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const holders = this.holders(model).filter(engine => engine.models.get(model)!.ready);
        const having = holders.filter(engine => engine.models.get(model)!.adapters.has(adapter));
        const enough = having.length >= 1 + Math.floor(need.running / (this.input.spec.slots * adapterFullShare));
        if (enough && having.length > 0) {
            return undefined;
        }
        const candidates = holders
            .filter(engine => !having.includes(engine) && engine.freeTransits > 0 && !this.taken.has(engine.id))
            .sort((a, b) => this.adapterPressure(a) - this.adapterPressure(b));
        for (const engine of candidates) {
            const order = this.placeAdapter(engine, need);
            if (order !== undefined) {
                this.taken.add(engine.id);
                return order;
            }
        }
        return undefined;
    }

    private placeAdapter(engine: PlannedEngine, need: ItemNeed): PlannedOrder | undefined {
        const { model, adapter } = need.key;
        const reason = `asked for ${need.rate.toFixed(1)}/s, ${need.lacking} lacking`;
        if (adapterCount(engine) < this.input.spec.adapterPlaces && this.fits(engine, this.adapterMb(model))) {
            return { engine: engine.id, order: { kind: "load", model, adapter }, fromStore: false, reason };
        }
        const victim = this.idleAdapter(engine);
        return victim === undefined ? undefined : {
            engine: engine.id,
            order: { kind: "unload", ...victim },
            fromStore: false,
            reason: `makes room for ${model}/${adapter}`,
        };
    }

    /** The adapter that was not asked for the longest. */
    private idleAdapter(engine: PlannedEngine): { model: string; adapter: string; } | undefined {
        const idle = [...engine.models].flatMap(([model, held]) =>
            [...held.adapters].filter(([, ready]) => ready).map(([adapter]) => ({
                model,
                adapter,
                idleMs: this.adapterNeed(model, adapter)?.idleMs ?? Number.POSITIVE_INFINITY,
                running: this.adapterNeed(model, adapter)?.running ?? 0,
            }))
        );
        const victim = idle.filter(({ idleMs, running }) => idleMs > adapterIdleMs && running === 0)
            .sort((a, b) => b.idleMs - a.idleMs)[0];
        return victim === undefined ? undefined : { model: victim.model, adapter: victim.adapter };
    }

    private modelOrder(need: ModelNeed): PlannedOrder | undefined {
        const candidates = this.input.engines
            .filter(engine => engine.takesModels && engine.coming === undefined && !this.taken.has(engine.id))
            .filter(engine => !engine.models.has(need.model.name) && !this.lacksAdapters(engine))
            .map(engine => ({ engine, cost: this.costOf(engine, need) }))
            .filter(({ cost }) => cost !== undefined)
            .sort((a, b) => a.cost! - b.cost!);
        for (const { engine } of candidates) {
            const order = this.step(engine, need);
            if (order !== undefined) {
                this.taken.add(engine.id);
                return order;
            }
        }
        return undefined;
    }

    /** The next order on the way to hold a model; undefined where none can be given now. */
    private step(engine: PlannedEngine, need: ModelNeed): PlannedOrder | undefined {
        return this.fits(engine, need.model.sizeMb) ? this.load(engine, need) : this.makeRoom(engine, need);
    }

    private load(engine: PlannedEngine, need: ModelNeed): PlannedOrder | undefined {
        const { name } = need.model;
        const fromStore = !engine.inMemory.has(name) && !engine.onDisk.has(name);
        if (fromStore && !this.storeOpen) {
            return undefined;
        }
        this.storeOpen &&= !fromStore;
        const reason = `asked for ${need.rate.toFixed(1)}/s, work ${Math.round(need.work)}, ${need.lacking} lacking`;
        return { engine: engine.id, order: { kind: "load", model: name, adapter: "" }, fromStore, reason };
    }

    /** The unload that is due before the load fits; undefined where nothing can be given up. */
    private makeRoom(engine: PlannedEngine, need: ModelNeed): PlannedOrder | undefined {
        const victim = this.victim(engine, need);
        if (victim === undefined) {
            return undefined;
        }
        return {
            engine: engine.id,
            coming: need.model.name,
            order: { kind: "unload", model: victim.model.name, adapter: "" },
            fromStore: false,
            reason: `makes room for ${need.model.name}`,
        };
    }

    /** Time to load, with what the engine has to do already; undefined where it is not worth it. */
    private costOf(engine: PlannedEngine, need: ModelNeed): number | undefined {
        const loadMs = loadTime(engine, need.model);
        const cost = loadMs + this.fullnessOf(engine) * loadWeightMs + this.adapterRateOf(engine) * loadMs;
        if (this.fits(engine, need.model.sizeMb)) {
            return cost;
        }
        return this.victim(engine, need) === undefined ? undefined : cost + unloadMs;
    }

    /**
     * Whether adapters of its models are waited for that it has places for: it
     * takes no orders for them while it loads a model.
     */
    private lacksAdapters(engine: PlannedEngine): boolean {
        return this.input.needs.some(need => {
            const { model, adapter } = need.key;
            const waits = adapter !== "" && need.lacking > 0 && engine.models.get(model)?.ready === true;
            return waits && !this.isAnywhere(model, adapter) && this.placeAdapter(engine, need) !== undefined;
        });
    }

    private isAnywhere(model: string, adapter: string): boolean {
        return this.holders(model).some(engine => engine.models.get(model)!.adapters.get(adapter) === true);
    }

    /**
     * Requests a second for adapters of models that only this engine holds: it
     * takes no orders for them while it loads a model.
     */
    private adapterRateOf(engine: PlannedEngine): number {
        const only = [...engine.models.keys()].filter(name => this.readyHolders(name) === 1);
        return this.input.needs
            .filter(({ key }) => key.adapter !== "" && only.includes(key.model))
            .reduce((sum, { rate }) => sum + rate, 0);
    }

    /** What the engine's models ask of it, as a share of what it can do. */
    private fullnessOf(engine: PlannedEngine): number {
        const work = [...engine.models.keys()].map(name => this.needs.get(name)).reduce(
            (sum, held) => sum + (held === undefined ? 0 : held.work / Math.max(1, this.comingOrHeld(held.model.name))),
            0,
        );
        return this.input.capacity === undefined ? 0 : work / this.input.capacity;
    }

    /** The held model that is given up for another: one with replicas to spare, else the one that is idle for longest. */
    private victim(engine: PlannedEngine, coming: ModelNeed): ModelNeed | undefined {
        const held = [...engine.models]
            .filter(([, model]) => model.ready && !model.leaving)
            .flatMap(([name]) => this.needs.get(name) ?? []);
        const spare = held.filter(need => this.isSpare(need)).sort((a, b) => a.work - b.work)[0];
        if (spare !== undefined) {
            return spare;
        }
        const isLacking = this.comingOrHeld(coming.model.name) === 0;
        const idleFor = isLacking ? idleForLackingMs : idleForMoreMs;
        return held
            .filter(need => this.readyHolders(need.model.name) === 1 && this.idleMs(need) > idleFor)
            .sort((a, b) => this.idleMs(b) - this.idleMs(a) || a.model.adapters - b.model.adapters)[0];
    }

    /** Whether its other replicas would do. */
    private isSpare(need: ModelNeed): boolean {
        return this.readyHolders(need.model.name) > Math.max(1, this.wantedReplicas(need));
    }

    private idleMs(need: ModelNeed): number {
        return Math.min(need.idleMs, this.input.heardMs);
    }

    private wantedReplicas(need: ModelNeed): number {
        if (need.lacking === 0 && this.idleMs(need) > idleForLackingMs) {
            return 0;
        }
        const { capacity, engines } = this.input;
        const wanted = capacity === undefined ? 1 : Math.ceil(need.work / (capacity * replicaShare));
        return Math.min(engines.length, Math.max(1, wanted));
    }

    private missingReplicas(need: ModelNeed): number {
        const isAsked = need.lacking > 0 || need.idleMs < idleForLackingMs;
        return isAsked ? this.wantedReplicas(need) - this.comingOrHeld(need.model.name) : 0;
    }

    private holders(model: string): PlannedEngine[] {
        return this.input.engines.filter(engine => engine.models.get(model)?.leaving === false);
    }

    /** Those that hold a model, and those to which it is under way. */
    private comingOrHeld(model: string): number {
        const coming = this.input.engines.filter(engine => engine.coming === model && !engine.models.has(model));
        return this.holders(model).length + coming.length;
    }

    private readyHolders(model: string): number {
        return this.holders(model).filter(engine => engine.models.get(model)!.ready).length;
    }

    private adapterNeed(model: string, adapter: string): ItemNeed | undefined {
        return this.input.needs.find(({ key }) => key.model === model && key.adapter === adapter);
    }

    /** Demand for the adapters that an engine holds. */
    private adapterPressure(engine: PlannedEngine): number {
        let rate = 0;
        for (const [model, held] of engine.models) {
            for (const adapter of held.adapters.keys()) {
                rate += 0.5 + (this.adapterNeed(model, adapter)?.rate ?? 0);
            }
        }
        return rate;
    }

    private adapterMb(model: string): number {
        return this.needs.get(model)?.model.adapterMb ?? 0;
    }

    private fits(engine: PlannedEngine, extraMb: number): boolean {
        let usedMb = 0;
        for (const [name, held] of engine.models) {
            usedMb += (this.needs.get(name)?.model.sizeMb ?? 0) + held.adapters.size * this.adapterMb(name);
        }
        return usedMb + extraMb <= this.input.spec.memoryMb;
    }
}

function needOfModel(model: EngineModel, needs: readonly ItemNeed[]): ModelNeed {
    const own = needs.filter(need => need.key.model === model.name);
    const total = (pick: (need: ItemNeed) => number) => own.reduce((sum, need) => sum + pick(need), 0);
    return {
        model,
        rate: total(need => need.rate),
        work: total(need => need.work),
        lacking: total(need => need.lacking),
        idleMs: Math.min(Number.POSITIVE_INFINITY, ...own.map(need => need.idleMs)),
    };
}

function valueOf(need: ModelNeed): number {
    return need.work + need.lacking * lackingWork;
}

function loadTime(engine: PlannedEngine, model: EngineModel): number {
    if (engine.inMemory.has(model.name)) {
        return model.memoryLoadMs;
    }
    return engine.onDisk.has(model.name) ? model.diskLoadMs : model.loadMs;
}

function adapterCount(engine: PlannedEngine): number {
    return [...engine.models.values()].reduce((count, held) => count + held.adapters.size, 0);
}
