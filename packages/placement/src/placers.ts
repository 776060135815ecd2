/**
 * Incremental placement: first one replica of each model, then further replicas by
 * priority and demand. Resident models are only moved where the gain exceeds the move cost.
 */
import { bytesWithAdapters, type Model, type Target } from "@winchpath/declarations";
import { selectAccelerator } from "./acceleratorselectors.js";
import { MemoryReclaimer } from "./memoryreclaimers.js";
import { type AcceleratorView, type Action, type HeldItem, type PlacementView, type Placer } from "./placementviews.js";

/** Utilization above which another replica is wanted. */
const targetUtilization = 0.7;

/** Number of replicas of a model that has a spare. */
const replicasWithSpare = 2;
/** Share of an accelerator's memory that spares leave free for other loads. */
const headroomShare = 0.15;

/** Builds a plan on a copy of the accelerators, to which actions are applied as if completed. */
export class PlanBuilder {
    public readonly actions: Action[] = [];
    public readonly accelerators: AcceleratorView[];

    public constructor(public readonly view: PlacementView) {
        this.accelerators = view.accelerators.map(each => ({ ...each, items: new Map(each.items) }));
    }

    /** Accelerators that hold or are loading the model, except on draining upstreams. */
    public replicasOf(model: Model): AcceleratorView[] {
        return this.accelerators.filter(each => each.stays && isHeld(each.items.get(model.id)));
    }

    /** Whether the model and all its adapters are ready on the accelerator. */
    public isReadyAt(model: Model, replica: AcceleratorView): boolean {
        return [model, ...model.adapters].every(item => replica.items.get(item.id)?.ready === true);
    }

    public load(at: AcceleratorView, item: { id: string; bytes: number; }, reason: string): void {
        const { upstream, accelerator } = at;
        this.actions.push({ kind: "load", upstream, accelerator, item: item.id, bytes: item.bytes, reason });
        at.items.set(item.id, { state: "loading", bytes: item.bytes, ready: false });
        at.free -= item.bytes;
    }

    /** Leaves `free` unchanged: memory only counts as free once the engine reports it. */
    public unload(at: AcceleratorView, id: string, reason: string): void {
        const held = at.items.get(id)!;
        const { upstream, accelerator } = at;
        this.actions.push({ kind: "unload", upstream, accelerator, item: id, bytes: held.bytes, reason });
        at.items.set(id, { ...held, state: "unloading", ready: false });
    }

    /** Loads the model with its adapters. */
    public loadWithAdapters(at: AcceleratorView, model: Model, reason: string): void {
        [model, ...model.adapters].filter(item => !at.items.has(item.id)).forEach(item => this.load(at, item, reason));
    }
}

export class IncrementalPlacer implements Placer {
    /** Date.now() since which each model has had a single replica. */
    private readonly singleSince = new Map<string, number>();

    /** `spareDelayMs`: how long a model has a single replica before it gets a spare, so that a restart does not trigger a load. */
    public constructor(private readonly spareDelayMs: number) {}

    public plan(view: PlacementView): Action[] {
        const plan = new PlanBuilder(view);
        const reclaimer = new MemoryReclaimer(plan);
        const models = sortByNeed(plan, view.catalogue.models);
        this.unloadUndeclared(plan);
        models.forEach(model => this.loadMissingAdapters(plan, model));
        models.filter(model => plan.replicasOf(model).length === 0).forEach(model =>
            this.addReplica(plan, reclaimer, model, "unreachable")
        );
        models.forEach(model => this.scaleWithDemand(plan, reclaimer, model));
        models.forEach(model => this.unloadEarlierVersions(plan, model));
        models.forEach(model => this.addSpare(plan, model));
        return plan.actions;
    }

    private scaleWithDemand(plan: PlanBuilder, reclaimer: MemoryReclaimer, model: Model): void {
        const replicas = plan.replicasOf(model);
        if (replicas.length === 0) {
            return;
        }
        for (let count = replicas.length; count < model.minReplicas; count++) {
            this.addReplica(plan, reclaimer, model, "below the minimum number of replicas");
        }
        const shortfall = replicaShortfall(plan, model);
        if (plan.replicasOf(model).length < model.maxReplicas && shortfall > plan.view.moveCost) {
            const accelerator = selectAccelerator(plan, model, bytesWithAdapters(model));
            if (accelerator !== undefined) {
                plan.loadWithAdapters(accelerator, model, `demand above capacity by ${shortfall.toFixed(2)} replicas`);
            }
        }
    }

