/** Decides whether a response that has ended is complete. */
import { ResponseFraming } from "./responseframings.js";

/** How the connection stood when the response ended. */
export type ConnectionState =
    /** It is open, or was closed regularly. */
    | "intact"
    /** It was reset by the upstream. */
    | "reset"
    /** The HTTP client reported an error: the connection or the response broke. */
    | "failed";

/** What is known when a response has ended. */
export interface ResponseEndFacts {
    readonly framing: ResponseFraming;
    readonly connection: ConnectionState;
    /** State of an event stream; undefined for other responses. */
    readonly stream: StreamEndFacts | undefined;
    /**
     * Whether the upstream's process has ended as well, although it need not have finished its responses first; undefined if
     * nobody has asked.
     */
    readonly upstreamEnded?: boolean;
}

export interface StreamEndFacts {
    /** Bytes after the last complete event. */
    readonly unfinishedBytes: number;
    /** Whether these bytes are part of an event, and not only blank lines and comments. */
    readonly endsInsideEvent: boolean;
    /** Whether the response contained a complete event. */
    readonly hasEvents: boolean;
}

/** The whole response has arrived, as far as can be known. Created by {@link judgeResponseEnd} only. */
class JudgedComplete {
    public readonly kind = "complete";
    /** Keeps other objects from being taken for a judgement. */
    protected readonly isJudged = true;

    /** `evidence`: what marked the end. After a regular close the body may still be truncated between two events. */
    public constructor(public readonly evidence: ResponseFraming) {}
}
export type CompleteEnd = JudgedComplete;

/** The upstream broke off the response. */
export interface BrokenEnd {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether the connection ended with it, as it does when the upstream crashes. */
    readonly connectionLost: boolean;
}

export type ResponseEnd = CompleteEnd | BrokenEnd;

/** `error`: message of the HTTP client if the connection failed. */
export function judgeResponseEnd(facts: ResponseEndFacts, error = ""): ResponseEnd {
    const { framing, connection, stream, upstreamEnded } = facts;
    const endsWithConnection = framing === ResponseFraming.close;
    if (connection === "failed") {
        return { kind: "broken", reason: error, connectionLost: true };
    }
    if (endsWithConnection && connection === "reset") {
        return broken("connection reset before the end of the response", endsWithConnection);
    }
    if (stream?.endsInsideEvent) {
        return broken("the stream ended inside an event", endsWithConnection);
    }
    if (endsWithConnection && stream?.hasEvents === false) {
        return broken("the connection closed before the first event", endsWithConnection);
    }
    if (endsWithConnection && upstreamEnded) {
        return broken("the upstream ended with the connection", endsWithConnection);
    }
    return new JudgedComplete(framing);
}

function broken(reason: string, connectionLost: boolean): BrokenEnd {
    return { kind: "broken", reason, connectionLost };
}
