/**
 * Reserves capacity for requests that are rejected and told when to return. Retries can't be recognized, so the promises
 * of an entry are a number of returns at a time: any request of the level may use one that is due, and none that is not.
 */
import { levelCount } from "./levelrates.js";

/** What a service can take at this entry, in requests per second. */
export interface ReturnCapacity {
    /** This entry's share of what the service sustains over all entries. */
    readonly total: number;
    /** Requests that arrive here for more urgent levels than the one that is rejected. */
    readonly moreUrgent: number;
}

/** Longest and shortest time until a return, in milliseconds. */
export interface ReturnBounds {
    readonly minMs: number;
    /** Clients with this time left don't come back later. */
    readonly maxMs: number;
    /** Later returns get no promise: they could not be answered in time any more, and others can. */
    readonly promiseMs: number;
}

/** Share of the capacity that returns of each level get at least, so that a promise is possible under any load. */
const minReturnShare = 0.05;
/** A promise expires this long after it was due, in milliseconds: clients return a little later, over the network. */
const promiseLifeMs = 500;
/** Maximum number of promises that are kept. */
const maxPromises = 2000;

interface Promised {
    readonly level: number;
    readonly at: number;
}

export class ReturnSchedule {
    /** Earliest time of the next promise by level. */
    private readonly nextAt = new Array<number>(levelCount).fill(Number.NEGATIVE_INFINITY);
    /** Promises that nobody has used yet. */
    private promises: Promised[] = [];

    /** Number of promises that nobody has used yet. */
    public get promised(): number {
        return this.promises.length;
    }

    /**
     * Returns the delay after which a rejected request should return, in milliseconds. Returns of a level are spaced by
     * the capacity that is left for it; promises to a level delay those to the same and to less urgent levels.
     */
    public reserve(
        level: number,
        capacity: ReturnCapacity,
        { minMs, maxMs, promiseMs }: ReturnBounds,
        now: number,
    ): number {
        const rate = Math.max(capacity.total * minReturnShare, capacity.total - capacity.moreUrgent);
        const at = Math.max(now + minMs, this.nextAt[level]);
        const latestMs = Math.min(maxMs, promiseMs);
        if (!(rate > 0) || at > now + latestMs || this.promises.length >= maxPromises) {
            // Without a promise, the client may still find capacity that others leave, if it returns while it can be in time.
            return minMs;
        }
        const spacingMs = 1000 / rate;
        for (let other = level; other < levelCount; other++) {
            this.nextAt[other] = Math.max(this.nextAt[other], now + minMs) + spacingMs;
        }
        this.promises.push({ level, at });
        return at - now;
    }

    /** Takes a promise to the level that is due; returns false if there is none. */
    public tryClaim(level: number, now: number): boolean {
        this.promises = this.promises.filter(({ at }) => at + promiseLifeMs > now);
        const index = this.promises.findIndex(promised => promised.level === level && promised.at <= now);
        if (index === -1) {
            return false;
        }
        this.promises.splice(index, 1);
        return true;
    }
}
