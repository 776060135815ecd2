/** Indexes a plan's input by model, and tracks the orders that have been planned so far. */
import { type EngineModel, type EngineSpec } from "@winchpath/declarations";
import { type ItemNeed } from "./demands.js";
import { type ItemKey } from "./items.js";
import { type EngineSnapshot, type PlanInput } from "./plans.js";

/** Demand for a model, including its adapters. */
export interface ModelNeed {
    readonly model: EngineModel;
    /** Requests per second. */
    readonly rate: number;
    /** Requests per second that use an adapter. */
    readonly adapterRate: number;
    /** Prompt tokens per second. */
    readonly work: number;
    /** Requests in progress. */
    readonly running: number;
    /** Requests that wait for a replica, or were recently rejected for lack of one. */
    readonly unserved: number;
    /** Milliseconds since the first of the requests that have all gone unserved; 0 if some are served. */
    readonly unservedMs: number;
    readonly unservedRequests: number;
    /** Longest time between two successive ones for one of its items, the least of all items, in milliseconds. */
    readonly longestPauseMs: number;
    /** Whether no request has been served since the first of the unserved ones, for the model or any of its adapters. */
    readonly isUnserved: boolean;
    /** Milliseconds since the last request. */
    readonly idleMs: number;
    /** Milliseconds since all requests have gone unserved although an upstream held the model; 0 if some were served. */
    readonly unservedAtHoldersMs: number;
    /** Milliseconds since it was served again after it had been overdue; infinite if it has not been. */
    readonly recoveredMs: number;
}

export class PlanState {
    /** Identifiers of engines that this plan has an order for. */
    public readonly assignedEngines = new Set<string>();
    /** Demand for items of declared models. */
    public readonly declaredNeeds: readonly ItemNeed[];
    private readonly modelNeeds: ReadonlyMap<string, ModelNeed>;
    private readonly needsByAdapter: ReadonlyMap<string, ItemNeed>;
    private readonly holdersByModel = new Map<string, EngineSnapshot[]>();
    private readonly pendingLoads = new Map<string, number>();
    private readonly plannedUnloads = new Map<string, number>();
    private readonly plannedLoads = new Map<string, number>();

    public constructor(public readonly input: PlanInput) {
        this.modelNeeds = sumNeedsByModel(input.spec, input.needs);
        this.declaredNeeds = input.needs.filter(({ key }) => this.modelNeeds.has(key.model));
        this.needsByAdapter = new Map(input.needs.map(need => [adapterKey(need.key.model, need.key.adapter), need]));
        for (const engine of input.engines) {
            this.indexEngine(engine);
        }
    }

    public get models(): ModelNeed[] {
        return [...this.modelNeeds.values()];
    }

    /** Demand for a model; undefined if the service does not declare it. */
    public modelNeed(model: string): ModelNeed | undefined {
        return this.modelNeeds.get(model);
    }

    /** Whether the service doesn't declare a model, or no longer does. */
    public isUndeclared(model: string): boolean {
        return !this.modelNeeds.has(model);
    }

    /** Requests in progress for a model, declared or not, and for its adapters. */
    public runningRequests(model: string): number {
        return this.input.needs.reduce((sum, { key, running }) => sum + (key.model === model ? running : 0), 0);
    }

    /** Demand for the model that memory of an engine is being freed for; undefined without one that is declared. */
    public pendingNeed({ pendingModel }: EngineSnapshot): ModelNeed | undefined {
        return pendingModel === undefined ? undefined : this.modelNeed(pendingModel);
    }

    public adapterNeed(model: string, adapter: string): ItemNeed | undefined {
        return this.needsByAdapter.get(adapterKey(model, adapter));
    }

    /** Demand for a model's adapters. */
    public adapterNeeds(model: string): readonly ItemNeed[] {
        return this.declaredNeeds.filter(({ key }) => key.model === model && key.adapter !== "");
    }

    /** Whether an engine holds or loads an adapter. */
    public isPlaced({ model, adapter }: Pick<ItemKey, "model" | "adapter">): boolean {
        return this.holders(model).some(engine => {
            const stage = engine.models.get(model)!.adapters.get(adapter);
            return stage === "held" || stage === "coming";
        });
    }

    /** Engines on which a model is loaded or loading, and not being unloaded. */
    public holders(model: string): readonly EngineSnapshot[] {
        return this.holdersByModel.get(model) ?? [];
    }

    /** Number of replicas once all ongoing and planned orders have completed. */
    public expectedReplicas(model: string): number {
        const planned = (this.plannedLoads.get(model) ?? 0) - (this.plannedUnloads.get(model) ?? 0);
        return this.holders(model).length + (this.pendingLoads.get(model) ?? 0) + planned;
    }

    /** Number of replicas that serve now, without those that the plan unloads. */
    public readyReplicas(model: string): number {
        const ready = this.holders(model).filter(engine => engine.models.get(model)!.isReady);
        return ready.length - (this.plannedUnloads.get(model) ?? 0);
    }

