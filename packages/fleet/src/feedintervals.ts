/**
 * Limits how often the leader sends changes to each entry. Urgent changes are sent at once; others are batched,
 * since a response per change and entry would exhaust the leader's CPU in large fleets, with 70 changes per second for
 * 68 entries.
 */

/** Changes within this time are sent together. */
export const batchMs = 5;
/** CPU time that one response costs the leader, in milliseconds: 0.36 with 68 entries, rounded up. */
const responseCpuMs = 0.4;
/** Maximum share of a core that responses may use under continuous changes. */
const maxCpuShare = 0.15;

/** Minimum time between two responses to one entry without urgent changes, in milliseconds. */
export function minResponseIntervalMs(entries: number): number {
    return Math.max(batchMs, entries * responseCpuMs / maxCpuShare);
}
