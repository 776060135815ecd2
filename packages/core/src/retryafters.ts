/** Parses the Retry-After header. */

/** Whole or fractional seconds. */
const seconds = /^\d{1,12}(\.\d{1,6})?$/;
/** An HTTP date. `Date.parse` alone would accept other values as well, such as "-1". */
const httpDate = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Returns the delay of a Retry-After header in milliseconds, or undefined if it is missing, invalid or not positive.
 * A date is measured from `date`, the response's Date header, or from this host's time if that is missing or invalid.
 */
export function retryAfterMs(value: string | undefined, date?: string): number | undefined {
    const text = value?.trim() ?? "";
    const ms = seconds.test(text)
        ? Number(text) * 1000
        : parseHttpDate(text) - parseHttpDateOr(date?.trim() ?? "", Date.now());
    return ms > 0 ? ms : undefined;
}

/** Returns NaN for anything but an HTTP date. */
function parseHttpDate(text: string): number {
    return httpDate.test(text) ? Date.parse(text) : Number.NaN;
}

function parseHttpDateOr(text: string, fallback: number): number {
    const parsed = parseHttpDate(text);
    return Number.isNaN(parsed) ? fallback : parsed;
}
