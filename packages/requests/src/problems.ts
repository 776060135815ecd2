/** Errors returned to clients: problem details (RFC 9457) with an outcome. */

/** Whether an upstream ran the request. */
export type Outcome = "not-run" | "ran" | "unknown";

/** Every error code with which a request can fail. */
export const ProblemCode = {
    invalid: "invalid-request",
    unknownTarget: "unknown-target",
    tooLarge: "too-large",
    overloaded: "overloaded",
    noReplica: "no-replica-ready",
    deadline: "deadline-exceeded",
    upstreamLost: "upstream-lost",
    answerLost: "answer-not-kept",
    keyReused: "idempotency-key-reused",
    callerLeft: "caller-left",
    stopping: "stopping",
    control: "control-unavailable",
    endsUpstreams: "request-ends-upstreams",
    internal: "internal-error",
} as const;
export type ProblemCode = typeof ProblemCode[keyof typeof ProblemCode];

const statuses: Readonly<Record<ProblemCode, number>> = {
    "invalid-request": 400,
    "unknown-target": 404,
    "too-large": 413,
    "overloaded": 503,
    "no-replica-ready": 503,
    "deadline-exceeded": 504,
    "upstream-lost": 502,
    "answer-not-kept": 409,
    "idempotency-key-reused": 422,
    "caller-left": 499,
    "stopping": 503,
    "control-unavailable": 503,
    "request-ends-upstreams": 422,
    "internal-error": 500,
};

const titles: Readonly<Record<ProblemCode, string>> = {
    "invalid-request": "The request is not valid",
    "unknown-target": "No such model or service is declared",
    "too-large": "The request is too large",
    "overloaded": "There is too much to do",
    "no-replica-ready": "No replica is ready",
    "deadline-exceeded": "Time ran out",
    "upstream-lost": "The upstream was lost while it had the request",
    "answer-not-kept": "The request ran, and its answer is not kept any more",
    "idempotency-key-reused": "The idempotency key belongs to another request",
    "caller-left": "The caller left",
    "stopping": "The entry is stopping",
    "control-unavailable": "The control group can't be reached",
    "request-ends-upstreams": "Upstreams ended each time they ran this request",
    "internal-error": "The entry failed",
};

export class RequestFailure extends Error {
    public constructor(
        public readonly code: ProblemCode,
        public readonly outcome: Outcome,
        public readonly detail: string,
        /** Delay after which the client should retry, in milliseconds. */
        public readonly retryAfterMs?: number,
    ) {
        super(`${code} (${outcome}): ${detail}`);
        this.name = "RequestFailure";
    }

    public get status(): number {
        return statuses[this.code];
    }
}

export interface ProblemDetails {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly code: ProblemCode;
    readonly outcome: Outcome;
    readonly requestId: string;
}

export function problemDetails(failure: RequestFailure, requestId: string): ProblemDetails {
    const { code, status, detail, outcome } = failure;
    return { type: `urn:winchpath:problem:${code}`, title: titles[code], status, detail, code, outcome, requestId };
}

/** Formats a Retry-After header: whole seconds, at least one. */
export function retryAfterSeconds(ms: number): string {
    return String(Math.max(1, Math.ceil(ms / 1000)));
}
