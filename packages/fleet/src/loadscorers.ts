/**
 * Scores model loads by the requests that they save within a planning horizon, less the requests lost by
 * what they evict and delay.
 */
import { type EngineModel } from "@winchpath/declarations";
import { type ItemNeed } from "./demands.js";
import { awaitsCallers, owedRequests } from "./overdueneeds.js";
import { type EngineSnapshot } from "./plans.js";
import { type ModelNeed, type PlanState } from "./planstates.js";

/** Current demand is assumed to last this long, in milliseconds; known fleets see it move every 10 to 14 s. */
const planningHorizonMs = 15_000;
/**
 * Share of the total request rate that is spread over all models, for those without recent demand: rare ones, and those
 * about to become busy. In a log of 82 engines, a tenth of the requests went to 158 of 192 models.
 */
const baselineDemandShare = 0.1;
/** Minimum request rate per engine from which the baseline is derived. */
const minRatePerEngine = 1;
/** Share of an engine's prompt throughput that a replica is planned for; above it, queueing dominates latency. */
const targetUtilization = 0.7;
/**
 * Replicas of each model that idle models may not replace before any demand is known; a model that has them is assumed to
 * need them.
 */
const protectedReplicasBeforeDemand = 2;
/** Fixed cost of a load, in requests: use of the store, and the risk that demand changes. */
const fixedLoadCost = 0.2;
/**
 * Cost of each second that a replacement keeps an engine busy, in requests: the engine is unavailable for
 * later demand, and demand may have changed by the time that a slow load completes. Without this cost, 157 loads from the
 * store in 30 s served hardly more requests in time than none.
 */
const replacementCostPerSecond = 1.2;
/** The same for a model with unserved requests and no replica; lower, so that slow loads stay possible. */
const unservedReplacementCostPerSecond = 0.3;
/** Fixed cost of an unload, in requests: the orders themselves, and the loss of cached prompts. */
const fixedUnloadCost = 0.1;
/** Share of an engine's requests that are delayed or refused while it loads a model and accepts no adapter orders. */
const interferenceShare = 0.05;
/** Demand for adapters that are not loaded, relative to an even distribution over all adapters; requests are uneven. */
const unloadedAdapterWeight = 0.5;
/**
 * Estimated time that an unload waits for each running request of the model, in milliseconds: it waits for the longest,
 * which is longer the more there are. On full engines it has taken some seconds.
 */
const drainMsPerRequest = 400;
/** Upper bound of that estimate, in milliseconds: about as long as the longest outputs take. */
const maxDrainMs = 8000;
/**
 * An adapter whose requests have gone unserved for this long has found no place, in milliseconds; where there is one, it is
 * loaded within a few plans.
 */
const placeLackMs = 1500;
/** An adapter without a request for this long gives up its place to another, in milliseconds. */
const adapterIdleMs = 1500;
/** A model that was overdue keeps its last replica for this long once it is served, in milliseconds. */
const minHoldMs = 8000;
/**
 * Turn of a model whose last replica an overdue model of the same demand replaces, in milliseconds; several times as long
 * as a load, and longer the more its demand exceeds the other's.
 */
const turnMs = 10_000;
/** Penalty, in requests, for an engine whose other models are busy, to spread work over engines. */
const spreadPenalty = 0.5;

/** A load on an engine, with the model that it replaces, if any. */
export interface LoadOption {
    readonly engine: EngineSnapshot;
    readonly victim: ModelNeed | undefined;
    /** Requests saved less requests lost; the load is worthwhile if it is positive. */
    readonly netBenefit: number;
}

export class LoadScorer {
    /** Requests per second that are assumed for each model in addition to observed demand. */
    private readonly baselineRate: number;
    /** Replicas of each model that idle models may not replace. */
    private readonly protectedReplicas: number;
    private readonly hasDemand: boolean;
    private readonly reloadTimesByModel = new Map<string, ReloadTimes>();
    /** Request rates of adapters that find no place, by model. */
    private readonly waitingRatesByModel = new Map<string, readonly number[]>();

    public constructor(private readonly state: PlanState) {
        const { engines, spec } = state.input;
        const rate = state.models.reduce((sum, need) => sum + need.rate, 0);
        this.hasDemand = rate > 0;
        this.protectedReplicas = this.hasDemand ? 1 : protectedReplicasBeforeDemand;
        const assumedRate = Math.max(rate, engines.length * minRatePerEngine);
        this.baselineRate = baselineDemandShare * assumedRate / Math.max(1, spec.models.length);
    }

    /**
     * Whether one more replica could be worthwhile on any engine. A cheap filter that avoids
     * evaluating every engine for each model of a large fleet, which takes 10 ms a plan with 82 engines and 213 models.
     */
    public mayBenefit(need: ModelNeed): boolean {
        return this.benefit(need, 0, this.state.input.spec.adapterPlaces) > fixedLoadCost;
    }

