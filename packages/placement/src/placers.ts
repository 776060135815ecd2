/**
 * The placer: every model resident first, then replicas by priority and demand.
 * It changes what is there only where the gain is worth a move.
 */
import { type Model, type Target, unitBytes } from "@winchpath/declarations";
import { choosePlace } from "./places.js";
import { RoomMaker } from "./rooms.js";
import { type AcceleratorView, type Action, type HeldItem, type PlacementView, type Placer } from "./views.js";

/** Share of the replicas' capacity that demand may take before another replica is wanted. */
const targetUse = 0.7;

/** Replicas that a model has with its spare. */
const spareReplicas = 2;
/** Share of an accelerator that spares leave free, so that moves need not wait for memory. */
const headroomShare = 0.15;

/** The working copy of a plan: actions change it as if they had been carried out. */
export class Plan {
    public readonly actions: Action[] = [];
    public readonly accelerators: AcceleratorView[];

    public constructor(public readonly view: PlacementView) {
        this.accelerators = view.accelerators.map(each => ({ ...each, items: new Map(each.items) }));
    }

    /** Accelerators that stay, and that hold the model or are about to. */
    public replicasOf(model: Model): AcceleratorView[] {
        return this.accelerators.filter(each => each.stays && isHeld(each.items.get(model.id)));
    }

    /** Whether the model and all its adapters are ready there. */
    public isWholeAt(model: Model, replica: AcceleratorView): boolean {
        return [model, ...model.adapters].every(item => replica.items.get(item.id)?.ready === true);
    }

    public load(at: AcceleratorView, item: { id: string; bytes: number; }, reason: string): void {
        const { upstream, accelerator } = at;
        this.actions.push({ kind: "load", upstream, accelerator, item: item.id, bytes: item.bytes, reason });
        at.items.set(item.id, { state: "loading", bytes: item.bytes, ready: false });
        at.free -= item.bytes;
    }

    /** Memory is not free before the engine has shown it: `free` stays as it is. */
    public unload(at: AcceleratorView, id: string, reason: string): void {
        const held = at.items.get(id)!;
        const { upstream, accelerator } = at;
        this.actions.push({ kind: "unload", upstream, accelerator, item: id, bytes: held.bytes, reason });
        at.items.set(id, { ...held, state: "unloading", ready: false });
    }

    /** Loads the model with its adapters. */
    public loadUnit(at: AcceleratorView, model: Model, reason: string): void {
        [model, ...model.adapters].filter(item => !at.items.has(item.id)).forEach(item => this.load(at, item, reason));
    }
}

export class IncrementalPlacer implements Placer {
    /** Date.now() since when each model has had one replica only. */
    private readonly singleSince = new Map<string, number>();

    /** `sparePatienceMs`: how long a model has one replica before it gets a spare, so that an upstream that restarts costs no move. */
    public constructor(private readonly sparePatienceMs: number) {}

    public plan(view: PlacementView): Action[] {
        const plan = new Plan(view);
        const rooms = new RoomMaker(plan);
        const models = inOrderOfNeed(plan, view.catalogue.models);
        this.unloadUndeclared(plan);
        models.forEach(model => this.completeAdapters(plan, model));
        models.filter(model => plan.replicasOf(model).length === 0).forEach(model =>
            this.addReplica(plan, rooms, model, "unreachable")
        );
        models.forEach(model => this.scaleWithDemand(plan, rooms, model));
        models.forEach(model => this.retireOldVersions(plan, model));
        models.forEach(model => this.addSpare(plan, model));
        return plan.actions;
    }

    private scaleWithDemand(plan: Plan, rooms: RoomMaker, model: Model): void {
        const replicas = plan.replicasOf(model);
        if (replicas.length === 0) {
            return;
        }
        for (let count = replicas.length; count < model.minReplicas; count++) {
            this.addReplica(plan, rooms, model, "below its least replicas");
        }
        const gain = gainOfReplica(plan, model);
        if (plan.replicasOf(model).length < model.maxReplicas && gain > plan.view.moveCost) {
            const place = choosePlace(plan, model, unitBytes(model));
            if (place !== undefined) {
                plan.loadUnit(place, model, `demand above capacity by ${gain.toFixed(2)} replicas`);
            }
        }
    }

