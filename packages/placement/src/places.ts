/** The choice of an accelerator for one more replica. */
import { type Model } from "@winchpath/declarations";
import { type Plan } from "./placers.js";
import { type AcceleratorView } from "./views.js";

/** The best accelerator with room for `bytes`, or undefined. */
export function choosePlace(plan: Plan, model: Model, bytes: number): AcceleratorView | undefined {
    const candidates = candidatesFor(plan, model).filter(each => bytes <= each.free);
    const centres = new Set(plan.replicasOf(model).map(replica => replica.dataCentre));
    const pressure = pressures(plan);
    return candidates.sort((a, b) =>
        Number(centres.has(a.dataCentre)) - Number(centres.has(b.dataCentre))
        || pressure.get(a.upstream)! - pressure.get(b.upstream)!
        || a.free - b.free
    )[0];
}

/** Accelerators that may take the model, apart from their room: in its data centres, and not beside another replica. */
export function candidatesFor(plan: Plan, model: Model): AcceleratorView[] {
    const replicas = new Set(plan.replicasOf(model).map(replica => replica.upstream));
    return plan.accelerators.filter(each =>
        each.stays && each.orderable && !replicas.has(each.upstream) && !each.items.has(model.id)
        && (model.dataCentres?.includes(each.dataCentre) ?? true)
    );
}

/** Expected requests at each upstream, in shares of its capacity; a model's demand is spread over its replicas. */
function pressures(plan: Plan): Map<string, number> {
    const pressure = new Map(plan.accelerators.map(each => [each.upstream, 0]));
    for (const model of plan.view.catalogue.models) {
        const replicas = plan.replicasOf(model);
        // A model without demand yet still counts a little, so that idle models spread out.
        const busy = (plan.view.demand.get(model.name)?.busy ?? 0) + 0.01;
        for (const replica of replicas) {
            const share = busy / replicas.length / (replica.capacity * replica.speed);
            pressure.set(replica.upstream, pressure.get(replica.upstream)! + share);
        }
    }
    return pressure;
}
