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
/** Callers of an unserved model are expected back for at least this long after its last request, in milliseconds. */
const modelRecentMs = 8000;
/** The same for an adapter; shorter, as its place can be taken again within milliseconds. */
const adapterRecentMs = 3000;
/** They are also expected back for this many times the longest pause between the requests so far. */
const expectedPauses = 2;
/** Longest time for which callers are expected back, in milliseconds: memory or a place is kept for them meanwhile. */
const maxRecentMs = 20_000;

/** How long the requests for an item have gone unserved. */
interface UnservedDemand {
    /** Milliseconds since the last request. */
    readonly idleMs: number;
    /** 0 if the item is served or not requested. */
    readonly unservedMs: number;
    readonly unservedRequests: number;
    /** Longest time between two successive ones, in milliseconds; 0 if there is only one. */
    readonly longestPauseMs: number;
}

/** How long requests for an item may go unserved until it is overdue, in milliseconds. */
export function patienceMsOf({ adapter }: Pick<ItemKey, "adapter">): number {
    return adapter === "" ? modelPatienceMs : adapterPatienceMs;
}

/** How long callers are expected back after the last request, in milliseconds, by the pauses that they have made so far. */
function expectedBackMs({ longestPauseMs }: Pick<UnservedDemand, "longestPauseMs">, leastMs: number): number {
    return Math.min(maxRecentMs, Math.max(leastMs, longestPauseMs * expectedPauses));
}

/**
 * What an item is owed: the requests since it was last served, at its present rate, or at its own pace if that is more. A rate
 * fades between two rare requests; a count of requests would not fade once demand has moved on.
 *
 * @returns number of requests
 */
export function owedRequests(
    { rate, unservedMs, longestPauseMs }: Pick<UnservedDemand, "unservedMs" | "longestPauseMs"> & {
        readonly rate: number;
    },
): number {
    const slowestRate = longestPauseMs > 0 ? 1000 / longestPauseMs : 0;
    return Math.max(rate, slowestRate) * unservedMs / 1000;
}

/** Whether the callers of a model of which nothing is served may come back. */
export function awaitsCallers(
    need: Pick<UnservedDemand, "idleMs" | "longestPauseMs"> & { readonly isUnserved: boolean; },
): boolean {
    return need.isUnserved && need.idleMs < expectedBackMs(need, modelRecentMs);
}

export function isModelOverdue(need: UnservedDemand): boolean {
    return need.idleMs < expectedBackMs(need, modelRecentMs) && need.unservedRequests >= minRequests
        && need.unservedMs >= modelPatienceMs;
}

/** Whether callers have asked for an adapter again after it was not served, and may come back. */
export function isAdapterRequestedAgain(need: UnservedDemand): boolean {
    return need.unservedRequests >= minRequests && need.idleMs < expectedBackMs(need, adapterRecentMs);
}

export function isAdapterOverdue(need: UnservedDemand): boolean {
    return isAdapterRequestedAgain(need) && need.unservedMs >= adapterPatienceMs;
}

/** Whether a model or adapter needs another holder, as the present ones serve nothing for the given time each. */
export function needsOtherHolder(unservedAtHoldersMs: number, holders: number, patienceMs: number): boolean {
    return holders < maxHoldersReplaced && unservedAtHoldersMs >= patienceMs * Math.max(1, holders);
}
