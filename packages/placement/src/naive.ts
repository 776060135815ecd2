/** Placers to compare with: first fit and worst fit in declared order, anew at each change. */
import { type Model, unitBytes } from "@winchpath/declarations";
import { type AcceleratorView, type Action, keyOf, type PlacementView, type Placer } from "./views.js";

/**
 * Packs the models in the order of their names, each replica into the first
 * accelerator with room, as if nothing were loaded yet; then unloads what is
 * not part of that packing, and loads what is missing.
 */
export class FirstFitPlacer implements Placer {
    /** With `spread` each replica goes to the emptiest accelerator instead, and there is one for each declared replica. */
    public constructor(private readonly spread = false) {}

    public plan(view: PlacementView): Action[] {
        const wanted = this.pack(view);
        const unloads = view.accelerators.flatMap(each => unloadsOf(each, wanted.get(keyOf(each))!));
        const loads = view.accelerators.flatMap(each => loadsOf(each, wanted.get(keyOf(each))!));
        return [...unloads, ...loads];
    }

    private pack(view: PlacementView): Map<string, Map<string, number>> {
        const wanted = new Map(view.accelerators.map(each => [keyOf(each), new Map<string, number>()]));
        const free = new Map(view.accelerators.map(each => [keyOf(each), each.stays ? each.bytes : 0]));
        for (const model of view.catalogue.models) {
            const replicas = new Set<string>();
            const count = this.spread ? model.minReplicas : wantedReplicas(model, view);
            for (const each of this.inOrder(view, free)) {
                const key = keyOf(each);
                if (
                    replicas.size < count && !replicas.has(each.upstream)
                    && unitBytes(model) <= free.get(key)!
                ) {
                    replicas.add(each.upstream);
                    free.set(key, free.get(key)! - unitBytes(model));
                    [model, ...model.adapters].forEach(item => wanted.get(key)!.set(item.id, item.bytes));
                }
            }
        }
        return wanted;
    }

    private inOrder(view: PlacementView, free: ReadonlyMap<string, number>): readonly AcceleratorView[] {
        if (!this.spread) {
            return view.accelerators;
        }
        return [...view.accelerators].sort((a, b) => free.get(keyOf(b))! - free.get(keyOf(a))!);
    }
}

/** One replica for each replica's worth of demand, as it is now. */
function wantedReplicas(model: Model, view: PlacementView): number {
    const capacity = view.accelerators[0]?.capacity ?? 1;
    const busy = view.demand.get(model.name)?.busy ?? 0;
    return Math.min(model.maxReplicas, Math.max(model.minReplicas, Math.ceil(busy / capacity)));
}

function unloadsOf(view: AcceleratorView, wanted: ReadonlyMap<string, number>): Action[] {
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

function loadsOf(view: AcceleratorView, wanted: ReadonlyMap<string, number>): Action[] {
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
