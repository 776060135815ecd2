/** The bound on the retries that all entries together send to the upstreams of a service. */
export interface RetryBound {
    /** Maximum number of retries per request. */
    readonly ratio: number;
    /** Retries in a window beyond the ratio. Leased to entries as slots, each for one retry per window. */
    readonly slack: number;
    /** Length of the window in milliseconds; it slides, so the bound holds in every span of this length. */
    readonly windowMs: number;
}

/**
 * Longest time in milliseconds from the moment at which an entry counts a request or a retry to the one at which its client
 * has sent it, or an upstream receives it.
 */
export const transitMs = 250;