    /**
     * The best way to add a replica of a model that is overdue, whatever it costs; undefined if memory would have to be
     * taken from models that need it as much.
     */
    public bestOverdueOption(engine: EngineSnapshot, need: ModelNeed): LoadOption | undefined {
        return this.bestOptionAmong(engine, need, victim => this.mayReplaceForOverdue(need, victim));
    }

    /** The best way to add a replica of a model on one engine; undefined if no model can be evicted for it. */
    public bestOption(engine: EngineSnapshot, need: ModelNeed): LoadOption | undefined {
        return this.bestOptionAmong(engine, need, victim => this.mayReplace(need, victim));
    }

    private bestOptionAmong(
        engine: EngineSnapshot,
        need: ModelNeed,
        mayReplace: (victim: ModelNeed) => boolean,
    ): LoadOption | undefined {
        const loadMs = loadDurationMs(engine, need.model);
        if (this.state.fitsModel(engine, need.model)) {
            return { engine, victim: undefined, netBenefit: this.netLoadBenefit(engine, need, undefined, loadMs) };
        }
        let best: LoadOption | undefined;
        for (const victim of this.evictionCandidates(engine, need).filter(mayReplace)) {
            const busyMs = this.drainMs(victim) + loadMs;
            const netBenefit = this.netLoadBenefit(engine, need, victim, busyMs)
                - this.evictionCost(engine, victim, busyMs);
            if (best === undefined || netBenefit > best.netBenefit) {
                best = { engine, victim, netBenefit };
            }
        }
        return best;
    }

    private mayReplace(need: ModelNeed, victim: ModelNeed): boolean {
        const replicas = this.state.readyReplicas(victim.model.name);
        return !(this.isIdle(need) && replicas <= this.protectedReplicas) && !(replicas <= 1 && isHeldBack(victim));
    }

    /** A last replica is replaced only once its turn is over, which is in proportion to its demand. */
    private mayReplaceForOverdue(need: ModelNeed, victim: ModelNeed): boolean {
        return this.state.readyReplicas(victim.model.name) > 1
            || (!isHeldBack(victim) && owedRequests(need) >= turnMs / 1000 * victim.rate);
    }

    /** Requests that a load saves, less those lost while its engine is busy for `busyMs`. */
    private netLoadBenefit(
        engine: EngineSnapshot,
        need: ModelNeed,
        victim: ModelNeed | undefined,
        busyMs: number,
    ): number {
        const benefit = this.benefit(need, busyMs, this.freePlaces(engine, victim));
        return this.attainableBenefit(engine, need, victim, benefit) - this.interferenceCost(engine, busyMs)
            - (victim === undefined ? 0 : this.busyCostPerSecond(need) * busyMs / 1000);
    }

    /** Cost of each second of a replacement; 0 while no demand is known. */
    private busyCostPerSecond(need: ModelNeed): number {
        if (!this.hasDemand) {
            return 0;
        }
        const isUnserved = need.unserved > 0 && this.state.expectedReplicas(need.model.name) === 0;
        return isUnserved ? unservedReplacementCostPerSecond : replacementCostPerSecond;
    }

    /** Estimated time until a model's running requests have completed. */
    private drainMs(victim: ModelNeed): number {
        const running = victim.running / Math.max(1, this.state.readyReplicas(victim.model.name));
        return Math.min(maxDrainMs, running * drainMsPerRequest);
    }

    /** Whether a model has less demand than the baseline. */
    private isIdle(need: ModelNeed): boolean {
        return need.rate < this.baselineRate && need.unserved === 0;
    }

    /**
     * Models of an engine each of which frees enough memory when unloaded. If there is none, those that were loaded under
     * another declaration, each a step towards it: with them, an engine may hold more than would fit today.
     */
    private evictionCandidates(engine: EngineSnapshot, replacement: ModelNeed): ModelNeed[] {
        const candidates = [...engine.models]
            .filter(([, held]) => held.isReady && !held.isUnloading)
            .flatMap(([name]) => this.state.modelNeed(name) ?? []);
        const sufficient = candidates.filter(({ model }) =>
            this.state.fitsModel(engine, replacement.model, model.name)
        );
        return sufficient.length > 0
            ? sufficient
            : candidates.filter(({ model }) => engine.models.get(model.name)!.sizeMb !== model.sizeMb);
    }

