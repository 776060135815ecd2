/** Engines of a placement loop: they hold models and adapters, run requests, and execute orders after the usual delays. */
import { type EngineModel, type EngineSpec } from "@winchpath/declarations";
import { type AdapterStage, type EngineOrder, type EngineSnapshot, type ModelSnapshot } from "../index.js";

/** Time of an adapter load, in milliseconds. */
const adapterLoadMs = 50;
/** Adapters that an engine loads at the same time. */
const maxAdapterLoads = 4;
/** How long an engine is reserved for the model that memory is freed for, in milliseconds. */
const reservationMs = 15_000;

interface Held {
    readyAt: number;
    leaving: boolean;
    /** When an order to unload reaches the engine. */
    leavesAt?: number;
}

interface HeldModel extends Held {
    /** Whether it has served a request, or was held from the start. */
    isUsed: boolean;
    readonly adapters: Map<string, Held>;
}

interface RunningRequest {
    readonly model: string;
    readonly adapter: string;
    readonly endAt: number;
}

export class LoopEngine {
    /** Whether it rejects all requests although it holds their model. */
    public rejectsAll = false;
    /** Number of models that were unloaded before they had served a request. */
    public unusedLoads = 0;
    private readonly models = new Map<string, HeldModel>();
    private readonly onDisk = new Set<string>();
    /** Time that an order takes to reach the engine, in milliseconds. */
    public orderMs = 0;
    private running: RunningRequest[] = [];
    private reservation: { readonly model: string; readonly until: number; } | undefined;

    public constructor(public readonly id: string, private readonly spec: EngineSpec, models: readonly string[]) {
        for (const model of models) {
            this.models.set(model, { readyAt: 0, leaving: false, isUsed: true, adapters: new Map() });
            this.onDisk.add(model);
        }
    }

    public get load(): number {
        return this.running.length;
    }

    public holds(model: string, adapter: string): boolean {
        const held = this.models.get(model);
        const isReady = (one: Held | undefined) => one !== undefined && !one.leaving && Date.now() >= one.readyAt;
        return isReady(held) && (adapter === "" || isReady(held!.adapters.get(adapter)));
    }

    /** Runs a request; returns whether it was accepted. */
    public run(model: string, adapter: string, ms: number): boolean {
        if (this.rejectsAll || this.load >= this.spec.slots || !this.holds(model, adapter)) {
            return false;
        }
        this.models.get(model)!.isUsed = true;
        this.running.push({ model, adapter, endAt: Date.now() + ms });
        return true;
    }

    /** Number of running requests for an item. */
    public runningFor(model: string, adapter: string): number {
        return this.running.filter(one => one.model === model && one.adapter === adapter).length;
    }

    /** Ends what is over by now, and completes unloads that waited for it. */
    public advance(): void {
        const now = Date.now();
        this.running = this.running.filter(({ endAt }) => endAt > now);
        for (const [model, held] of this.models) {
            for (const [adapter, one] of held.adapters) {
                if (one.leaving && now >= one.leavesAt! && this.runningFor(model, adapter) === 0) {
                    held.adapters.delete(adapter);
                }
            }
            if (held.leaving && now >= held.leavesAt! && this.running.every(one => one.model !== model)) {
                this.models.delete(model);
                this.unusedLoads += held.isUsed ? 0 : 1;
            }
        }
    }

    /** Executes an order; throws if it exceeds the engine's memory or adapter places. */
    public execute({ kind, model, adapter }: EngineOrder, freesMemoryFor: string | undefined): void {
        if (freesMemoryFor !== undefined) {
            this.reservation = { model: freesMemoryFor, until: Date.now() + reservationMs };
        }
        const held = this.models.get(model);
        if (adapter === "" && kind === "load") {
            this.reservation = undefined;
            const loadMs = this.onDisk.has(model) ? this.modelOf(model).diskLoadMs : this.modelOf(model).loadMs;
            this.models.set(model, {
                readyAt: Date.now() + this.orderMs + loadMs,
                leaving: false,
                isUsed: false,
                adapters: new Map(),
            });
            this.onDisk.add(model);
        }
        else if (adapter === "") {
            held!.leaving = true;
            held!.leavesAt = Date.now() + this.orderMs;
        }
        else if (kind === "load") {
            held!.adapters.set(adapter, {
                readyAt: Date.now() + this.orderMs + adapterLoadMs,
                leaving: false,
            });
        }
        else {
            const one = held!.adapters.get(adapter)!;
            one.leaving = true;
            one.leavesAt = Date.now() + this.orderMs;
        }
        this.advance();
        this.checkCapacity();
    }

    public snapshot(): EngineSnapshot {
        const now = Date.now();
        const held = [...this.models.values()];
        const isBusy = held.some(model => model.leaving || model.readyAt > now);
        const adapterLoads = held.flatMap(({ adapters }) => [...adapters.values()])
            .filter(({ readyAt }) => readyAt > now).length;
        const { reservation } = this;
        return {
            id: this.id,
            service: "s",
            dataCentre: "d",
            models: new Map([...this.models].map(([name, model]) => [name, modelSnapshot(model, this.modelOf(name))])),
            pendingModel: reservation !== undefined && now < reservation.until ? reservation.model : undefined,
            acceptsModelOrders: !isBusy && adapterLoads === 0,
            freeAdapterLoads: isBusy ? 0 : maxAdapterLoads - adapterLoads,
            inMemory: new Set(),
            onDisk: this.onDisk,
        };
    }

    private modelOf(name: string): EngineModel {
        return this.spec.models.find(model => model.name === name)!;
    }

    private checkCapacity(): void {
        let usedMb = 0;
        let adapterCount = 0;
        for (const [name, { adapters }] of this.models) {
            const { sizeMb, adapterMb } = this.modelOf(name);
            usedMb += sizeMb + adapters.size * adapterMb;
            adapterCount += adapters.size;
        }
        if (usedMb > this.spec.memoryMb || adapterCount > this.spec.adapterPlaces) {
            throw new Error(`${this.id} is ordered to hold ${usedMb} MB and ${adapterCount} adapters`);
        }
    }
}

function modelSnapshot({ readyAt, leaving, adapters }: HeldModel, { sizeMb, adapterMb }: EngineModel): ModelSnapshot {
    const stages = [...adapters].map(([name, one]): [string, AdapterStage] => [name, stageOf(one)]);
    return { isReady: Date.now() >= readyAt, isUnloading: leaving, sizeMb, adapterMb, adapters: new Map(stages) };
}

function stageOf({ readyAt, leaving }: Held): AdapterStage {
    if (leaving) {
        return "leaving";
    }
    return Date.now() >= readyAt ? "held" : "coming";
}
