/** What forwarding has to know of the headers that callers and upstreams use; an adapter names them. */

/** A header list as Node.js gives it: name, value, name, value. */
export type RawHeaders = readonly string[];

/** A part of a prompt; requests share parts. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a request says of itself. */
export interface RequestFacts {
    /** Undefined where the caller sent none. */
    readonly id: string | undefined;
    /** Key of the caller's account; undefined where it shows none, or several. */
    readonly key: string | undefined;
    /** How long the caller waits, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Empty where the request asks for no model. */
    readonly model: string;
    /** Empty where it asks for the model itself. */
    readonly adapter: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** What limits count: the sum of the two; undefined where the request names none. */
    readonly limitTokens: number | undefined;
    /** The caller's guess; right at the median, often far off. */
    readonly likelyOutputTokens: number | undefined;
    /** Parts of the prompt in order; the last is the request's or its session's own. */
    readonly parts: readonly PromptPart[];
    /** Event behind which a broken stream is to go on. */
    readonly resumeFrom: string | undefined;
}

/** What the system tells an upstream. */
export interface ForwardFacts {
    /** Name of the upstream; no other may take the request. */
    readonly upstream: string;
    /** Account that the request is served for; undefined where there is none. */
    readonly account: string | undefined;
    /** Whether keys are for the system itself, and go no further. */
    readonly keysAreOurs: boolean;
    /** Time that is left, in milliseconds. */
    readonly deadlineMs: number;
    /** 0 is the most urgent. */
    readonly urgency: number | undefined;
    /** Event behind which the stream is to go on, where it is resumed. */
    readonly resumeFrom: string | undefined;
}

/** How busy an upstream said that it is. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What an upstream's answer says of itself. */
export interface AnswerFacts {
    /** Request that it belongs to. */
    readonly id: string | undefined;
    /** Whether it bears the mark of a whole answer of an upstream. */
    readonly sealed: boolean;
    /** Whether the upstream states that it has not run the request. */
    readonly notRun: boolean;
    /** Whether it does not hold what was asked for, or is another run than the one named. */
    readonly misdirected: boolean;
    readonly load: ReportedLoad | undefined;
    /** Whether the upstream says that it is about to leave. */
    readonly leaving: boolean;
    /** For how long it wants no requests from this process, in milliseconds; undefined where it asks for no rest. */
    readonly restMs: number | undefined;
    /** Requests a second that it takes from all processes together; undefined where it names no rate. */
    readonly limitPerSecond: number | undefined;
    /** Names of its headers that mean nothing here, in lower case. */
    readonly unknown: readonly string[];
}

export interface RequestCodec {
    requestFacts(headers: RawHeaders): RequestFacts;
    /** Headers for the upstream: the caller's, without those of the connection, with those that the system sets. */
    forwardHeaders(headers: RawHeaders, facts: ForwardFacts): string[];
    answerFacts(status: number, headers: RawHeaders): AnswerFacts;
}

/** Headers that concern one connection only, in lower case. */
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

/** Headers without those of the connection, and without those named in its Connection header. */
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

/** First value of a header, whose name is given in lower case. */
export function headerOf(headers: RawHeaders, name: string): string | undefined {
    return valuesOf(headers, name).next().value ?? undefined;
}

/** All values of a header, whose name is given in lower case. */
export function* valuesOf(headers: RawHeaders, name: string): Generator<string, void> {
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === name) {
            yield headers[index + 1];
        }
    }
}
