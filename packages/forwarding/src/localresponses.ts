/** Responses that the entry generates itself instead of forwarding an upstream's. */
import { type ServerResponse } from "node:http";

/** Status and reason of each generated response. "Not executed" means that no upstream has run the request. */
export const LocalResponse = {
    /** No configuration has been received yet; not executed. */
    unconfigured: { status: 503, reason: "unconfigured" },
    /** The route or the API key is unknown here, and no control host confirms that none has been added; not executed. */
    configurationUnconfirmed: { status: 503, reason: "configuration-unconfirmed" },
    /** A newer configuration routes the request to another service, or nowhere; not executed. */
    routeMoved: { status: 503, reason: "route-moved" },
    unrouted: { status: 404, reason: "unrouted" },
    /** The API key is missing or belongs to no account. */
    unknownKey: { status: 401, reason: "unknown-key" },
    /** The entry cannot verify that the API key is still valid; not executed. */
    unconfirmed: { status: 503, reason: "keys-unconfirmed" },
    /** The account has exceeded its limit; not executed. */
    overLimit: { status: 429, reason: "over-limit" },
    headersTooLarge: { status: 431, reason: "headers-too-large" },
    bodyTooLarge: { status: 413, reason: "body-too-large" },
    /** The body was not received in time; not executed. */
    bodyLate: { status: 408, reason: "body-late" },
    /** All upstreams are at capacity; not executed. */
    overloaded: { status: 503, reason: "overloaded" },
    /** The account has used its share of the capacity while others lack it; not executed. */
    overShare: { status: 503, reason: "over-share" },
    /** All upstreams that hold the requested model have asked this entry to back off; not executed. */
    resting: { status: 503, reason: "resting" },
    /** All upstreams that hold the requested model are rate limited and no permit is available; not executed. */
    limited: { status: 503, reason: "limited" },
    /** The requested model or adapter is not loaded on any upstream; not executed. */
    lacking: { status: 503, reason: "lacking" },
    /** The service doesn't declare the requested model, or no longer does; not executed. */
    modelUndeclared: { status: 503, reason: "model-undeclared" },
    /** The service has no upstream that accepts requests; not executed. */
    noUpstream: { status: 503, reason: "no-upstream" },
    /** Upstreams declined the request without executing it, and no further attempt is allowed. */
    declined: { status: 503, reason: "declined" },
    /** An upstream failed and may have executed the request. */
    failed: { status: 502, reason: "failed" },
    /** The deadline passed, and an upstream may have executed the request. */
    late: { status: 504, reason: "late" },
    /** The request is quarantined because upstreams crashed while executing it, or others with a part of its prompt. */
    barred: { status: 422, reason: "ends-upstreams" },
    /** The request is suspected of crashing upstreams, and another one like it runs or a crash is undecided; not executed. */
    suspected: { status: 503, reason: "suspected" },
    /** The request would have to wait, and this host lacks resources to hold it; not executed. */
    hostLoaded: { status: 503, reason: "host-loaded" },
    /** The software version that began the stream is unknown; not executed. */
    streamVersionUnknown: { status: 503, reason: "stream-version-unknown" },
    /** As above, because the shared records can't be reached from here; not executed. */
    streamVersionUnreachable: { status: 503, reason: "stream-version-unknown" },
    /** No upstream of the software version that began the stream accepts requests; not executed. */
    streamVersionAbsent: { status: 503, reason: "stream-version-absent" },
    /** The process is shutting down; not executed. */
    stopping: { status: 503, reason: "stopping" },
} as const;
export type LocalResponse = typeof LocalResponse[keyof typeof LocalResponse];

/** Whether the client should use another entry, because this one lacks what it needs to decide, or is loaded. */
export function asksForAnotherEntry(response: LocalResponse): boolean {
    return response === LocalResponse.unconfirmed || response === LocalResponse.configurationUnconfirmed
        || response === LocalResponse.hostLoaded || response === LocalResponse.streamVersionUnreachable;
}

/** Whether the response means that demand for the request's model or adapter went unserved. */
export function leavesDemandUnserved(response: LocalResponse): boolean {
    return unservedResponses.has(response);
}

/** Without those for reasons of the request itself, the client account or this process. */
const unservedResponses: ReadonlySet<LocalResponse> = new Set([
    LocalResponse.overloaded,
    LocalResponse.overShare,
    LocalResponse.resting,
    LocalResponse.limited,
    LocalResponse.lacking,
    LocalResponse.noUpstream,
    LocalResponse.declined,
    LocalResponse.failed,
    LocalResponse.late,
]);

/** Writes a generated response. `retryAfterMs` is set only if the request was not executed and may be retried. */
export function writeLocalResponse(
    res: ServerResponse,
    response: LocalResponse,
    options: { readonly retryAfterMs?: number; readonly close: boolean; },
): void {
    const [type, body] = bodyOf(response);
    const headers = ["Content-Type", type, "Content-Length", String(Buffer.byteLength(body))];
    if (options.retryAfterMs !== undefined) {
        headers.push("Retry-After", (options.retryAfterMs / 1000).toFixed(2));
    }
    if (response === LocalResponse.unknownKey) {
        headers.push("WWW-Authenticate", "Bearer");
    }
    if (options.close) {
        headers.push("Connection", "close");
    }
    res.writeHead(response.status, headers);
    res.end(body);
}

/** Returns the media type and the body. */
function bodyOf(response: LocalResponse): [string, string] {
    if (response !== LocalResponse.barred) {
        return ["application/json", JSON.stringify({ error: response.reason })];
    }
    const { status, reason } = response;
    const title = "Upstreams ended each time they ran this request, or others with a part of its prompt";
    const detail = "It is held back for ten minutes at least, and was not executed; coming back sooner is of no use.";
    const problem = { type: `urn:winchpath:problem:${reason}`, title, status, detail, error: reason };
    return ["application/problem+json", JSON.stringify(problem)];
}