    /**
     * Requests that one more replica saves within the horizon if it is ready after `loadMs`.
     *
     * @param places adapter places that it would have
     */
    private benefit(need: ModelNeed, loadMs: number, places: number): number {
        const replicas = this.state.expectedReplicas(need.model.name);
        const savedShare = this.unservedShare(need, replicas) - this.unservedShare(need, replicas + 1);
        if (replicas === 0 && this.isIdle(need)) {
            // Without demand, the benefit is that the first requests need not wait for a load.
            return this.baselineRate * Math.min(planningHorizonMs, this.reloadMs(need.model)) / 1000;
        }
        const usefulShare = Math.max(0, 1 - loadMs / planningHorizonMs);
        const savedRate = savedShare * this.expectedRate(need) + this.rateWithoutPlace(need, places);
        return (savedRate * planningHorizonMs / 1000 + (replicas === 0 ? need.unserved : 0)) * usefulShare;
    }

    /** Requests per second for adapters that find no place on the replicas of their model, at most for `places` of them. */
    private rateWithoutPlace(need: ModelNeed, places: number): number {
        const { name } = need.model;
        const expected = this.state.expectedReplicas(name);
        const waiting = expected === 0 ? [] : this.adapterRatesWithoutPlace(need);
        if (waiting.length === 0) {
            return 0;
        }
        // Replicas that are yet to be loaded have all their places free.
        const pending = Math.max(0, expected - this.state.holders(name).length);
        return sum(waiting.slice(pending * this.state.input.spec.adapterPlaces).slice(0, places));
    }

    /**
     * Request rates of a model's adapters that have gone unserved, without those for which its replicas have a free place,
     * in descending order.
     */
    private adapterRatesWithoutPlace(need: ModelNeed): readonly number[] {
        let rates = this.waitingRatesByModel.get(need.model.name);
        if (rates === undefined) {
            rates = need.unservedRequests === 0 ? [] : this.computeRatesWithoutPlace(need.model.name);
            this.waitingRatesByModel.set(need.model.name, rates);
        }
        return rates;
    }

    private computeRatesWithoutPlace(model: string): number[] {
        const free = sum(this.state.holders(model).map(engine => this.freePlaces(engine, undefined)));
        return this.state.adapterNeeds(model)
            .filter(({ unservedMs, key }) => unservedMs >= placeLackMs && !this.state.isPlaced(key))
            .map(({ rate }) => rate)
            .sort((a, b) => b - a)
            .slice(free);
    }

    /** Adapter places of an engine that are free once `victim` is evicted. */
    private freePlaces(engine: EngineSnapshot, victim: ModelNeed | undefined): number {
        let used = 0;
        for (const [name, { adapters }] of engine.models) {
            used += name === victim?.model.name ? 0 : adapters.size;
        }
        return Math.max(0, this.state.input.spec.adapterPlaces - used);
    }

    /** Requests per second for adapters of a victim that only this engine holds, and that no other replica has a place for. */
    private rateThatLosesPlace(engine: EngineSnapshot, victim: ModelNeed): number {
        const others = this.state.holders(victim.model.name).filter(other => other !== engine);
        const rates = [...engine.models.get(victim.model.name)!.adapters.keys()]
            .filter(adapter => others.every(other => !other.models.get(victim.model.name)!.adapters.has(adapter)))
            .flatMap(adapter => this.state.adapterNeed(victim.model.name, adapter) ?? [])
            .filter(isInUse)
            .map(({ rate }) => rate)
            .sort((a, b) => b - a);
        return rates.length === 0 ? 0 : sum(rates.slice(sum(others.map(other => this.replaceablePlaces(other)))));
    }

    /** Adapter places of an engine that are free, or taken by adapters that nobody uses. */
    private replaceablePlaces(engine: EngineSnapshot): number {
        let used = 0;
        for (const [name, { adapters }] of engine.models) {
            for (const adapter of adapters.keys()) {
                const need = this.state.adapterNeed(name, adapter);
                used += need !== undefined && isInUse(need) ? 1 : 0;
            }
        }
        return Math.max(0, this.state.input.spec.adapterPlaces - used);
    }

    /** Requests that are lost when an engine evicts a model and is busy for `busyMs`. */
    private evictionCost(engine: EngineSnapshot, victim: ModelNeed, busyMs: number): number {
        const { name } = victim.model;
        const remaining = this.state.readyReplicas(name) - 1;
        if (remaining > 0) {
            const lostShare = this.unservedShare(victim, remaining) - this.unservedShare(victim, remaining + 1);
            const lostRate = lostShare * this.expectedRate(victim) + this.rateThatLosesPlace(engine, victim);
            return fixedUnloadCost + this.utilization(victim, 0) + lostRate * planningHorizonMs / 1000;
        }
        // Current demand is lost for the whole horizon, baseline demand until the model is loaded again.
        const hereMs = busyMs + loadDurationMs(engine, victim.model);
        const awayMs = Math.min(planningHorizonMs, hereMs, this.reloadMs(victim.model, engine));
        return fixedUnloadCost + (victim.rate * planningHorizonMs + this.baselineRate * awayMs) / 1000;
    }

