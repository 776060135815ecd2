/** What requests ask of engines. */

/** The adapter is empty where the model alone is asked for. */
export interface ItemKey {
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
}

/** One string for a service's model, for maps. */
export function modelName(service: string, model: string): string {
    return `${service}/${model}`;
}

/** One string for an item, for maps. */
export function itemName(key: ItemKey): string {
    return `${key.service}/${key.model}/${key.adapter}`;
}
