/** A client's request and its state while it is being forwarded. */
import { type AccountGrant, type Charge } from "@winchpath/accounts";
import { steadyNow } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { type ItemKey } from "@winchpath/fleet";
import { type RequestIdentity } from "@winchpath/quarantine";
import { type RetryReservation } from "@winchpath/retries";
import { type RawHeaders, type RequestMetadata } from "./headercodecs.js";

/** Permission of the leader to run a suspected request. */
export interface SuspectTrial {
    readonly id: string;
    /** Monotonic time after which the request must not be sent. */
    readonly expiresAt: number;
}

/** A request with its body, metadata and forwarding state. */
export interface InboundRequest {
    readonly id: string;
    readonly method: string;
    /** Host header as sent by the client. */
    readonly host: string;
    /** Path and query as sent by the client. */
    readonly url: string;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    readonly metadata: RequestMetadata;
    readonly route: Route;
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Version of the configuration by which its route and service were last decided. */
    decidedByVersion: number;
    /** How long before its arrival that configuration was confirmed to be the latest one, in milliseconds. */
    readonly confirmedAgeMs: number;
    /** Account access granted to the client; undefined on public routes. */
    readonly grant: AccountGrant | undefined;
    /** Amount charged to the account's limit. */
    readonly charge: Charge;
    /** Monotonic time at which the headers were read. */
    readonly startedAt: number;
    /** Monotonic time by which the final response is sent, from the client's deadline and the route's timeout. */
    readonly deadlineAt: number;
    /** Aborted when the client disconnects. */
    readonly abortSignal: AbortSignal;
    /** Whether a later request of its connection has been read; that one is answered before the connection is closed. */
    readonly hasLaterRequest?: () => boolean;
    /** Upstreams that may have executed the request. */
    readonly attemptedUpstreams: string[];
    /** Upstreams that declined the request without executing it. */
    readonly declinedUpstreams: Set<string>;
    /** Number of attempts during which the connection to the upstream was lost. */
    lostConnections: number;
    /** The trial under which it may run, if it is suspected of crashing upstreams. */
    trial?: SuspectTrial;
    /** Id of the last event that was forwarded completely, as of the end of the last attempt. */
    lastEventId: string | undefined;
    /** Software version of the upstream that began the stream; undefined if no event of it is known. */
    softwareVersion?: string;
    /** Whether part of a response has been sent to the client. */
    responseStarted: boolean;
    /** Whether an upstream may have received it, so that sending it again is a retry. */
    wasSent?: boolean;
    /** The retry that was decided and isn't sent yet. */
    retry?: RetryReservation;
    /** Whether another configuration routed it to another service before. */
    readonly wasMoved?: boolean;
    /** Whether forwarding has ended without a response, since a newer configuration routes the request elsewhere. */
    hasMoved?: boolean;
}

/** Returns the attributes by which repeated requests, and those that share parts of their prompts, are recognized. */
export function identityOf(request: InboundRequest): RequestIdentity {
    const { method, host, url, grant, body, service, metadata: { model, adapter, promptParts } } = request;
    return {
        method,
        host,
        url,
        account: grant?.account,
        body,
        prompt: { service, model, adapter, parts: promptParts },
    };
}

/** Whether the request may be executed more than once. */
export function isRepeatable(request: InboundRequest): boolean {
    const { kind, resumable } = request.route;
    return kind === "safe" || (kind === "streaming" && resumable);
}

/** Whether the response closes its connection, if `isWanted`: not while a later request that has been read is unanswered. */
export function closesConnection({ hasLaterRequest }: InboundRequest, isWanted: boolean): boolean {
    return isWanted && hasLaterRequest?.() !== true;
}

export function remainingMs(request: InboundRequest): number {
    return request.deadlineAt - steadyNow();
}

/** Clients give up a silent stream after the longest of these times. */
const minClientTimeoutMs = 2000;
const clientTimeoutObjectives = 4;
const clientTimeoutPauses = 8;

/** Returns the time left for the first event before the client gives up, in milliseconds. */
export function firstEventRemainingMs(request: InboundRequest): number {
    const { kind, objectiveMs, pauseMs } = request.route;
    if (kind !== "streaming") {
        return remainingMs(request);
    }
    const clientTimeoutMs = Math.max(
        minClientTimeoutMs,
        clientTimeoutObjectives * objectiveMs,
        clientTimeoutPauses * pauseMs,
    );
    return Math.min(remainingMs(request), clientTimeoutMs - ageMs(request));
}

export function ageMs(request: InboundRequest): number {
    return steadyNow() - request.startedAt;
}

/** Estimates the tokens that the request occupies in an engine's cache; shared prompt segments are cached once. */
export function requiredCacheTokens(request: InboundRequest): number {
    return unsharedPromptTokens(request) + estimateOutputTokens(request);
}

/**
 * Time to generate one output token, expressed in prompt tokens: a step of 9 ms generates one for each of some 16 requests,
 * and the same engine prefills 19 prompt tokens per millisecond.
 */
const promptTokensPerOutput = 10;

/** Estimates the engine time that a request needs, in prompt tokens. */
export function promptEquivalentTokens(request: InboundRequest): number {
    return unsharedPromptTokens(request) + estimateOutputTokens(request) * promptTokensPerOutput;
}

/** Tokens of the prompt that are not shared with other requests and therefore always processed. */
export function unsharedPromptTokens(request: InboundRequest): number {
    return request.metadata.promptParts.at(-1)?.tokens ?? request.metadata.promptTokens;
}

function estimateOutputTokens(request: InboundRequest): number {
    const { expectedOutputTokens, maxOutputTokens } = request.metadata;
    return Math.min(expectedOutputTokens ?? maxOutputTokens, maxOutputTokens);
}

/** The model or adapter that the request asks for. */
export function itemKeyOf(request: InboundRequest): ItemKey {
    return { service: request.service, model: request.metadata.model, adapter: request.metadata.adapter };
}