    /** Adds a second replica in another data centre if there is unused memory, so that the model survives the loss of a host. */
    private addSpare(plan: PlanBuilder, model: Model): void {
        const replicas = plan.replicasOf(model);
        if (replicas.length !== 1 || model.maxReplicas < replicasWithSpare) {
            this.singleSince.delete(model.name);
            return;
        }
        const since = this.singleSince.get(model.name) ?? Date.now();
        this.singleSince.set(model.name, since);
        if (Date.now() - since < this.spareDelayMs) {
            return;
        }
        const accelerator = selectAccelerator(plan, model, bytesWithAdapters(model));
        const headroom = accelerator === undefined ? 0 : accelerator.free - bytesWithAdapters(model);
        if (
            accelerator !== undefined && accelerator.dataCentre !== replicas[0].dataCentre
            && headroom >= accelerator.bytes * headroomShare
        ) {
            plan.loadWithAdapters(accelerator, model, "spare replica in another data centre");
        }
    }

    private addReplica(plan: PlanBuilder, reclaimer: MemoryReclaimer, model: Model, reason: string): void {
        const accelerator = selectAccelerator(plan, model, bytesWithAdapters(model));
        if (accelerator !== undefined) {
            plan.loadWithAdapters(accelerator, model, reason);
        }
        else {
            reclaimer.freeMemoryFor(model, reason === "unreachable");
        }
    }

    private loadMissingAdapters(plan: PlanBuilder, model: Model): void {
        for (const replica of plan.replicasOf(model)) {
            const missing = model.adapters.filter(adapter => !replica.items.has(adapter.id));
            for (const adapter of missing.filter(({ bytes }) => replica.orderable && bytes <= replica.free)) {
                plan.load(replica, adapter, `adapter of ${model.name}`);
            }
        }
    }

    private unloadUndeclared(plan: PlanBuilder): void {
        for (const at of plan.accelerators.filter(each => each.orderable)) {
            const held = new Set([...at.items].filter(([, item]) => isHeld(item)).map(([id]) => nameOf(id)));
            for (const [id, item] of at.items) {
                const target = plan.view.catalogue.findTarget(nameOf(id));
                if (item.state === "resident" && target === undefined) {
                    plan.unload(at, id, "not declared");
                }
                else if (item.state === "resident" && isOrphan(target, held) && at.free < at.bytes * headroomShare) {
                    plan.unload(at, id, "adapter without its model");
                }
            }
        }
    }

    /** Unloads earlier versions once enough replicas of the declared version are ready. */
    private unloadEarlierVersions(plan: PlanBuilder, model: Model): void {
        const ready = plan.replicasOf(model).filter(replica => plan.isReadyAt(model, replica)).length;
        for (const item of [model, ...model.adapters]) {
            const old = plan.accelerators.flatMap(at =>
                [...at.items].filter(([id, held]) =>
                    id !== item.id && nameOf(id) === item.name && held.state === "resident"
                )
                    .map(([id]) => ({ at, id }))
            );
            const wanted = Math.max(1, Math.min(model.minReplicas, old.length));
            if (ready >= wanted) {
                old.filter(({ at }) => at.orderable).forEach(({ at, id }) => plan.unload(at, id, "earlier version"));
            }
        }
    }
}

/** Whether the item is an adapter without its model; it stays loaded while there is memory, in case the model returns. */
function isOrphan(target: Target | undefined, held: ReadonlySet<string>): boolean {
    return target?.adapter !== undefined && !held.has(target.model.name);
}

/** Demand above what the replicas can serve at the target utilization, in replicas; negative if there is a surplus. */
export function replicaShortfall(plan: PlanBuilder, model: Model): number {
    const busy = plan.view.demand.get(model.name)?.busy ?? 0;
    const replicas = plan.replicasOf(model);
    const capacity = replicas.reduce((sum, replica) => sum + replica.capacity * replica.speed, 0);
    const each = capacity / Math.max(1, replicas.length);
    return each === 0 ? 0 : busy / (each * targetUtilization) - replicas.length;
}

export function nameOf(id: string): string {
    return id.slice(0, id.lastIndexOf("@"));
}

export function isHeld(item: HeldItem | undefined): boolean {
    return item !== undefined && item.state !== "unloading";
}

function sortByNeed(plan: PlanBuilder, models: readonly Model[]): Model[] {
    const busy = (model: Model) => plan.view.demand.get(model.name)?.busy ?? 0;
    // Larger models first among equals, as they are harder to fit.
    return [...models].sort((a, b) =>
        b.priority - a.priority || busy(b) - busy(a) || bytesWithAdapters(b) - bytesWithAdapters(a)
    );
}
