/** Answers of the system's own, in place of an upstream's. */
import { type ServerResponse } from "node:http";

/** Why a request got no answer of an upstream. The status of each promises what callers rely on. */
export const OwnAnswer = {
    /** No configuration is known here yet; not run. */
    unconfigured: { status: 503, reason: "unconfigured" },
    /** No route matches. */
    unrouted: { status: 404, reason: "unrouted" },
    /** No account holds the key that it bears, or it bears none. */
    unknownKey: { status: 401, reason: "unknown-key" },
    /** Whether an account still holds its key is not known here; not run. */
    unconfirmed: { status: 503, reason: "keys-unconfirmed" },
    /** Its account has asked for more than its limit; not run. */
    overLimit: { status: 429, reason: "over-limit" },
    headersTooLarge: { status: 431, reason: "headers-too-large" },
    bodyTooLarge: { status: 413, reason: "body-too-large" },
    /** The body did not come in time; not run. */
    bodyLate: { status: 408, reason: "body-late" },
    /** All upstreams are busy; not run. */
    overloaded: { status: 503, reason: "overloaded" },
    /** All upstreams that hold what it asks for have asked this entry for rest; not run. */
    resting: { status: 503, reason: "resting" },
    /** All upstreams that hold what it asks for take a rate, which others use up; not run. */
    limited: { status: 503, reason: "limited" },
    /** What it asks for is not loaded anywhere; not run. */
    lacking: { status: 503, reason: "lacking" },
    /** The service has no upstream that takes requests; not run. */
    noUpstream: { status: 503, reason: "no-upstream" },
    /** Upstreams stated that they have not run it, and no other may be tried. */
    declined: { status: 503, reason: "declined" },
    /** An upstream failed that may have run it. */
    failed: { status: 502, reason: "failed" },
    /** Time ran out, and an upstream may have run it. */
    late: { status: 504, reason: "late" },
    /** Upstreams ended each time that they ran it; it goes to no other. */
    barred: { status: 422, reason: "ends-upstreams" },
    /** The process is stopping; not run. */
    stopping: { status: 503, reason: "stopping" },
} as const;
export type OwnAnswer = typeof OwnAnswer[keyof typeof OwnAnswer];

/** Writes an answer; `retryAfterMs` where the request has not run and may come again. */
export function writeOwnAnswer(
    res: ServerResponse,
    answer: OwnAnswer,
    options: { readonly retryAfterMs?: number; readonly close: boolean; },
): void {
    const [type, body] = bodyOf(answer);
    const headers = ["Content-Type", type, "Content-Length", String(Buffer.byteLength(body))];
    if (options.retryAfterMs !== undefined) {
        headers.push("Retry-After", (options.retryAfterMs / 1000).toFixed(2));
    }
    if (answer === OwnAnswer.unknownKey) {
        headers.push("WWW-Authenticate", "Bearer");
    }
    if (options.close) {
        headers.push("Connection", "close");
    }
    res.writeHead(answer.status, headers);
    res.end(body);
}

/** Media type and text. */
function bodyOf(answer: OwnAnswer): [string, string] {
    if (answer !== OwnAnswer.barred) {
        return ["application/json", JSON.stringify({ error: answer.reason })];
    }
    const { status, reason } = answer;
    const title = "Upstreams ended each time they ran this request";
    const detail =
        "It is held back for an hour, or until an operator lets it in again; coming back sooner is of no use.";
    const problem = { type: `urn:winchpath:problem:${reason}`, title, status, detail, error: reason };
    return ["application/problem+json", JSON.stringify(problem)];
}
