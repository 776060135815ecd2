/** Computes the admission limit at which the admitted demand of a service equals what its upstreams sustain. */
import { type LevelRate } from "./levelrates.js";
import { type AdmissionLimit, openLimit } from "./steadylevels.js";

/**
 * Capacity counts as short from this share of requests that find none. A more urgent kind may be served up to 5 in 100 less
 * often than a less urgent one, so a smaller shortage needs no order of admission.
 */
export const shortageShare = 0.05;

/**
 * Returns the limit for the given rates, the most urgent level first; {@link openLimit} unless capacity is short.
 *
 * @param current the limit in force
 */
export function targetLimit(rates: readonly LevelRate[], current: AdmissionLimit): AdmissionLimit {
    if (rates.length < 2 || !isShort(rates, current)) {
        return openLimit;
    }
    let remaining = rates.reduce((sum, { accepted }) => sum + accepted, 0);
    for (const { level, demand } of rates) {
        if (demand > remaining) {
            // The most urgent level is always admitted: it has to wait for nobody, and its waits are bounded.
            return level === rates[0].level ? level + 1 : level + remaining / demand;
        }
        remaining -= demand;
    }
    return openLimit;
}

/** Whether requests within the limit find no capacity. Those that the limit itself rejects say nothing about it. */
function isShort(rates: readonly LevelRate[], current: AdmissionLimit): boolean {
    let admitted = 0;
    let turnedAway = 0;
    for (const rate of rates) {
        const share = Math.max(0, Math.min(1, current - rate.level));
        admitted += rate.arrived * share;
        turnedAway += share === 0 ? 0 : Math.max(0, rate.turnedAway - rate.arrived * (1 - share));
    }
    return turnedAway > admitted * shortageShare;
}

/** Whether a request is admitted although it has to wait; `draw`: a number from 0 to 1 that is fixed for the request. */
export function isWithin(limit: AdmissionLimit, level: number, draw: number): boolean {
    return limit >= openLimit || level < Math.floor(limit) || (level < limit && draw < limit - level);
}
