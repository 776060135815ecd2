/**
 * Demand that has gone unserved for too long. It is planned first, whatever other demand there is, until it is served: what
 * callers ask for again and again is not left out for good.
 */
import { type ItemKey } from "./items.js";

/** A model is overdue after this long without a served request, in milliseconds; a load takes one to nine seconds. */
const modelPatienceMs = 5000;
/** The same for an adapter, which loads in milliseconds once it has a place. */
const adapterPatienceMs = 3000;
/** Number of unserved requests from which an item is overdue: fewer may be one caller that has left. */
const minRequests = 3;
/** Number of holders that serve nothing beyond which no other one is added: the requests may fail anywhere. */
const maxHoldersReplaced = 3;
/** Callers of an unserved model are expected back for this long after its last request, in milliseconds. */
const modelRecentMs = 8000;
/** The same for an adapter; shorter, as its place can be taken again within milliseconds. */
const adapterRecentMs = 3000;

/** How long the requests for an item have gone unserved. */
interface UnservedDemand {
    /** Milliseconds since the last request. */
    readonly idleMs: number;
    /** 0 if the item is served or not requested. */
    readonly unservedMs: number;
    readonly unservedRequests: number;
}

/** How long requests for an item may go unserved until it is overdue, in milliseconds. */
export function patienceMsOf({ adapter }: Pick<ItemKey, "adapter">): number {
    return adapter === "" ? modelPatienceMs : adapterPatienceMs;
}

/** Whether the callers of a model of which nothing is served may come back. */
export function awaitsCallers(
    { isUnserved, idleMs }: { readonly isUnserved: boolean; readonly idleMs: number; },
): boolean {
    return isUnserved && idleMs < modelRecentMs;
}

export function isModelOverdue(need: UnservedDemand): boolean {
    return need.idleMs < modelRecentMs && need.unservedRequests >= minRequests && need.unservedMs >= modelPatienceMs;
}

/** Whether callers have asked for an adapter again after it was not served, and may come back. */
export function isAdapterRequestedAgain({ unservedRequests, idleMs }: UnservedDemand): boolean {
    return unservedRequests >= minRequests && idleMs < adapterRecentMs;
}

export function isAdapterOverdue(need: UnservedDemand): boolean {
    return isAdapterRequestedAgain(need) && need.unservedMs >= adapterPatienceMs;
}

/** Whether a model or adapter needs another holder, as the present ones serve nothing for the given time each. */
export function needsOtherHolder(unservedAtHoldersMs: number, holders: number, patienceMs: number): boolean {
    return holders < maxHoldersReplaced && unservedAtHoldersMs >= patienceMs * Math.max(1, holders);
}
