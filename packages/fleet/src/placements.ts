/** The leader's control loop that loads and unloads models on engines according to demand. */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec, type ModelSizeHistory } from "@winchpath/declarations";
import { type DemandTracker } from "./demands.js";
import { type HeldModel, type Mismatch, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { HeldSizes } from "./heldsizes.js";
import { itemMapKey } from "./items.js";
import { OrderDispatcher, type OrderDispatcherOwner } from "./orderdispatchers.js";
import { describeOrder, type EngineClient, type Fence } from "./orders.js";
import {
    type AdapterStage,
    type EngineSnapshot,
    type ModelSnapshot,
    type PlannedOrder,
    planOrders,
    type UnmetNeed,
} from "./plans.js";
import { type RegisteredUpstream } from "./registeredupstreams.js";
import { type Registry } from "./registries.js";
import { StoreLoadLimiter } from "./storeloadlimiters.js";
import { UnservedItemLog } from "./unserveditemlogs.js";

/** Interval of plans while nothing changes, in milliseconds. */
const planIntervalMs = 500;
/** Minimum interval between log lines about unmet demand, in milliseconds. */
const unmetLogIntervalMs = 500;
/** Minimum pause between two plans, in milliseconds. */
const minPlanPauseMs = 10;
/** Maximum share of the leader's time spent on planning; the pause between plans grows with their duration. */
const maxPlanTimeShare = 0.05;
/** Maximum pause between two plans, in milliseconds. */
const maxPlanPauseMs = 100;
/**
 * Expected duration of an unload, in milliseconds; its completion is polled afterwards. It waits for running requests, and
 * takes almost no time without them.
 */
const expectedUnloadMs = 5;
/** Minimum interval between two reads of an engine's state, in milliseconds. */
const minSyncIntervalMs = 1000;
/** How long an earlier leader's loads count against the store's rate limit, in milliseconds. */
const storeTakeoverMs = 5000;
/** How long an engine is reserved for the model that memory is being freed for, in milliseconds. */
const reservationMs = 15_000;

/** An engine that has been silent for this many announcement intervals is excluded from plans. */
const maxMissedAnnouncements = 2.7;
/** Processes that must report an engine as unreachable before it is excluded: a single one may itself be cut off. */
const minUnreachableReports = 2;

export interface PlacementContext {
    /** How often upstreams announce themselves, in milliseconds. */
    readonly announceMs: number;
    /** Fencing token for orders; undefined while this host may not send any. */
    fence(): Fence | undefined;
    /** Called when an order is sent. */
    orderSent(): void;
    readonly configuration: Configuration | undefined;
    /** Sizes that this configuration and earlier ones have declared, by service and model. */
    readonly documents: { readonly modelSizes: Pick<ModelSizeHistory, "largest">; };
}

/** Plans and sends orders for the duration of one leadership. */
export class PlacementController implements OrderDispatcherOwner {
    /** Order dispatchers by upstream id. */
    private readonly lines = new Map<string, OrderDispatcher>();
    /** Monotonic time of the last attempt to read each engine's state. */
    private readonly lastSyncTimes = new Map<string, number>();
    /** Models that memory is being freed for, by engine. */
    private readonly reservations = new Map<string, { readonly model: string; readonly until: number; }>();
    private readonly heldSizes = new HeldSizes(() => this.control.documents.modelSizes);
    private readonly suspectedEngines = new Set<string>();
    private readonly planTrigger = new Notifier();
    private readonly storeLimiter = new StoreLoadLimiter(storeTakeoverMs);
    private isFenced = false;
    /** Duration of the last plan, without sending its orders. */
    private planDurationMs = 0;
    private unmetLoggedAt = Number.NEGATIVE_INFINITY;
    private readonly unservedLog: UnservedItemLog;

    public constructor(
        private readonly control: PlacementContext,
        private readonly registry: Registry,
        private readonly demand: DemandTracker,
        private readonly engineClient: EngineClient,
        private readonly log: EventLog,
    ) {
        this.unservedLog = new UnservedItemLog(demand, registry, log);
    }

    /** Triggers a new plan after a change of its input. */
    public notify(): void {
        this.planTrigger.notify();
    }

    public fence(): Fence | undefined {
        return this.isFenced ? undefined : this.control.fence();
    }

    public onOrderSent(): void {
        this.control.orderSent();
    }

    public onUnreachable(upstream: string): void {
        this.registry.reportRefused(upstream);
    }

    public onFenced(upstream: string): void {
        if (!this.isFenced) {
            this.isFenced = true;
            this.log.warn("orders.fenced", { upstream });
        }
    }

    public onAlreadyHeld(upstream: string, model: string): void {
        this.heldSizes.cancelLoad(upstream, model);
    }

    public onChange(): void {
        this.planTrigger.notify();
    }

    /** Rereads an engine's state after it told an entry that it does not hold an expected model or adapter. */
    public resyncAfterMismatch(mismatch: Mismatch): void {
        const dispatcher = this.lines.get(mismatch.upstream);
        const name = mismatch.adapter === "" ? mismatch.model : `${mismatch.model}/${mismatch.adapter}`;
        if (dispatcher !== undefined && this.claimSync(mismatch.upstream)) {
            this.log.warn("engine.mismatch", { upstream: mismatch.upstream, item: name });
            void dispatcher.refresh();
        }
    }

    /** Plans and sends orders until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.planTrigger.wait(planIntervalMs);
            await sleep(
                Math.min(maxPlanPauseMs, Math.max(minPlanPauseMs, this.planDurationMs / maxPlanTimeShare)),
                signal,
            );
            if (signal.aborted || this.fence() === undefined || !this.demand.hasEnoughReports) {
                continue;
            }
            try {
                this.planServices();
            }
            catch (err) {
                this.log.warn("plan.failed", { error: messageOf(err) });
            }
        }
        this.lines.forEach(dispatcher => dispatcher.stop());
    }

    private planServices(): void {
        this.planDurationMs = 0;
        this.trackEngines();
        const { configuration } = this.control;
        for (const service of configuration?.services ?? []) {
            if (service.engine !== undefined) {
                this.planService(service.name, service.engine);
            }
        }
    }

    private planService(service: string, spec: EngineSpec): void {
        const startedAt = steadyNow();
        const engines = this.registry.all()
            .filter(({ upstream }) => upstream.service === service && upstream.state === UpstreamState.READY)
            .filter(({ upstream }) => !this.checkSuspect(upstream.id))
            .map(known => this.snapshotEngine(known, spec));
        const plan = planOrders({
            service,
            spec,
            engines,
            needs: this.demand.needs().filter(need => need.key.service === service),
            storeLoadBudget: this.storeLimiter.availableStarts(
                spec.storeLoadsPerSecond,
                this.maxInheritedStarts(service, spec),
            ),
            throughputOf: model => this.demand.throughputOf(service, model),
        });
        this.planDurationMs += steadyNow() - startedAt;
        this.logUnmetNeeds(plan.unmet);
        this.unservedLog.write(service, plan.unmet);
        plan.orders.forEach(planned => this.sendOrder(service, planned, spec));
    }

    /** Upper bound of an earlier leader's recent loads from the store, by the engines not yet seen idle. */
    private maxInheritedStarts(service: string, spec: EngineSpec): number {
        const unverified = this.registry.all().filter(({ upstream }) =>
            upstream.service === service && this.lines.get(upstream.id)?.hasSeenIdle !== true
        );
        return StoreLoadLimiter.maxInheritedStarts(
            unverified.length,
            Math.min(...spec.models.map(({ loadMs }) => loadMs)),
        );
    }

    private logUnmetNeeds(unmet: readonly UnmetNeed[]): void {
        const now = steadyNow();
        if (unmet.every(({ adapter }) => adapter !== "") || now - this.unmetLoggedAt < unmetLogIntervalMs) {
            return;
        }
        this.unmetLoggedAt = now;
        this.log.info("plan.unmet", {
            models: unmet.filter(({ adapter }) => adapter === "").map(({ model, rate, unserved, ...need }) => ({
                model,
                rate: Number(rate.toFixed(1)),
                lacking: unserved,
                freeEngines: need.availableEngines,
                bestNet: need.bestNetBenefit === undefined ? undefined : Number(need.bestNetBenefit.toFixed(1)),
                reason: need.reason,
            })),
        });
    }

    /** Whether an engine seems to be down and is excluded from plans; logs changes. */
    private checkSuspect(id: string): boolean {
        const isSuspect = this.registry.isSuspect(
            id,
            this.control.announceMs * maxMissedAnnouncements,
            minUnreachableReports,
        );
        if (isSuspect !== this.suspectedEngines.has(id)) {
            this.log.warn(isSuspect ? "engine.suspected" : "engine.trusted", { upstream: id });
            if (isSuspect) {
                this.suspectedEngines.add(id);
            }
            else {
                this.suspectedEngines.delete(id);
            }
        }
        return isSuspect;
    }

    private sendOrder(service: string, planned: PlannedOrder, spec: EngineSpec): void {
        const dispatcher = this.lines.get(planned.engine);
        if (dispatcher === undefined || !dispatcher.isReady) {
            return;
        }
        this.log.info("order.planned", {
            upstream: planned.engine,
            order: describeOrder(planned.order),
            fromStore: planned.fromStore,
            reason: planned.reason,
            capacity: Math.round(this.demand.throughputOf(service, planned.freesMemoryFor ?? planned.order.model) ?? 0),
        });
        this.unservedLog.ordered(itemMapKey({ ...planned.order, service }));
        if (planned.freesMemoryFor !== undefined) {
            this.unservedLog.ordered(itemMapKey({ service, model: planned.freesMemoryFor, adapter: "" }));
        }
        if (planned.fromStore) {
            this.storeLimiter.recordStart();
        }
        if (planned.freesMemoryFor !== undefined) {
            this.reservations.set(planned.engine, {
                model: planned.freesMemoryFor,
                until: steadyNow() + reservationMs,
            });
        }
        else if (planned.order.kind === "load" && planned.order.adapter === "") {
            this.reservations.delete(planned.engine);
            this.heldSizes.startLoad(planned.engine, planned.order.model, spec);
        }
        void dispatcher.execute(planned.order, this.expectedOrderMs(planned, spec));
    }

    private expectedOrderMs(planned: PlannedOrder, spec: EngineSpec): number {
        const { order, engine } = planned;
        const model = spec.models.find(({ name }) => name === order.model);
        if (order.kind === "unload" || model === undefined) {
            return expectedUnloadMs;
        }
        if (planned.fromStore) {
            return model.loadMs;
        }
        return this.registry.get(engine)?.inMemory.has(model.name) ? model.memoryLoadMs : model.diskLoadMs;
    }

    /** Starts handling orders of new engines, ends it for removed ones, and rereads engines whose state is unknown. */
    private trackEngines(): void {
        const engineServices = new Set(
            this.control.configuration?.services.filter(service => service.engine !== undefined).map(({ name }) =>
                name
            ),
        );
        for (const { upstream } of this.registry.all()) {
            if (!engineServices.has(upstream.service)) {
                continue;
            }
            let dispatcher = this.lines.get(upstream.id);
            if (dispatcher === undefined) {
                dispatcher = new OrderDispatcher(upstream.id, this.registry, this.engineClient, this, this.log);
                this.lines.set(upstream.id, dispatcher);
            }
            if (!dispatcher.isReady && upstream.state === UpstreamState.READY && this.claimSync(upstream.id)) {
                void dispatcher.refresh();
            }
        }
        for (const [id, dispatcher] of this.lines) {
            if (this.registry.get(id) === undefined) {
                dispatcher.stop();
                this.lines.delete(id);
                this.lastSyncTimes.delete(id);
                this.reservations.delete(id);
                this.heldSizes.forget(id);
                this.suspectedEngines.delete(id);
            }
        }
    }

    /** Whether an engine's state may be read now; if so, the read is counted as started. */
    private claimSync(id: string): boolean {
        const now = steadyNow();
        if (now - (this.lastSyncTimes.get(id) ?? Number.NEGATIVE_INFINITY) < minSyncIntervalMs) {
            return false;
        }
        this.lastSyncTimes.set(id, now);
        return true;
    }

    private snapshotEngine(known: RegisteredUpstream, spec: EngineSpec): EngineSnapshot {
        const { upstream, inMemory, onDisk } = known;
        const dispatcher = this.lines.get(upstream.id);
        const models = new Map<string, ModelSnapshot>();
        const names = [...upstream.models.map(({ name }) => name), ...dispatcher?.loadingModels ?? []];
        const sizes = this.heldSizes.update(upstream.id, upstream.service, names, spec);
        for (const held of upstream.models) {
            models.set(held.name, {
                isReady: held.readyInMs === 0,
                isUnloading: held.leaving,
                adapters: adapterStages(held, dispatcher),
                ...sizes.get(held.name)!,
            });
        }
        for (const name of dispatcher?.loadingModels ?? []) {
            if (!models.has(name)) {
                const adapters = new Map<string, AdapterStage>();
                models.set(name, { isReady: false, isUnloading: false, adapters, ...sizes.get(name)! });
            }
        }
        const reservation = this.reservations.get(upstream.id);
        return {
            pendingModel: reservation !== undefined && steadyNow() < reservation.until ? reservation.model : undefined,
            id: upstream.id,
            service: upstream.service,
            dataCentre: upstream.dataCentre,
            models,
            // Adapter loads are polled by orders, which an engine rejects while it loads a model.
            acceptsModelOrders: dispatcher?.isReady === true && dispatcher.loadingAdapters.size === 0,
            freeAdapterLoads: dispatcher?.availableAdapterLoads ?? 0,
            inMemory,
            onDisk,
        };
    }
}

/** All adapters of a model that occupy slots on an engine: those that are held, and those being loaded or unloaded. */
function adapterStages(model: HeldModel, dispatcher: OrderDispatcher | undefined): Map<string, AdapterStage> {
    const stages = new Map(model.adapters.map((adapter): [string, AdapterStage] => [adapter, "held"]));
    const add = (names: Iterable<string>, stage: AdapterStage) => {
        const prefix = `${model.name}/`;
        [...names].filter(name => name.startsWith(prefix)).forEach(name =>
            stages.set(name.slice(prefix.length), stage)
        );
    };
    add(dispatcher?.loadingAdapters ?? [], "coming");
    add(dispatcher?.unloadingAdapters ?? [], "leaving");
    return stages;
}
