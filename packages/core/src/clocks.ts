/** The clock for durations: it never jumps, whatever happens to the time of day. */

/** As it was when the process started; a test that pauses the clock puts another in its place. */
const systemNow = Date.now;

/**
 * Whole milliseconds since some moment in the past. Timeouts, leases and ages
 * are measured with it: the time of day may step by hours while a process runs.
 * They are whole since timeouts of RPCs have to be.
 * Where a test pauses `Date`, it follows the paused clock.
 */
export function steadyNow(): number {
    return Date.now === systemNow ? Math.floor(performance.now()) : Date.now();
}
