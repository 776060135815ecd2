/** Header-independent request and response metadata. A codec maps it to the headers of a platform. */
import { headerValue, headerValues, type RawHeaders } from "@winchpath/core";

export { headerValue, headerValues, type RawHeaders };

/** A segment of a prompt that several requests may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata of a request, parsed from its headers. */
export interface RequestMetadata {
    /** Undefined if the client sent none. */
    readonly id: string | undefined;
    /** API key of the client account; undefined if there is none, or more than one. */
    readonly apiKey: string | undefined;
    /** How long the client waits for the response, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Empty if the request names no model. */
    readonly model: string;
    /** Empty if the request uses the base model. */
    readonly adapter: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /**
     * Tokens to charge to the account's limit: prompt plus maximum output; undefined if the request has no token
     * counts.
     */
    readonly limitTokens: number | undefined;
    /** The client's estimate of the output length. */
    readonly expectedOutputTokens: number | undefined;
    /** Segments of the prompt in order; the last one is specific to the request or its session. */
    readonly promptParts: readonly PromptPart[];
    /** Id of the event after which a stream is resumed. */
    readonly resumeFrom: string | undefined;
    /** Id of the client's attempt that brought the first event of a resumed stream; empty if it is ambiguous. */
    readonly resumedId: string | undefined;
}

/** Values that the entry adds to the headers of a forwarded request. */
export interface ForwardingMetadata {
    /** Name of the upstream; any other one must decline the request. */
    readonly upstream: string;
    /** Account of the client; undefined if there is none. */
    readonly account: string | undefined;
    /** Whether API keys are removed before forwarding. */
    readonly stripApiKeys: boolean;
    /** Time left until the deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** 0 is the most urgent. */
    readonly urgency: number | undefined;
    /** Id of the event after which the stream is resumed. */
    readonly resumeFrom: string | undefined;
}

/** Load as reported by an upstream. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current duration of work on the upstream's host in percent of the usual one; undefined if it reports none. */
    readonly durationPercent?: number;
}

/** Metadata of a response, parsed from its status and headers. */
export interface ResponseMetadata {
    /** Id of the request that the response belongs to. */
    readonly id: string | undefined;
    /** Whether the response has the seal that upstreams set on every complete response. */
    readonly sealed: boolean;
    /** Whether the upstream declares that it has not executed the request. */
    readonly notExecuted: boolean;
    /** Whether the upstream does not hold the model, or is not the instance that the request was addressed to. */
    readonly misdirected: boolean;
    /** Whether the status says that the upstream failed to process the request (5xx). */
    readonly failed: boolean;
    readonly load: ReportedLoad | undefined;
    /** Whether the upstream announces that it is draining. */
    readonly leaving: boolean;
    /**
     * How long this process must not send requests to the upstream, in milliseconds; undefined if no backoff was
     * requested.
     */
    readonly restMs: number | undefined;
    /**
     * Requests per second that the upstream accepts from all processes together; undefined if it sets no rate limit.
     */
    readonly limitPerSecond: number | undefined;
    /** Unrecognized header names, in lower case. */
    readonly unknownHeaders: readonly string[];
}

export interface HeaderCodec {
    requestMetadata(headers: RawHeaders): RequestMetadata;
    /** Returns the headers for the upstream: end-to-end headers of the client, plus those that the entry sets. */
    forwardHeaders(headers: RawHeaders, metadata: ForwardingMetadata): string[];
    responseMetadata(status: number, headers: RawHeaders): ResponseMetadata;
}

/** Hop-by-hop headers, in lower case. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Removes hop-by-hop headers, including those listed in the Connection header. */
export function withoutConnectionHeaders(headers: RawHeaders): string[] {
    const named = new Set<string>();
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === "connection") {
            headers[index + 1].split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        const name = headers[index].toLowerCase();
        if (!connectionHeaders.has(name) && !named.has(name)) {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
}
