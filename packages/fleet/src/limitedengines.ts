/** Engines that take few requests, by the rates that they have named. */
import { type ItemNeed } from "./demands.js";
import { type PlannedEngine } from "./plans.js";

/** An engine takes few requests below this share of its part of what callers ask for. */
const fewShare = 0.5;
/** Where more than this share of the engines take few, no others could do their work. */
const mostLimitedShare = 0.5;

/**
 * Engines to plan with: what those hold that take few requests is to be had elsewhere as well, since callers are sent
 * away otherwise. `rateOf`: requests a second that an engine takes; undefined where it has named no rate.
 */
export function withoutLimited(
    engines: readonly PlannedEngine[],
    needs: readonly ItemNeed[],
    rateOf: (engine: string) => number | undefined,
): readonly PlannedEngine[] {
    const part = needs.reduce((sum, { rate }) => sum + rate, 0) / Math.max(1, engines.length);
    const able = engines.filter(({ id }) => (rateOf(id) ?? Number.POSITIVE_INFINITY) >= part * fewShare);
    return able.length >= engines.length * mostLimitedShare ? able : engines;
}
