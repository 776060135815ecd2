/** Reads an attempt's answer, and tells whether it is whole. */
import { type Header, type Refusal, type RunChunk } from "@winchpath/upstream";
import { type AnswerEvent, type Job } from "./jobs.js";
import { type Progress, type Replay } from "./progress.js";

const endMark = Buffer.from("data: [DONE]");

/** How an attempt ended. */
export type AttemptEnd =
    /** The caller has the whole answer. */
    | { readonly tag: "whole"; }
    /** Not started, and never will be. */
    | {
        readonly tag: "refused";
        readonly refusal: Refusal;
        readonly revision: number;
        readonly message: string;
        /** For how long the upstream wants nothing, in milliseconds; 0 where it asks for no rest. */
        readonly restMs: number;
    }
    /** The agent has, or had, the request, and this entry lost the way to the answer. */
    | { readonly tag: "lost"; readonly message: string; }
    /** The upstream's answer broke off. */
    | {
        readonly tag: "broken";
        readonly message: string;
        readonly timedOut: boolean;
        /** Name of the end of the upstream's process under it; empty where that lives. */
        readonly upstreamEnd: string;
    }
    /** The answer began otherwise than what the caller has already. */
    | { readonly tag: "different"; };

/**
 * Reads the chunks of one attempt, over all connections that it takes. What the
 * caller has from an earlier attempt is compared, and left out.
 */
export class AnswerReader {
    /** Set by the last chunk. */
    public end: AttemptEnd | undefined;
    private readonly replay: Replay;
    private needsMark = false;
    private receivedBytes = 0;

    public constructor(private readonly job: Job, private readonly progress: Progress) {
        this.replay = progress.replay();
    }

    /** Bytes of this attempt's answer that have come, whether the caller had them before or not. */
    public get received(): number {
        return this.receivedBytes;
    }

    /** What is to be handed to the caller. */
    public take({ head, body, end, refused, broken }: RunChunk): AnswerEvent[] {
        const events: (AnswerEvent | undefined)[] = [];
        if (head !== undefined) {
            events.push(this.takeHead(head.status, head.headers));
        }
        if (body.length > 0) {
            events.push(this.takeBody(body));
        }
        if (refused !== undefined) {
            const { refusal, revision, message, restMs } = refused;
            this.end = { tag: "refused", refusal, revision: Number(revision), message, restMs };
        }
        else if (broken !== undefined) {
            const { message, timedOut, upstreamEnd } = broken;
            this.end = { tag: "broken", message, timedOut, upstreamEnd };
        }
        else if (end !== undefined) {
            this.end ??= this.endOf(Number(end.bodyBytes));
        }
        return events.filter(event => event !== undefined);
    }

    private takeHead(status: number, headers: readonly Header[]): AnswerEvent | undefined {
        this.needsMark = this.job.endsWithMark(status, headers);
        if (this.progress.headSent) {
            return undefined;
        }
        this.progress.headSent = true;
        return { tag: "head", status, headers };
    }

    private takeBody(bytes: Uint8Array): AnswerEvent | undefined {
        this.receivedBytes += bytes.length;
        const fresh = this.replay.pass(bytes);
        if (fresh === undefined) {
            this.end = { tag: "different" };
            return undefined;
        }
        this.progress.add(fresh);
        return fresh.length === 0 ? undefined : { tag: "body", bytes: fresh };
    }

    private endOf(bodyBytes: number): AttemptEnd {
        if (bodyBytes !== this.receivedBytes || !this.replay.done) {
            return brokenBy(`${this.receivedBytes} of ${bodyBytes} bytes came`);
        }
        if (this.needsMark && !this.progress.endsWith(endMark)) {
            return brokenBy("the stream ended without its end mark");
        }
        return { tag: "whole" };
    }
}

/** An answer that is not whole, of an upstream that lives. */
function brokenBy(message: string): AttemptEnd {
    return { tag: "broken", message, timedOut: false, upstreamEnd: "" };
}