    /** Shortest time in which any engine but `except` can load a model. */
    private reloadMs(model: EngineModel, except?: EngineSnapshot): number {
        const times = this.reloadTimes(model);
        return except === undefined || times.fastestEngine !== except ? times.fastestMs : times.secondFastestMs;
    }

    private reloadTimes(model: EngineModel): ReloadTimes {
        let times = this.reloadTimesByModel.get(model.name);
        if (times === undefined) {
            times = computeReloadTimes(model, this.state.input.engines);
            this.reloadTimesByModel.set(model.name, times);
        }
        return times;
    }

    /** Requests that a load delays or causes to fail on its engine. */
    private interferenceCost(engine: EngineSnapshot, loadMs: number): number {
        let rate = 0;
        for (const name of engine.models.keys()) {
            const need = this.state.modelNeed(name);
            rate += (need?.rate ?? 0) / Math.max(1, this.state.holders(name).length) * interferenceShare;
        }
        return fixedLoadCost + (rate + this.adapterMissRate(engine)) * loadMs / 1000;
    }

    /** Requests per second for adapters that are not loaded, of models with no other ready replica. */
    private adapterMissRate(engine: EngineSnapshot): number {
        let rate = 0;
        for (const [name, held] of engine.models) {
            const need = this.state.modelNeed(name);
            if (need === undefined || need.model.adapters === 0 || this.state.readyReplicas(name) > 1) {
                continue;
            }
            const unloadedShare = Math.max(0, 1 - held.adapters.size / need.model.adapters);
            rate += (need.adapterRate + this.baselineRate) * unloadedShare * unloadedAdapterWeight;
        }
        return rate;
    }

    /** The part of a benefit that is left when the engine also serves its other models. */
    private attainableBenefit(
        engine: EngineSnapshot,
        need: ModelNeed,
        victim: ModelNeed | undefined,
        benefit: number,
    ): number {
        const otherUtilization = [...engine.models.keys()].filter(name => name !== victim?.model.name)
            .reduce((sum, name) => sum + this.utilization(this.state.modelNeed(name), 0), 0);
        return benefit / Math.max(1, otherUtilization + Math.min(1, this.utilization(need, 1)))
            - Math.min(1, otherUtilization) * spreadPenalty;
    }

    /** Share of an engine's capacity that each replica of a model uses; 0 while the capacity is unknown. */
    private utilization(need: ModelNeed | undefined, extraReplicas: number): number {
        const throughput = need === undefined ? undefined : this.state.input.throughputOf(need.model.name);
        return need === undefined || throughput === undefined
            ? 0
            : need.work / Math.max(1, this.state.expectedReplicas(need.model.name) + extraReplicas) / throughput;
    }

    /** Share of a model's requests that exceed the capacity of the given number of replicas. */
    private unservedShare(need: ModelNeed, replicas: number): number {
        if (replicas <= 0) {
            return 1;
        }
        const throughput = this.state.input.throughputOf(need.model.name);
        return throughput === undefined || need.work === 0
            ? 0
            : Math.max(0, 1 - replicas * throughput * targetUtilization / need.work);
    }

    /** Requests per second, including the baseline. */
    private expectedRate(need: ModelNeed): number {
        return need.rate + this.baselineRate;
    }
}

/** Whether a model keeps its last replica: it waits for its first request after a load, or has only just been served. */
function isHeldBack(need: ModelNeed): boolean {
    return awaitsCallers(need) || need.recoveredMs < minHoldMs;
}

function isInUse({ idleMs, running }: ItemNeed): boolean {
    return running > 0 || idleMs < adapterIdleMs;
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}

/** Time to load a model on the fastest engine, and on the fastest of all others. */
interface ReloadTimes {
    readonly fastestEngine: EngineSnapshot | undefined;
    readonly fastestMs: number;
    readonly secondFastestMs: number;
}

function computeReloadTimes(model: EngineModel, engines: readonly EngineSnapshot[]): ReloadTimes {
    let bestEngine: EngineSnapshot | undefined;
    let bestMs = model.loadMs;
    let secondMs = model.loadMs;
    for (const engine of engines) {
        const ms = loadDurationMs(engine, model);
        if (ms < bestMs) {
            secondMs = bestMs;
            bestMs = ms;
            bestEngine = engine;
        }
        else {
            secondMs = Math.min(secondMs, ms);
        }
    }
    return { fastestEngine: bestEngine, fastestMs: bestMs, secondFastestMs: secondMs };
}

/** Time that an engine takes to load a model from the fastest available source: host memory, disk or store. */
export function loadDurationMs(engine: EngineSnapshot, model: EngineModel): number {
    if (engine.inMemory.has(model.name)) {
        return model.memoryLoadMs;
    }
    return engine.onDisk.has(model.name) ? model.diskLoadMs : model.loadMs;
}
