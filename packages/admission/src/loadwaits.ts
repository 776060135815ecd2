/**
 * Decides whether a request waits for a model that no upstream holds. Applies to routes whose objective exceeds the
 * time of a load from the weight store: their requests can wait for a load and still be answered in time.
 */

/** What is known about the next replica of a model. */
export interface LoadForecast {
    /** Time until a load in progress ends, in milliseconds; undefined if none is known to be in progress. */
    readonly readyInMs: number | undefined;
    /** Time of a load from the weight store, in milliseconds. */
    readonly storeLoadMs: number;
}

/** How long a request can wait. */
export interface WaitingTime {
    /** Time until the client gives up waiting for the first event, in milliseconds. */
    readonly firstEventRemainingMs: number;
    /** Expected time from sending the request to its first event, in milliseconds. */
    readonly workMs: number;
    /** Time left to reject the request early enough for a retry, in milliseconds; negative if it has passed. */
    readonly earlyMs: number;
}

/**
 * Delay of each message about a load, in milliseconds: of the plan that starts it, and of the feed that reports its end. A
 * request that waits for a load that is not in progress depends on both, so it waits for twice this time longer.
 */
export const loadSlackMs = 400;

/** Returns the time until the model is expected to be usable, in milliseconds. */
export function expectedReadyMs({ readyInMs, storeLoadMs }: LoadForecast): number {
    return readyInMs ?? storeLoadMs + loadSlackMs;
}

/**
 * Returns how long the request waits for the model, in milliseconds; it is rejected if the result is not positive. The
 * forecast changes while it waits, so the decision is repeated.
 */
export function loadWaitMs(forecast: LoadForecast, time: WaitingTime): number {
    const readyMs = expectedReadyMs(forecast);
    if (readyMs + time.workMs < time.firstEventRemainingMs) {
        return readyMs + loadSlackMs;
    }
    // A load that the leader has just planned may be unknown here; it may end earlier, from a copy on a host's disk.
    return forecast.readyInMs === undefined ? time.earlyMs : 0;
}

/** Returns the time after which a retry of a rejected request finds the model, in milliseconds. */
export function loadRetryMs(forecast: LoadForecast): number {
    return expectedReadyMs(forecast);
}

/** A request waits for a full engine within this share of its objective; the rest is for its own work there. */
const fullWaitObjectiveShare = 0.7;

/** Returns how long a request may wait for an upstream that is full, in milliseconds. */
export function fullWaitMs(objectiveMs: number, ageMs: number, workMs: number): number {
    return Math.min(objectiveMs * fullWaitObjectiveShare, objectiveMs - workMs) - ageMs;
}
