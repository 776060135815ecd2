/**
 * What it costs to send a request to an upstream that fails a part of its requests. The cost shifts load to healthy
 * upstreams in proportion to the failure rate, so that a partial failure doesn't move all load to the others at once.
 */
import { type InboundRequest, isRepeatable } from "./inboundrequests.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** From this percentage of failed requests, an upstream is avoided while another one has capacity. */
export const ejectedFailingPercent = 50;

/**
 * Cost of a lost request, in attempts. It is lost to its client like one that misses its objective, and objectives are 4
 * to 30 times the work of a request.
 */
const attemptsPerLostRequest = 8;

/** Whether an upstream fails so many requests that it is avoided while another one has capacity. */
export function isEjected({ description }: UpstreamEndpoint): boolean {
    return description.failingPercent >= ejectedFailingPercent;
}

/**
 * Returns the cost of the failures to expect, in attempts: the further attempts of a request that can be repeated, or
 * the lost request.
 */
export function failureAttempts(request: InboundRequest, failingPercent: number): number {
    const rate = Math.min(failingPercent, ejectedFailingPercent) / 100;
    return isRepeatable(request) ? rate / (1 - rate) : rate * attemptsPerLostRequest;
}
