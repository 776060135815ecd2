/** Baseline placers for benchmarks: first fit and worst fit, recomputed for each plan. */
import { bytesWithAdapters, type Model } from "@winchpath/declarations";
import {
    acceleratorKey,
    type AcceleratorView,
    type Action,
    type PlacementView,
    type Placer,
} from "./placementviews.js";

/**
 * Packs all models from scratch in catalogue order, each replica into the first
 * accelerator with enough memory; then unloads what the packing does not contain
 * and loads what is missing.
 */
export class FirstFitPlacer implements Placer {
    /** With `spread`, uses worst fit and the declared minimum of replicas. */
    public constructor(private readonly spread = false) {}

    public plan(view: PlacementView): Action[] {
        const wanted = this.pack(view);
        const unloads = view.accelerators.flatMap(each => surplusUnloads(each, wanted.get(acceleratorKey(each))!));
        const loads = view.accelerators.flatMap(each => missingLoads(each, wanted.get(acceleratorKey(each))!));
        return [...unloads, ...loads];
    }

    private pack(view: PlacementView): Map<string, Map<string, number>> {
        const wanted = new Map(view.accelerators.map(each => [acceleratorKey(each), new Map<string, number>()]));
        const free = new Map(view.accelerators.map(each => [acceleratorKey(each), each.stays ? each.bytes : 0]));
        for (const model of view.catalogue.models) {
            const replicas = new Set<string>();
            const count = this.spread ? model.minReplicas : wantedReplicas(model, view);
            for (const each of this.packingOrder(view, free)) {
                const key = acceleratorKey(each);
                if (
                    replicas.size < count && !replicas.has(each.upstream)
                    && bytesWithAdapters(model) <= free.get(key)!
                ) {
                    replicas.add(each.upstream);
                    free.set(key, free.get(key)! - bytesWithAdapters(model));
                    [model, ...model.adapters].forEach(item => wanted.get(key)!.set(item.id, item.bytes));
                }
            }
        }
        return wanted;
    }

    private packingOrder(view: PlacementView, free: ReadonlyMap<string, number>): readonly AcceleratorView[] {
        if (!this.spread) {
            return view.accelerators;
        }
        return [...view.accelerators].sort((a, b) => free.get(acceleratorKey(b))! - free.get(acceleratorKey(a))!);
    }
}

/** Number of replicas that current demand requires. */
function wantedReplicas(model: Model, view: PlacementView): number {
    const capacity = view.accelerators[0]?.capacity ?? 1;
    const busy = view.demand.get(model.name)?.busy ?? 0;
    return Math.min(model.maxReplicas, Math.max(model.minReplicas, Math.ceil(busy / capacity)));
}

function surplusUnloads(view: AcceleratorView, wanted: ReadonlyMap<string, number>): Action[] {
    const { upstream, accelerator } = view;
    const surplus = [...view.items].filter(([item, held]) => held.state === "resident" && !wanted.has(item));
    return surplus.map(([item, { bytes }]) => ({
        kind: "unload",
        upstream,
        accelerator,
        item,
        bytes,
        reason: "not in the packing",
    }));
}

function missingLoads(view: AcceleratorView, wanted: ReadonlyMap<string, number>): Action[] {
    const { upstream, accelerator } = view;
    const missing = [...wanted].filter(([item, bytes]) => !view.items.has(item) && bytes <= view.free);
    return missing.map(([item, bytes]) => ({
        kind: "load",
        upstream,
        accelerator,
        item,
        bytes,
        reason: "in the packing",
    }));
}
