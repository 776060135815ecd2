/** The header by which an answer names the rate of requests that its sender takes. */

/** A decimal number without sign or exponent. */
const decimal = /^\d{1,12}(\.\d{1,12})?$/;
/** More than any upstream takes, in requests a second. */
const mostPerSecond = 1_000_000;

/**
 * Requests a second, by the values of such a header; undefined where there is none that can be read. Of several the
 * lowest holds.
 */
export function ratePerSecond(values: Iterable<string>): number | undefined {
    const rates = [...values].map(value => value.trim()).filter(text => decimal.test(text)).map(Number);
    return rates.length === 0 ? undefined : Math.min(mostPerSecond, ...rates);
}
