/** Selects an accelerator for an additional replica. */
import { type Model } from "@winchpath/declarations";
import { type AcceleratorView } from "./placementviews.js";
import { type PlanBuilder } from "./placers.js";

/** Returns the best accelerator with `bytes` free, or undefined: in a new data centre, then least utilized, then best fit. */
export function selectAccelerator(plan: PlanBuilder, model: Model, bytes: number): AcceleratorView | undefined {
    const candidates = candidatesFor(plan, model).filter(each => bytes <= each.free);
    const dataCentres = new Set(plan.replicasOf(model).map(replica => replica.dataCentre));
    const utilization = expectedUtilization(plan);
    return candidates.sort((a, b) =>
        Number(dataCentres.has(a.dataCentre)) - Number(dataCentres.has(b.dataCentre))
        || utilization.get(a.upstream)! - utilization.get(b.upstream)!
        || a.free - b.free
    )[0];
}

/** Accelerators on which the model may be loaded, regardless of free memory: in its data centres, and not on an upstream that has a replica. */
export function candidatesFor(plan: PlanBuilder, model: Model): AcceleratorView[] {
    const replicas = new Set(plan.replicasOf(model).map(replica => replica.upstream));
    return plan.accelerators.filter(each =>
        each.stays && each.orderable && !replicas.has(each.upstream) && !each.items.has(model.id)
        && (model.dataCentres?.includes(each.dataCentre) ?? true)
    );
}

/** Expected utilization of each upstream, with a model's demand spread evenly over its replicas. */
function expectedUtilization(plan: PlanBuilder): Map<string, number> {
    const utilization = new Map(plan.accelerators.map(each => [each.upstream, 0]));
    for (const model of plan.view.catalogue.models) {
        const replicas = plan.replicasOf(model);
        // A small constant spreads models without demand.
        const busy = (plan.view.demand.get(model.name)?.busy ?? 0) + 0.01;
        for (const replica of replicas) {
            const share = busy / replicas.length / (replica.capacity * replica.speed);
            utilization.set(replica.upstream, utilization.get(replica.upstream)! + share);
        }
    }
    return utilization;
}
