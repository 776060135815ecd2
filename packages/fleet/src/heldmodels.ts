/** Helpers for lists of the models that an engine holds. */
import { create } from "@bufbuild/protobuf";
import { type HeldModel, HeldModelSchema } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type EngineOrder } from "./orders.js";

/** Creates a model without adapters that is ready in `readyInMs`. */
export function createHeldModel(name: string, readyInMs: number): HeldModel {
    return create(HeldModelSchema, { name, readyInMs: Math.round(readyInMs) });
}

/** Whether an order unloads an adapter, and not a whole model. */
export function isAdapterUnload({ kind, adapter }: EngineOrder): boolean {
    return kind === "unload" && adapter !== "";
}

/** Name of an order's adapter, as "model/adapter". */
export function qualifiedAdapterName({ model, adapter }: EngineOrder): string {
    return `${model}/${adapter}`;
}

/** Names of all adapters that are held, as "model/adapter". */
export function heldAdapterNames({ models }: { readonly models: readonly HeldModel[]; }): string[] {
    return models.flatMap(model => model.adapters.map(adapter => `${model.name}/${adapter}`));
}

/** Updates a list of models with the effect of a completed order. */
export function applyOrder(models: HeldModel[], order: EngineOrder): void {
    const held = models.find(model => model.name === order.model);
    if (order.adapter === "") {
        if (order.kind === "unload") {
            removeModel(models, order.model, () => true);
        }
        else if (held === undefined) {
            models.push(createHeldModel(order.model, 0));
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

/** Removes the model with the given name from a list, if it meets a condition. */
export function removeModel(models: HeldModel[], name: string, condition: (held: HeldModel) => boolean): void {
    const index = models.findIndex(model => model.name === name && condition(model));
    if (index !== -1) {
        models.splice(index, 1);
    }
}
