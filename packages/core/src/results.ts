/**
 * Re-exports `Result`, `Ok` and `Err` of ts-results, whose named exports are not
 * visible to ES modules because it is a CommonJS library.
 */
import results, { type Result as TsResult } from "ts-results";

/** Either a value or a typed error. */
export type Result<T, E> = TsResult<T, E>;

export const { Ok, Err } = results;
