/** Weights of client accounts for sharing capacity. */
import { type ClientAccount, type LimitUnit } from "@winchpath/declarations";

/** Weight of an account without a configured weight or limit; 1 is the weight of an average account. */
export const defaultWeight = 1;

/**
 * Returns the weight of each account: the configured one, or else its limit relative to the mean of the limits with the
 * same unit, since limits in tokens and in requests can't be compared.
 */
export function weightsOf(accounts: readonly ClientAccount[]): ReadonlyMap<string, number> {
    const means = new Map<LimitUnit, number>();
    for (const unit of ["requests", "tokens"] as const) {
        const rates = accounts.flatMap(({ limit }) => limit?.unit === unit ? [limit.perSecond] : []);
        means.set(unit, rates.reduce((sum, rate) => sum + rate, 0) / rates.length);
    }
    return new Map(accounts.map(({ name, weight, limit }) => [
        name,
        weight ?? (limit === undefined ? defaultWeight : limit.perSecond / means.get(limit.unit)!),
    ]));
}