    /** A second replica in another data centre where memory lies idle: what is lost with a host is not missed then. */
    private addSpare(plan: Plan, model: Model): void {
        const replicas = plan.replicasOf(model);
        if (replicas.length !== 1 || model.maxReplicas < spareReplicas) {
            this.singleSince.delete(model.name);
            return;
        }
        const since = this.singleSince.get(model.name) ?? Date.now();
        this.singleSince.set(model.name, since);
        if (Date.now() - since < this.sparePatienceMs) {
            return;
        }
        const place = choosePlace(plan, model, unitBytes(model));
        const headroom = place === undefined ? 0 : place.free - unitBytes(model);
        if (
            place !== undefined && place.dataCentre !== replicas[0].dataCentre
            && headroom >= place.bytes * headroomShare
        ) {
            plan.loadUnit(place, model, "a spare in another data centre");
        }
    }

    private addReplica(plan: Plan, rooms: RoomMaker, model: Model, reason: string): void {
        const place = choosePlace(plan, model, unitBytes(model));
        if (place !== undefined) {
            plan.loadUnit(place, model, reason);
        }
        else {
            rooms.makeRoom(model, reason === "unreachable");
        }
    }

    private completeAdapters(plan: Plan, model: Model): void {
        for (const replica of plan.replicasOf(model)) {
            const missing = model.adapters.filter(adapter => !replica.items.has(adapter.id));
            for (const adapter of missing.filter(({ bytes }) => replica.orderable && bytes <= replica.free)) {
                plan.load(replica, adapter, `adapter of ${model.name}`);
            }
        }
    }

    private unloadUndeclared(plan: Plan): void {
        for (const at of plan.accelerators.filter(each => each.orderable)) {
            const held = new Set([...at.items].filter(([, item]) => isHeld(item)).map(([id]) => nameOf(id)));
            for (const [id, item] of at.items) {
                const target = plan.view.catalogue.target(nameOf(id));
                if (item.state === "resident" && target === undefined) {
                    plan.unload(at, id, "not declared");
                }
                else if (item.state === "resident" && isOrphan(target, held) && at.free < at.bytes * headroomShare) {
                    plan.unload(at, id, "its model is not here any more");
                }
            }
        }
    }

    /** An earlier version goes only when the declared one is ready in as many replicas. */
    private retireOldVersions(plan: Plan, model: Model): void {
        const ready = plan.replicasOf(model).filter(replica => plan.isWholeAt(model, replica)).length;
        for (const item of [model, ...model.adapters]) {
            const old = plan.accelerators.flatMap(at =>
                [...at.items].filter(([id, held]) =>
                    id !== item.id && nameOf(id) === item.name && held.state === "resident"
                )
                    .map(([id]) => ({ at, id }))
            );
            const wanted = Math.max(1, Math.min(model.minReplicas, old.length));
            if (ready >= wanted) {
                old.filter(({ at }) => at.orderable).forEach(({ at, id }) => plan.unload(at, id, "an earlier version"));
            }
        }
    }
}

/** An adapter whose model has gone: it does no harm while there is memory, and is there if the model comes back. */
function isOrphan(target: Target | undefined, held: ReadonlySet<string>): boolean {
    return target?.adapter !== undefined && !held.has(target.model.name);
}

/** Replicas' worth of demand beyond what the replicas can carry at the target use. */
export function gainOfReplica(plan: Plan, model: Model): number {
    const busy = plan.view.demand.get(model.name)?.busy ?? 0;
    const replicas = plan.replicasOf(model);
    const capacity = replicas.reduce((sum, replica) => sum + replica.capacity * replica.speed, 0);
    const each = capacity / Math.max(1, replicas.length);
    return each === 0 ? 0 : busy / (each * targetUse) - replicas.length;
}

export function nameOf(id: string): string {
    return id.slice(0, id.lastIndexOf("@"));
}

export function isHeld(item: HeldItem | undefined): boolean {
    return item !== undefined && item.state !== "unloading";
}

function inOrderOfNeed(plan: Plan, models: readonly Model[]): Model[] {
    const busy = (model: Model) => plan.view.demand.get(model.name)?.busy ?? 0;
    // Large ones first among equals: they are the hardest to fit.
    return [...models].sort((a, b) => b.priority - a.priority || busy(b) - busy(a) || unitBytes(b) - unitBytes(a));
}
