/**
 * Detects upstreams that hang: they accept requests but have started no response for much longer than usual, while
 * their peers respond. Without it, requests are sent there until the first ones time out.
 */
import { eventLoop } from "@winchpath/core";
import { type InboundRequest } from "./inboundrequests.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/**
 * An upstream is silent after this multiple of the usual time to the start of a response. A response that takes several
 * times as long as usual is common at an upstream with a queue.
 */
const usualFactor = 4;

/** What the detection depends on. */
export interface SilenceContext {
    /** Whether silent upstreams of the service are avoided. */
    isSilenceDetected(service: string, isEngine: boolean): boolean;
    /** Mean time to the start of a response of the service, in milliseconds; undefined if unknown. */
    usualMs(service: string): number | undefined;
    /** Called when an upstream becomes silent. */
    onSilent(silence: Silence): void;
}

/** An upstream that owes a response, with the inputs of the decision. */
export interface Silence {
    readonly service: string;
    readonly upstream: string;
    readonly silentMs: number;
    readonly limitMs: number;
    readonly usualMs: number;
}

export class SilenceDetector {
    /**
     * Upstreams whose current silence has been reported, with the time of their last response before it; held weakly, since
     * they may be removed.
     */
    private readonly reported = new WeakMap<UpstreamEndpoint, number>();

    public constructor(private readonly context: SilenceContext) {}

    /**
     * Returns the candidates that aren't silent. `peers`: all upstreams of the service; if none of them has responded in
     * the meantime, the cause may be this process or its network, and all candidates are returned. So they are if none
     * would remain: the peers may hold other models, and the model of the candidates may be slow.
     */
    public withoutSilent(
        request: InboundRequest,
        candidates: readonly UpstreamEndpoint[],
        peers: readonly UpstreamEndpoint[],
        isEngine: boolean,
    ): readonly UpstreamEndpoint[] {
        if (!this.context.isSilenceDetected(request.service, isEngine)) {
            return candidates;
        }
        const usualMs = this.context.usualMs(request.service);
        if (usualMs === undefined) {
            return candidates;
        }
        // Shorter silences still let the request be in time.
        const limitMs = Math.max(request.route.objectiveMs, usualFactor * usualMs);
        // Responses that lie unread don't count as silence.
        const now = eventLoop.readUntil;
        const lastAnswerAt = Math.max(...peers.map(({ answeredAt }) => answeredAt));
        const silent = candidates.filter(endpoint => {
            const since = silentSince(endpoint);
            if (since === undefined) {
                this.reported.delete(endpoint);
            }
            return since !== undefined && since + limitMs <= now && lastAnswerAt > since;
        });
        if (silent.length === 0 || silent.length === candidates.length) {
            return candidates;
        }
        for (const endpoint of silent) {
            const since = silentSince(endpoint);
            // Limits differ by request, so that an upstream may be silent for some requests only; it is reported once.
            if (since !== undefined && this.reported.get(endpoint) !== endpoint.answeredAt) {
                this.reported.set(endpoint, endpoint.answeredAt);
                const { service } = request;
                this.context.onSilent({ service, upstream: endpoint.id, silentMs: now - since, limitMs, usualMs });
            }
        }
        return candidates.filter(endpoint => !silent.includes(endpoint));
    }
}

/** Monotonic time from which the upstream owes a response; undefined if it owes none. */
function silentSince({ unansweredSince, answeredAt }: UpstreamEndpoint): number | undefined {
    return unansweredSince === undefined ? undefined : Math.max(unansweredSince, answeredAt);
}
