/** Keys of the items that requests ask for: models and adapters. */

/** A model of a service, or one of its adapters where `adapter` is not empty. */
export interface ItemKey {
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
}

/** Map key of a service's model. */
export function modelMapKey(service: string, model: string): string {
    return `${service}/${model}`;
}

/** Map key of an item. */
export function itemMapKey(key: ItemKey): string {
    return `${key.service}/${key.model}/${key.adapter}`;
}
