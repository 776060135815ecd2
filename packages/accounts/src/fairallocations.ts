/** Weighted max-min fair division of capacity. */

/** Demand of one account, in any unit of work per second. */
export interface ShareDemand {
    readonly account: string;
    readonly demand: number;
    /** Positive. */
    readonly weight: number;
}

/**
 * Returns the highest rate per unit of weight at which the demands, each cut at `weight` times this rate, don't exceed
 * the capacity; infinite if all demands can be met.
 */
export function fairLevel(demands: readonly ShareDemand[], capacity: number): number {
    const ordered = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
    let remaining = capacity;
    let weight = ordered.reduce((sum, demand) => sum + demand.weight, 0);
    for (const next of ordered) {
        if (next.demand * weight > remaining * next.weight) {
            return Math.max(0, remaining) / weight;
        }
        remaining -= next.demand;
        weight -= next.weight;
    }
    return Number.POSITIVE_INFINITY;
}
