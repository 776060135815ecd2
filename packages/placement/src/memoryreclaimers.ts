/** Frees memory for a model that fits nowhere, by unloading surplus replicas or relocating another model. */
import { bytesWithAdapters, type Model } from "@winchpath/declarations";
import { candidatesFor, selectAccelerator } from "./acceleratorselectors.js";
import { type AcceleratorView } from "./placementviews.js";
import { nameOf, type PlanBuilder, replicaShortfall } from "./placers.js";

export class MemoryReclaimer {
    public constructor(private readonly plan: PlanBuilder) {}

    /**
     * Plans actions that free memory for the model; a later plan loads it once the
     * memory is reported as free. Other models are only relocated for one that is
     * `unreachable`.
     */
    public freeMemoryFor(model: Model, unreachable: boolean): void {
        const requiredBytes = bytesWithAdapters(model);
        const candidates = candidatesFor(this.plan, model).filter(each => each.bytes >= requiredBytes);
        // Unloads in progress may free enough memory.
        if (candidates.some(each => each.free + unloadingBytes(each) >= requiredBytes)) {
            return;
        }
        if (
            !this.unloadEarlierVersion(candidates, requiredBytes, model)
            && !this.unloadSurplus(candidates, requiredBytes, model, unreachable) && unreachable
        ) {
            this.relocateNeighbour(candidates, requiredBytes);
        }
    }

    /** Unloads earlier versions of the model itself, but never the last one that is ready. */
    private unloadEarlierVersion(candidates: readonly AcceleratorView[], requiredBytes: number, model: Model): boolean {
        const earlierAt = (each: AcceleratorView) =>
            [...each.items].filter(([id, held]) =>
                id !== model.id && nameOf(id) === model.name && held.state === "resident" && held.ready
            );
        const total = this.plan.accelerators.reduce((sum, each) => sum + earlierAt(each).length, 0);
        for (const accelerator of candidates) {
            const earlier = earlierAt(accelerator);
            // Keeps one if all earlier versions are on this accelerator, as after two quick version changes.
            const dropped = earlier.length === total ? earlier.slice(0, -1) : earlier;
            const freed = dropped.reduce((sum, [, held]) => sum + held.bytes, 0);
            if (freed > 0 && accelerator.free + unloadingBytes(accelerator) + freed >= requiredBytes) {
                dropped.forEach(([id]) => this.plan.unload(accelerator, id, `freeing memory for ${model.id}`));
                return true;
            }
        }
        return false;
    }

    /** Unloads replicas that are neither the last one nor needed for demand, or not declared if the model is unreachable. */
    private unloadSurplus(
        candidates: readonly AcceleratorView[],
        requiredBytes: number,
        model: Model,
        unreachable: boolean,
    ): boolean {
        for (const accelerator of candidates) {
            const surplus = this.surplusModelsAt(accelerator, model, unreachable);
            let free = accelerator.free + unloadingBytes(accelerator);
            const chosen = surplus.filter(other => {
                const wanted = free < requiredBytes;
                free += wanted ? this.heldBytes(accelerator, other) : 0;
                return wanted;
            });
            if (free >= requiredBytes) {
                chosen.forEach(other =>
                    this.unloadWithAdapters(accelerator, other, `freeing memory for ${model.name}`)
                );
                return true;
            }
        }
        return false;
    }

    private surplusModelsAt(accelerator: AcceleratorView, model: Model, unreachable: boolean): Model[] {
        return this.plan.view.catalogue.models.filter(other => {
            const ready = this.plan.replicasOf(other).filter(replica => this.plan.isReadyAt(other, replica));
            const needed = Math.max(other.priority > model.priority ? other.minReplicas : 1, 1);
            const spare = ready.length > needed && ready.some(replica => replica === accelerator);
            // A model without any replica is served before another one's demand for more than its declared ones.
            const isBeyondDeclared = unreachable && ready.length > Math.max(1, other.minReplicas);
            return other !== model && spare && (isBeyondDeclared || replicaShortfall(this.plan, other) <= -1);
        });
    }

    /** Loads another model elsewhere; once that replica is ready, the one here is surplus and can be unloaded. */
    private relocateNeighbour(candidates: readonly AcceleratorView[], requiredBytes: number): void {
        for (const accelerator of candidates) {
            const neighbours = this.plan.view.catalogue.models.filter(other => this.isRelocatable(accelerator, other));
            for (const other of neighbours.sort((a, b) => bytesWithAdapters(a) - bytesWithAdapters(b))) {
                if (
                    accelerator.free + unloadingBytes(accelerator) + this.heldBytes(accelerator, other) < requiredBytes
                ) {
                    continue;
                }
                const elsewhere = selectAccelerator(this.plan, other, bytesWithAdapters(other));
                if (elsewhere !== undefined) {
                    this.plan.loadWithAdapters(elsewhere, other, "relocated to free memory");
                    return;
                }
            }
        }
    }

    private isRelocatable(accelerator: AcceleratorView, other: Model): boolean {
        const replicas = this.plan.replicasOf(other);
        return replicas.length === 1 && replicas[0] === accelerator && this.plan.isReadyAt(other, accelerator);
    }

    private heldBytes(accelerator: AcceleratorView, model: Model): number {
        return [model, ...model.adapters].reduce((sum, item) => sum + (accelerator.items.get(item.id)?.bytes ?? 0), 0);
    }

    private unloadWithAdapters(accelerator: AcceleratorView, model: Model, reason: string): void {
        const held = [...model.adapters, model].filter(item => accelerator.items.get(item.id)?.state === "resident");
        held.forEach(item => this.plan.unload(accelerator, item.id, reason));
    }
}

function unloadingBytes(accelerator: AcceleratorView): number {
    const unloading = [...accelerator.items.values()].filter(held => held.state === "unloading");
    return unloading.reduce((sum, held) => sum + held.bytes, 0);
}
