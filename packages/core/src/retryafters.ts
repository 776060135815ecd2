/** The header by which an answer says when to come back. */

/** Whole or fractional seconds. */
const seconds = /^\d{1,12}(\.\d{1,6})?$/;
/** A date as HTTP writes it; the runtime would read much else as a date, "-1" among it. */
const httpDate = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Milliseconds after which to come back, by the value of a Retry-After header; undefined where there is none, where
 * it can't be read, and where it says at once. `date`: value of the answer's own Date header, which a date is
 * measured from; this host's time of day where there is none.
 */
export function retryAfterMs(value: string | undefined, date?: string): number | undefined {
    const text = value?.trim() ?? "";
    const ms = seconds.test(text) ? Number(text) * 1000 : dateOf(text) - dateOr(date?.trim() ?? "", Date.now());
    return ms > 0 ? ms : undefined;
}

/** NaN where a text is no date. */
function dateOf(text: string): number {
    return httpDate.test(text) ? Date.parse(text) : Number.NaN;
}

function dateOr(text: string, otherwise: number): number {
    const parsed = dateOf(text);
    return Number.isNaN(parsed) ? otherwise : parsed;
}
