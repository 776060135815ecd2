/** Explains why a model has too few replicas. */
import { formatBytes } from "@winchpath/core";
import { bytesWithAdapters, type Model } from "@winchpath/declarations";
import { type AcceleratorView } from "./placementviews.js";

export interface PlacementReason {
    /** Whether this persists until the declarations or the hardware change. */
    readonly isPermanent: boolean;
    readonly text: string;
}

/** Determines the reason from the accelerators; `held` is the number of accelerators that hold the model. */
export function placementReason(model: Model, views: readonly AcceleratorView[], held: number): PlacementReason {
    const requiredBytes = bytesWithAdapters(model);
    const allowed = views.filter(view => view.stays && (model.dataCentres?.includes(view.dataCentre) ?? true));
    if (allowed.length === 0) {
        return { isPermanent: false, text: "no live engine in its data centres" };
    }
    if (!allowed.some(view => view.bytes >= requiredBytes)) {
        return { isPermanent: true, text: `it needs ${formatBytes(requiredBytes)}, more than any accelerator has` };
    }
    const free = Math.max(0, ...allowed.map(view => view.free));
    if (held === 0 && free < requiredBytes) {
        const text = `it needs ${formatBytes(requiredBytes)}, and no accelerator has more than ${
            formatBytes(free)
        } free`;
        return { isPermanent: false, text };
    }
    return { isPermanent: false, text: held > 0 ? "loading" : "waiting for its turn at the weight store" };
}