    /** Records that the plan loads a model on an engine, or frees memory for it there. */
    public addPlannedLoad(model: string): void {
        this.plannedLoads.set(model, (this.plannedLoads.get(model) ?? 0) + 1);
    }

    /** Whether the plan unloads a replica of the model. */
    public hasPlannedUnload(model: string): boolean {
        return this.plannedUnloads.has(model);
    }

    /** Records that the plan unloads a replica of the model. */
    public addPlannedUnload(model: string): void {
        this.plannedUnloads.set(model, (this.plannedUnloads.get(model) ?? 0) + 1);
    }

    /** Whether an engine has memory for a model, once it has unloaded `victim` if that is given. */
    public fitsModel(engine: EngineSnapshot, { sizeMb }: EngineModel, victim?: string): boolean {
        return this.usedMb(engine, victim) + sizeMb <= this.input.spec.memoryMb;
    }

    /** Whether an engine has memory for one more adapter of a declared model that it holds. */
    public fitsAdapter(engine: EngineSnapshot, model: string): boolean {
        const adapterMb = this.modelNeeds.get(model)?.model.adapterMb ?? Number.POSITIVE_INFINITY;
        return this.usedMb(engine) + adapterMb <= this.input.spec.memoryMb;
    }

    /** Upper bound of the memory that models and adapters take on an engine, without those of `victim`. */
    private usedMb(engine: EngineSnapshot, victim?: string): number {
        let usedMb = 0;
        for (const [name, { sizeMb, adapterMb, adapters }] of engine.models) {
            if (name !== victim) {
                usedMb += sizeMb + (adapters.size === 0 ? 0 : adapters.size * adapterMb);
            }
        }
        return usedMb;
    }

    private indexEngine(engine: EngineSnapshot): void {
        for (const [model, held] of engine.models) {
            if (!held.isUnloading) {
                this.holdersByModel.set(model, [...this.holders(model), engine]);
            }
        }
        if (engine.pendingModel !== undefined && !engine.models.has(engine.pendingModel)) {
            this.pendingLoads.set(engine.pendingModel, (this.pendingLoads.get(engine.pendingModel) ?? 0) + 1);
        }
    }
}

function adapterKey(model: string, adapter: string): string {
    return `${model}/${adapter}`;
}

function sumNeedsByModel(spec: EngineSpec, items: readonly ItemNeed[]): Map<string, ModelNeed> {
    const itemsByModel = new Map<string, ItemNeed[]>(spec.models.map(({ name }) => [name, []]));
    items.forEach(item => itemsByModel.get(item.key.model)?.push(item));
    return new Map(spec.models.map(model => [model.name, sumNeeds(model, itemsByModel.get(model.name)!)]));
}

function sumNeeds(model: EngineModel, items: readonly ItemNeed[]): ModelNeed {
    const sum = (valueOf: (item: ItemNeed) => number) => items.reduce((total, item) => total + valueOf(item), 0);
    return {
        model,
        rate: sum(({ rate }) => rate),
        adapterRate: sum(({ key, rate }) => key.adapter === "" ? 0 : rate),
        work: sum(({ work }) => work),
        running: sum(({ running }) => running),
        unserved: sum(({ unserved }) => unserved),
        unservedMs: unservedMsOf(items, ({ unservedMs }) => unservedMs),
        unservedRequests: sum(({ unservedRequests }) => unservedRequests),
        longestPauseMs: leastPauseMs(items),
        isUnserved: isUnserved(items),
        idleMs: Math.min(Number.POSITIVE_INFINITY, ...items.map(({ idleMs }) => idleMs)),
        unservedAtHoldersMs: unservedMsOf(items, ({ unservedAtHoldersMs }) => unservedAtHoldersMs),
        recoveredMs: Math.min(Number.POSITIVE_INFINITY, ...items.map(({ recoveredMs }) => recoveredMs)),
    };
}

function isUnserved(items: readonly ItemNeed[]): boolean {
    const longest = Math.max(0, ...items.map(({ unservedMs }) => unservedMs));
    return longest > 0 && items.every(({ unservedMs, idleMs }) => unservedMs > 0 || idleMs >= longest);
}

/** Requests for a model return at least as often as those for any of its items. */
function leastPauseMs(items: readonly ItemNeed[]): number {
    const pauses = items.map(({ longestPauseMs }) => longestPauseMs).filter(ms => ms > 0);
    return pauses.length === 0 ? 0 : Math.min(...pauses);
}

/** Milliseconds since requests for any of the items have gone unserved, but at most since one was last served. */
function unservedMsOf(items: readonly ItemNeed[], valueOf: (item: ItemNeed) => number): number {
    const longest = Math.max(0, ...items.map(valueOf));
    // The last request for an item that is not unserved was served.
    const served = items.filter(item => item.unservedMs === 0).map(({ idleMs }) => idleMs);
    return Math.min(longest, ...served);
}
