/** What a list of held models becomes by orders, and what their adapters are called. */
import { type HeldModel } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type EngineOrder } from "./orders.js";
import { heldModel } from "./registries.js";

/** Whether an order gives up an adapter, and not its model. */
export function isAdapterUnload({ kind, adapter }: EngineOrder): boolean {
    return kind === "unload" && adapter !== "";
}

/** "model/adapter". */
export function adapterName({ model, adapter }: EngineOrder): string {
    return `${model}/${adapter}`;
}

/** Adapters that are held, "model/adapter". */
export function heldAdapters({ models }: { readonly models: readonly HeldModel[]; }): string[] {
    return models.flatMap(model => model.adapters.map(adapter => `${model.name}/${adapter}`));
}

/** Changes a list of models as an order does that has taken effect. */
export function applyOrder(models: HeldModel[], order: EngineOrder): void {
    const held = models.find(model => model.name === order.model);
    if (order.adapter === "") {
        if (order.kind === "unload") {
            remove(models, order.model, () => true);
        }
        else if (held === undefined) {
            models.push(heldModel(order.model, 0));
        }
        else {
            held.readyInMs = 0;
        }
        return;
    }
    if (held !== undefined) {
        held.adapters = held.adapters.filter(adapter => adapter !== order.adapter);
        if (order.kind === "load") {
            held.adapters.push(order.adapter);
        }
    }
}

/** Takes the model of a name out of a list, where it meets a condition. */
export function remove(models: HeldModel[], name: string, condition: (held: HeldModel) => boolean): void {
    const index = models.findIndex(model => model.name === name && condition(model));
    if (index !== -1) {
        models.splice(index, 1);
    }
}
