/** Decides whether the response to a run is complete, for the agent. */
import {
    type BrokenEnd,
    EventSplitter,
    judgeResponseEnd,
    type ResponseEnd,
    ResponseFraming,
    type StreamEndFacts,
} from "@winchpath/core";
import { type UpstreamResponse } from "./upstreams.js";

const eventStreamType = "text/event-stream";

/** What is known of the upstream's process when a response has ended. */
export interface ProcessState {
    /** Id of the crash that ended the process; empty if it runs. */
    readonly crashId: string;
    /** Whether the upstream had announced that it is leaving, so that its process may end at any time. */
    readonly isLeaving: boolean;
}

/** The upstream's process ended with the response. */
export interface CrashedEnd extends BrokenEnd {
    readonly crashId: string;
}

/** Follows the body of one response and judges its end. */
export class RunEndJudge {
    private readonly splitter: EventSplitter | undefined;

    public constructor(private readonly response: Pick<UpstreamResponse, "headers" | "framing" | "wasReset">) {
        this.splitter = isEventStream(response.headers) ? new EventSplitter() : undefined;
    }

    public push(bytes: Uint8Array): void {
        this.splitter?.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
    }

    /** Whether an event of the stream is longer than its bound, so that the response must be given up. */
    public get isEventTooLong(): boolean {
        return this.splitter?.isEventTooLong ?? false;
    }

    /** Judges a body that was read without an error; `readProcess` is called if only the end of the connection delimits it. */
    public async judge(readProcess: () => Promise<ProcessState>): Promise<ResponseEnd | CrashedEnd> {
        const { framing } = this.response;
        const connection = this.response.wasReset() ? "reset" : "intact";
        const end = judgeResponseEnd({ framing, connection, stream: this.streamFacts() });
        if (end.kind === "broken" || framing !== ResponseFraming.close) {
            return end;
        }
        const { crashId, isLeaving } = await readProcess();
        return crashId === "" || isLeaving ? end : {
            kind: "broken",
            reason: "the upstream's process ended with the response",
            connectionLost: true,
            crashId,
        };
    }

    private streamFacts(): StreamEndFacts | undefined {
        return this.splitter && {
            unfinishedBytes: this.splitter.remainder.length,
            endsInsideEvent: this.splitter.isInsideEvent,
            hasEvents: this.splitter.hasEvents,
        };
    }
}

function isEventStream(headers: UpstreamResponse["headers"]): boolean {
    return String(headers["content-type"] ?? "").toLowerCase().startsWith(eventStreamType);
}
