/**
 * `Result`, `Ok` and `Err` of ts-results, re-exported in one place: that library
 * is CommonJS, and its named exports are not visible to ES modules.
 */
import results, { type Result as TsResult } from "ts-results";

/** A value, or the typed reason why there is none. */
export type Result<T, E> = TsResult<T, E>;

export const { Ok, Err } = results;
