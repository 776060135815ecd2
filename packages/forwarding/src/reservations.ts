/**
 * Capacity of an upstream that is taken for a request as soon as the upstream is selected, so that other requests that are
 * assigned before it is sent see it in the upstream's load.
 */
import { type InboundRequest, requiredCacheTokens, unsharedPromptTokens } from "./inboundrequests.js";
import { type StreamInterference, type TrackedPrompt } from "./streaminterferences.js";
import { type TrackedRequest, type UpstreamEndpoint } from "./upstreamendpoints.js";

export interface Reservation {
    readonly tracked: TrackedRequest;
    /** Undefined if interference between streams is not considered for the service. */
    readonly prompt: TrackedPrompt | undefined;
    /** Frees the capacity; called once, when the attempt has ended or will not be made. */
    readonly release: () => void;
}

export class Reservations {
    public constructor(private readonly interference: Pick<StreamInterference, "track">) {}

    public reserve(request: InboundRequest, endpoint: UpstreamEndpoint): Reservation {
        const tracked = endpoint.track(
            request.priority,
            unsharedPromptTokens(request),
            requiredCacheTokens(request),
            request.body.length,
        );
        const prompt = this.interference.track(request, endpoint);
        const release = () => {
            tracked.finish();
            prompt?.finish();
        };
        return { tracked, prompt, release };
    }
}
