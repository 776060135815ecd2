/** Binds streams to the software version of the upstreams that began them, over all attempts of their clients. */
import { messageOf, type Metrics, startFairTimer, steadyNow } from "@winchpath/core";
import { type StreamIdentity, type StreamOrigin, type StreamOrigins } from "@winchpath/streamorigins";
import { type Refusal } from "./admissioncontrollers.js";
import { firstEventRemainingMs, type InboundRequest } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type Responder } from "./responders.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { minAttemptMs } from "./waitpolicies.js";

/** Longer ids of attempts are unusable, in characters. */
export const maxResumedIdLength = 256;
/** Retry-After of a stream whose version is unknown, in milliseconds; covers an election that hides the records. */
const unknownVersionRetryMs = 1000;
/** Id of a stream whose client doesn't say which attempt began it; it has no record. */
const unknownId = "";

const unreachable: StreamOrigin = { kind: "unknown", reason: "unreachable" };

export interface StreamVersionsDependencies {
    /** Without it, streams that clients take up again go on anywhere. */
    readonly streamOrigins?: StreamOrigins;
    readonly metrics: Metrics;
    readonly responder: Pick<Responder, "logEvent">;
}

export class StreamVersions {
    public constructor(private readonly deps: StreamVersionsDependencies) {}

    /** Whether the request goes on with a stream whose version has not been looked up yet. */
    public needsOrigin(request: InboundRequest): boolean {
        return this.deps.streamOrigins !== undefined && request.softwareVersion === undefined && isTakenUp(request);
    }

    /** Looks up the version that began the stream; the request is refused if it is unknown. */
    public async bind(request: InboundRequest): Promise<Refusal | undefined> {
        const startedAt = steadyNow();
        const origin = await this.findInTime(request);
        const outcome = origin.kind === "known" ? "known" : origin.reason;
        this.deps.metrics.count("streams_resumed_total", { outcome });
        this.deps.responder.logEvent(request, "resumed", {
            origin: origin.kind,
            reason: origin.kind === "unknown" ? origin.reason : undefined,
            softwareVersion: origin.kind === "known" ? origin.softwareVersion : undefined,
            began: usableId(request),
            tookMs: Math.round(steadyNow() - startedAt),
        });
        if (origin.kind === "known") {
            request.softwareVersion = origin.softwareVersion;
            return undefined;
        }
        const response = origin.reason === "unreachable"
            ? LocalResponse.streamVersionUnreachable
            : LocalResponse.streamVersionUnknown;
        return { kind: "refused", response, retryAfterMs: unknownVersionRetryMs };
    }

    /**
     * Called before the first event of an attempt is forwarded. Returns false if the upstream's version must not continue
     * the stream.
     */
    public begin(request: InboundRequest, { description }: UpstreamEndpoint): boolean {
        request.softwareVersion ??= description.softwareVersion;
        if (request.softwareVersion !== description.softwareVersion) {
            return false;
        }
        if (!request.responseStarted && isResumable(request)) {
            // A stream without a usable id is known by this attempt from now on.
            const id = isTakenUp(request) ? usableId(request) || request.id : request.id;
            this.deps.streamOrigins?.record(identityOfStream(request, id), request.softwareVersion);
        }
        return true;
    }

    /** Finds the origin within the time that the client still waits. */
    private async findInTime(request: InboundRequest): Promise<StreamOrigin> {
        const timeout = new AbortController();
        const timer = startFairTimer(
            () => timeout.abort(),
            Math.max(0, firstEventRemainingMs(request) - minAttemptMs),
        );
        const signal = AbortSignal.any([request.abortSignal, timeout.signal]);
        const ended = new Promise<StreamOrigin>(resolve => {
            signal.addEventListener("abort", () => resolve(unreachable), { once: true });
        });
        try {
            return signal.aborted ? unreachable : await Promise.race([this.find(request, signal), ended]);
        }
        finally {
            timer.cancel();
        }
    }

    private async find(request: InboundRequest, signal: AbortSignal): Promise<StreamOrigin> {
        try {
            return await this.deps.streamOrigins!.find(identityOfStream(request, usableId(request)), signal);
        }
        catch (err) {
            this.deps.responder.logEvent(request, "resume-failed", { error: messageOf(err) });
            return unreachable;
        }
    }
}

/** Whether the upstream may serve the request: streams go on at the version that began them. */
export function isOfVersion(request: InboundRequest, { description }: Pick<UpstreamEndpoint, "description">): boolean {
    return request.softwareVersion === undefined || request.softwareVersion === description.softwareVersion;
}

function isResumable({ route }: InboundRequest): boolean {
    return route.kind === "streaming" && route.resumable;
}

/** Whether the client has events of the stream already. */
function isTakenUp(request: InboundRequest): boolean {
    return isResumable(request) && request.metadata.resumeFrom !== undefined;
}

function usableId({ metadata: { resumedId = unknownId } }: InboundRequest): string {
    return resumedId.length > maxResumedIdLength ? unknownId : resumedId;
}

function identityOfStream({ service, host, url, grant }: InboundRequest, id: string): StreamIdentity {
    return { id, service, host, url, account: grant?.account };
}
