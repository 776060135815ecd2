/** Parses the response header that states an upstream's rate limit. */

/** A decimal number without sign or exponent. */
const decimal = /^\d{1,12}(\.\d{1,12})?$/;
/** Upper bound on parsed rates, in requests per second. */
const maxRatePerSecond = 1_000_000;

/**
 * Returns the lowest valid rate among the header's values, in requests per second, or undefined if there is none.
 */
export function ratePerSecond(values: Iterable<string>): number | undefined {
    const rates = [...values].map(value => value.trim()).filter(text => decimal.test(text)).map(Number);
    return rates.length === 0 ? undefined : Math.min(maxRatePerSecond, ...rates);
}
