/** A monotonic clock. */

/** The original `Date.now`, used to detect tests that mock it. */
const systemNow = Date.now;

/**
 * Milliseconds since an arbitrary moment, unaffected by changes of the system
 * time; for timeouts, leases and ages. The value is an integer because RPC
 * timeouts must be. Follows `Date` while a test mocks it.
 */
export function steadyNow(): number {
    return Date.now === systemNow ? Math.floor(performance.now()) : Date.now();
}
