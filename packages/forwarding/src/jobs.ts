/** One request of a caller on its way. */
import { type Charge, type Grant } from "@winchpath/accounts";
import { steadyNow } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { type RequestIdentity } from "@winchpath/quarantine";
import { type RawHeaders, type RequestFacts } from "./codecs.js";

/** A request with its body, and what was found out about it. */
export interface Job {
    readonly id: string;
    readonly method: string;
    /** As the caller wrote it. */
    readonly host: string;
    /** Path and query, as the caller wrote them. */
    readonly url: string;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    readonly facts: RequestFacts;
    readonly route: Route;
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whose request it is; undefined where nobody has to be known. */
    readonly grant: Grant | undefined;
    /** What it took of its account's limit. */
    readonly charge: Charge;
    /** Steady time at which its headers were read. */
    readonly startedAt: number;
    /** Steady time by which the final answer goes out: the caller's deadline or the route's timeout. */
    readonly deadlineAt: number;
    /** Aborted when the caller is gone. */
    readonly gone: AbortSignal;
    /** Upstreams that were sent the request and may have run it. */
    readonly tried: string[];
    /** Upstreams that stated that they have not run it. */
    readonly declined: Set<string>;
    /** Upstreams whose connections were lost under it. */
    lost: number;
    /** Last event that the caller has got whole. */
    lastEventId: string | undefined;
    /** Whether part of an answer has gone out. */
    answerStarted: boolean;
}

/** What makes it the same request as another. */
export function identityOf({ method, host, url, grant, body }: Job): RequestIdentity {
    return { method, host, url, account: grant?.account, body };
}

/** Whether the request may run more than once. */
export function isRepeatable(job: Job): boolean {
    const { kind, resumable } = job.route;
    return kind === "safe" || (kind === "streaming" && resumable);
}

export function leftMs(job: Job): number {
    return job.deadlineAt - steadyNow();
}

/** A caller leaves a stream, also before its first event, after the longest of these silences. */
const shortestSilenceMs = 2000;
const silenceObjectives = 4;
const silencePauses = 8;

/** Time in milliseconds that is left for a first event, before the caller gives the request up. */
export function patienceLeftMs(job: Job): number {
    const { kind, objectiveMs, pauseMs } = job.route;
    if (kind !== "streaming") {
        return leftMs(job);
    }
    const silenceMs = Math.max(shortestSilenceMs, silenceObjectives * objectiveMs, silencePauses * pauseMs);
    return Math.min(leftMs(job), silenceMs - ageMs(job));
}

export function ageMs(job: Job): number {
    return steadyNow() - job.startedAt;
}

/** Tokens that the request is likely to need in an engine's cache; parts that others bring too are there once. */
export function tokensOf(job: Job): number {
    return ownTokensOf(job) + outputTokensOf(job);
}

/**
 * A generated token takes an engine about as long as this many tokens of a
 * prompt: a step of 9 ms makes one for each of some 16 requests, and the same
 * engine reads 19 tokens of a prompt in a millisecond.
 */
const promptTokensPerOutput = 10;

/** What a request needs of an engine's time, in tokens of a prompt. */
export function workOf(job: Job): number {
    return ownTokensOf(job) + outputTokensOf(job) * promptTokensPerOutput;
}

/** Tokens of the prompt that no other request brings: these are read in any case. */
export function ownTokensOf(job: Job): number {
    return job.facts.parts.at(-1)?.tokens ?? job.facts.promptTokens;
}

function outputTokensOf(job: Job): number {
    const { likelyOutputTokens, maxOutputTokens } = job.facts;
    return Math.min(likelyOutputTokens ?? maxOutputTokens, maxOutputTokens);
}
