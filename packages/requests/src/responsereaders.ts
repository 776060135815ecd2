/** Reads the response of an attempt and checks that it is complete. */
import { type Header, type Refusal, type RunChunk } from "@winchpath/upstream";
import { type Job, type ResponseEvent } from "./jobs.js";
import { type ReplayFilter, type ResponseProgress } from "./responseprogress.js";

export type AttemptResult =
    /** The client has the complete response. */
    | { readonly tag: "whole"; }
    /** The attempt was not started and never will be. */
    | {
        readonly tag: "refused";
        readonly refusal: Refusal;
        readonly revision: number;
        readonly message: string;
        /** Requested backoff in milliseconds; 0 if none. */
        readonly restMs: number;
    }
    /** The connection was lost; the agent may have the request and its response. */
    | { readonly tag: "lost"; readonly message: string; }
    /** The upstream's response was incomplete. */
    | {
        readonly tag: "broken";
        readonly message: string;
        readonly timedOut: boolean;
        /** Crash identifier of the upstream's process; empty if it is alive. */
        readonly upstreamEnd: string;
    }
    /** The response differs from what the client has already received. */
    | { readonly tag: "different"; };

/**
 * Reads the chunks of one attempt across reconnections. Bytes that the client has
 * received from an earlier attempt are verified and skipped.
 */
export class ResponseReader {
    /** Set once the attempt has ended. */
    public result: AttemptResult | undefined;
    private readonly replay: ReplayFilter;
    private needsEndMarker = false;
    private receivedBytes = 0;

    public constructor(private readonly job: Job, private readonly progress: ResponseProgress) {
        this.replay = progress.createReplayFilter();
    }

    /** Body bytes received in this attempt, including those that the client already had. */
    public get received(): number {
        return this.receivedBytes;
    }

    /** Returns the events to send to the client. */
    public read({ head, body, end, refused, broken }: RunChunk): ResponseEvent[] {
        const events: (ResponseEvent | undefined)[] = [];
        if (head !== undefined) {
            events.push(this.readHead(head.status, head.headers));
        }
        if (body.length > 0) {
            events.push(this.readBody(body));
        }
        if (refused !== undefined) {
            const { refusal, revision, message, restMs } = refused;
            this.result = { tag: "refused", refusal, revision: Number(revision), message, restMs };
        }
        else if (broken !== undefined) {
            const { message, timedOut, upstreamEnd } = broken;
            this.result = { tag: "broken", message, timedOut, upstreamEnd };
        }
        else if (end !== undefined) {
            this.result ??= this.finalResult(Number(end.bodyBytes));
        }
        return events.filter(event => event !== undefined);
    }

    private readHead(status: number, headers: readonly Header[]): ResponseEvent | undefined {
        this.needsEndMarker = this.job.requiresEndMarker(status, headers);
        if (this.progress.headSent) {
            return undefined;
        }
        this.progress.headSent = true;
        return { tag: "head", status, headers };
    }

    private readBody(bytes: Uint8Array): ResponseEvent | undefined {
        this.receivedBytes += bytes.length;
        const fresh = this.replay.filter(bytes);
        if (fresh === undefined) {
            this.result = { tag: "different" };
            return undefined;
        }
        this.progress.add(fresh);
        return fresh.length === 0 ? undefined : { tag: "body", bytes: fresh };
    }

    private finalResult(bodyBytes: number): AttemptResult {
        if (bodyBytes !== this.receivedBytes || !this.replay.done) {
            return brokenResult(`${this.receivedBytes} of ${bodyBytes} bytes came`);
        }
        if (this.needsEndMarker && !this.progress.endsWithMarker) {
            return brokenResult("the stream ended without its end mark");
        }
        return { tag: "whole" };
    }
}

/** An incomplete response from an upstream that is still alive. */
function brokenResult(message: string): AttemptResult {
    return { tag: "broken", message, timedOut: false, upstreamEnd: "" };
}
