/** Makes room for a model that fits nowhere: by surplus replicas, or by moving one model on. */
import { type Model, unitBytes } from "@winchpath/declarations";
import { gainOfReplica, nameOf, type Plan } from "./placers.js";
import { candidatesFor, choosePlace } from "./places.js";
import { type AcceleratorView } from "./views.js";

export class RoomMaker {
    public constructor(private readonly plan: Plan) {}

    /**
     * Orders what frees an accelerator for the model; the load follows in a later
     * plan, when the memory has been shown to be free. Models are moved on only
     * for one that is `unreachable`.
     */
    public makeRoom(model: Model, unreachable: boolean): void {
        const need = unitBytes(model);
        const places = candidatesFor(this.plan, model).filter(each => each.bytes >= need);
        // Memory that is being freed already may be enough.
        if (places.some(each => each.free + bytesUnloading(each) >= need)) {
            return;
        }
        if (!this.dropEarlierVersion(places, need, model) && !this.dropSurplus(places, need, model) && unreachable) {
            this.moveOn(places, need);
        }
    }

    /** Unloads earlier versions of the model itself, as long as one of them is ready elsewhere or beside them. */
    private dropEarlierVersion(places: readonly AcceleratorView[], need: number, model: Model): boolean {
        const earlierAt = (each: AcceleratorView) =>
            [...each.items].filter(([id, held]) =>
                id !== model.id && nameOf(id) === model.name && held.state === "resident" && held.ready
            );
        const total = this.plan.accelerators.reduce((sum, each) => sum + earlierAt(each).length, 0);
        for (const place of places) {
            const earlier = earlierAt(place);
            // Where all of them are here, as after two changes of version in a row, the last one stays.
            const dropped = earlier.length === total ? earlier.slice(0, -1) : earlier;
            const freed = dropped.reduce((sum, [, held]) => sum + held.bytes, 0);
            if (freed > 0 && place.free + bytesUnloading(place) + freed >= need) {
                dropped.forEach(([id]) => this.plan.unload(place, id, `room for ${model.id}`));
                return true;
            }
        }
        return false;
    }

    /** Unloads replicas that are neither the last nor wanted for demand. */
    private dropSurplus(places: readonly AcceleratorView[], need: number, model: Model): boolean {
        for (const place of places) {
            const surplus = this.surplusAt(place, model);
            let free = place.free + bytesUnloading(place);
            const chosen = surplus.filter(other => {
                const wanted = free < need;
                free += wanted ? this.heldBytes(place, other) : 0;
                return wanted;
            });
            if (free >= need) {
                chosen.forEach(other => this.unloadUnit(place, other, `room for ${model.name}`));
                return true;
            }
        }
        return false;
    }

    private surplusAt(place: AcceleratorView, model: Model): Model[] {
        return this.plan.view.catalogue.models.filter(other => {
            const ready = this.plan.replicasOf(other).filter(replica => this.plan.isWholeAt(other, replica));
            const needed = Math.max(other.priority > model.priority ? other.minReplicas : 1, 1);
            const spare = ready.length > needed && ready.some(replica => replica === place);
            return other !== model && spare && gainOfReplica(this.plan, other) <= -1;
        });
    }

    /** Loads a neighbour elsewhere first; as a surplus replica it is unloaded here once that is ready. */
    private moveOn(places: readonly AcceleratorView[], need: number): void {
        for (const place of places) {
            const neighbours = this.plan.view.catalogue.models.filter(other => this.mayMoveOn(place, other));
            for (const other of neighbours.sort((a, b) => unitBytes(a) - unitBytes(b))) {
                if (place.free + bytesUnloading(place) + this.heldBytes(place, other) < need) {
                    continue;
                }
                const elsewhere = choosePlace(this.plan, other, unitBytes(other));
                if (elsewhere !== undefined) {
                    this.plan.loadUnit(elsewhere, other, "moved on to make room");
                    return;
                }
            }
        }
    }

    private mayMoveOn(place: AcceleratorView, other: Model): boolean {
        const replicas = this.plan.replicasOf(other);
        return replicas.length === 1 && replicas[0] === place && this.plan.isWholeAt(other, place);
    }

    private heldBytes(place: AcceleratorView, model: Model): number {
        return [model, ...model.adapters].reduce((sum, item) => sum + (place.items.get(item.id)?.bytes ?? 0), 0);
    }

    private unloadUnit(place: AcceleratorView, model: Model, reason: string): void {
        const held = [...model.adapters, model].filter(item => place.items.get(item.id)?.state === "resident");
        held.forEach(item => this.plan.unload(place, item.id, reason));
    }
}

function bytesUnloading(place: AcceleratorView): number {
    const unloading = [...place.items.values()].filter(held => held.state === "unloading");
    return unloading.reduce((sum, held) => sum + held.bytes, 0);
}
