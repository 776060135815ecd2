/** Limits of what a model engine is sent. */
import { type EngineSpec } from "@winchpath/declarations";
import { type InboundRequest, requiredCacheTokens } from "./inboundrequests.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** An upstream is full for a request if the estimated wait exceeds this multiple of its objective. */
export const maxWaitObjectiveShare = 1.5;
/** Fraction of an engine's cache to fill; the rest is for outputs that exceed their estimate. */
const maxCacheShare = 0.95;

/** Whether the engine's cache has space for the request besides the `load` requests that run or wait there. */
export function fitsCache(
    engine: EngineSpec,
    request: InboundRequest,
    endpoint: UpstreamEndpoint,
    load: number,
): boolean {
    const perRequest = endpoint.inFlight === 0
        ? requiredCacheTokens(request)
        : endpoint.tokensInFlight / endpoint.inFlight;
    return perRequest * load + requiredCacheTokens(request) <= engine.cacheTokens * maxCacheShare;
}
