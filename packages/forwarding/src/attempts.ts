/** One try of a request at one upstream. */
import { Deferred, messageOf, steadyNow } from "@winchpath/core";
import { type ServerResponse } from "node:http";
import { type Dispatcher } from "undici";
import { type AnswerFacts, type RequestCodec, withoutConnectionHeaders } from "./codecs.js";
import { EventSplitter } from "./events.js";
import { type HeldAnswer, isFramed, withoutLength, writeHeldAnswer } from "./heldanswers.js";
import { type Job, leftMs } from "./jobs.js";
import { type UpstreamLink } from "./links.js";

/** Answers up to this size are handed on only once they are whole, so that a broken one can be tried again. */
const heldBytes = 256 * 1024;

/**
 * A request that has found no free connection by then goes elsewhere, in
 * milliseconds: a little more than a new connection may take.
 */
const longestUnsentMs = 500;

/** Why a try ended whose upstream, or connection, has said nothing. */
export const silentReason = "silent";

/** What came of a try. */
export type AttemptOutcome =
    /** The whole answer was handed on. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The upstream has an answer that is no success; it was not handed on yet. */
    | { readonly kind: "failure"; readonly answer: HeldAnswer; }
    /** It is proved that the request has not run there. */
    | {
        readonly kind: "not-run";
        readonly reason: string;
        readonly misdirected: boolean;
        readonly unreachable: boolean;
    }
    /** It may have run; nothing was handed on. `lost`: whether its connection ended under it. */
    | { readonly kind: "unknown"; readonly reason: string; readonly lost: boolean; }
    /** Part of the answer was handed on, and the rest does not come. */
    | { readonly kind: "broken"; readonly reason: string; readonly lost: boolean; }
    /** Time ran out. */
    | { readonly kind: "late"; }
    | { readonly kind: "caller-gone"; };

/** What a try needs of the one who makes it. */
export interface AttemptParts {
    readonly codec: RequestCodec;
    readonly res: ServerResponse;
    /** More urgent requests are run first; undefined where the upstream knows no urgency. */
    readonly urgency: number | undefined;
    /** Whether the configuration sets accounts, so that keys are for the system itself. */
    readonly keysAreOurs: boolean;
    /** Whether answers tell the caller to close its connection. */
    readonly closing: () => boolean;
    /** Whether the upstream may still be sent requests; asked when a connection is free for this one. */
    readonly maySend: () => boolean;
    /**
     * Without the head of an answer by then the upstream, or the connection, counts as silent, in
     * milliseconds after the start; undefined where the request can't go anywhere else.
     */
    readonly silentAfterMs: number | undefined;
    /** Told what the head of any answer says, whether it is handed on or not. */
    readonly onHead: (facts: AnswerFacts) => void;
    /** Told when the upstream has begun to answer, in time for the objective. */
    readonly onAnswer: () => void;
    /** Told how long a stream has been silent between two events, in milliseconds. */
    readonly onPause: (ms: number) => void;
}

class GivenUp extends Error {}

export function attempt(job: Job, link: UpstreamLink, parts: AttemptParts): Promise<AttemptOutcome> {
    return new Attempt(job, link, parts).run();
}

class Attempt implements Dispatcher.DispatchHandler {
    private readonly done = new Deferred<AttemptOutcome>();
    private readonly splitter = new EventSplitter();
    private readonly held: Buffer[] = [];
    private heldSize = 0;
    /** Steady time of the last event that was handed on. */
    private eventAt: number | undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private sent = false;
    private settled = false;
    private status = 0;
    private headers: readonly string[] = [];
    private facts: AnswerFacts | undefined;
    /** Whether this try has handed anything on. */
    private handing = false;

    public constructor(
        private readonly job: Job,
        private readonly link: UpstreamLink,
        private readonly parts: AttemptParts,
    ) {}

    public async run(): Promise<AttemptOutcome> {
        const { job, link } = this;
        const onGone = () => this.giveUp({ kind: "caller-gone" });
        const timer = setTimeout(() => this.giveUp({ kind: "late" }), Math.max(0, leftMs(job)));
        const unsent = setTimeout(() => this.sent || this.settleUnsent("no free connection"), longestUnsentMs);
        const silent = this.watchForSilence();
        job.gone.addEventListener("abort", onGone, { once: true });
        if (job.gone.aborted) {
            onGone();
        }
        else {
            link.pool.dispatch(this.options(), this);
        }
        try {
            return await this.done.promise;
        }
        finally {
            clearTimeout(timer);
            clearTimeout(unsent);
            clearTimeout(silent);
            job.gone.removeEventListener("abort", onGone);
        }
    }

    private watchForSilence(): NodeJS.Timeout | undefined {
        const { silentAfterMs } = this.parts;
        return silentAfterMs === undefined
            ? undefined
            : setTimeout(() => this.endInSilence(), silentAfterMs);
    }

    private endInSilence(): void {
        if (this.sent && this.facts === undefined) {
            this.drop({ kind: "unknown", reason: silentReason, lost: false });
        }
    }

    public onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.sent) {
            // The client would send it anew on another connection; that is for the forwarder to decide.
            this.settle({ kind: "unknown", reason: "the connection was lost", lost: true });
        }
        else if (!this.parts.maySend()) {
            this.settleUnsent("it takes no requests any more");
        }
        if (this.settled) {
            controller.abort(new GivenUp("settled"));
            return;
        }
        this.sent = true;
    }

    public onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200) {
            return;
        }
        this.controller = controller;
        this.status = status;
        this.headers = ((controller.rawHeaders ?? []) as Buffer[]).map(part => part.toString("latin1"));
        this.facts = this.parts.codec.answerFacts(status, this.headers);
        if (this.facts.load !== undefined) {
            this.link.report(this.facts.load);
        }
        this.parts.onHead(this.facts);
        this.checkAnswer(this.facts);
    }

    public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.settled) {
            return;
        }
        if (this.isStream()) {
            this.handOnEvents(controller, chunk);
            return;
        }
        if (this.handing) {
            this.write(controller, chunk);
            return;
        }
        this.held.push(chunk);
        this.heldSize += chunk.length;
        if (this.heldSize > heldBytes && this.isSuccess()) {
            this.startAnswer(this.headers);
            this.write(controller, Buffer.concat(this.held.splice(0)));
        }
    }

    public onResponseEnd(): void {
        if (this.settled) {
            return;
        }
        if (!this.isFramed() && this.link.ends.isReset) {
            const kind = this.handing ? "broken" : "unknown";
            this.settle({ kind, reason: "reset before the answer was whole", lost: true });
        }
        else if (this.isStream()) {
            this.endStream();
        }
        else if (this.handing) {
            this.endAnswer();
        }
        else {
            this.finishHeld();
        }
    }

    public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        if (!this.sent) {
            this.settle({ kind: "not-run", reason: messageOf(err), misdirected: false, unreachable: true });
        }
        else if (this.handing) {
            this.settle({ kind: "broken", reason: messageOf(err), lost: true });
        }
        else {
            this.settle({ kind: "unknown", reason: messageOf(err), lost: true });
        }
    }

    private options(): Dispatcher.DispatchOptions {
        const { job, link, parts } = this;
        const headers = parts.codec.forwardHeaders(job.headers, {
            upstream: link.description.name,
            account: job.grant?.account,
            keysAreOurs: parts.keysAreOurs,
            deadlineMs: Math.max(1, Math.round(leftMs(job))),
            urgency: parts.urgency,
            resumeFrom: job.lastEventId ?? job.facts.resumeFrom,
        });
        return {
            path: job.url,
            method: job.method as Dispatcher.HttpMethod,
            headers,
            body: job.body.length === 0 ? undefined : job.body,
        };
    }

    /** An answer of another request, or one that does not look like an upstream's, is handed on to nobody. */
    private checkAnswer(facts: AnswerFacts): void {
        if (facts.id !== this.job.id) {
            this.drop({ kind: "unknown", reason: "the answer belongs to another request", lost: false });
        }
        else if (facts.notRun || facts.misdirected) {
            // Read to its end, so that the connection can be used again.
            const reason = `status ${this.status}`;
            this.settle({ kind: "not-run", reason, misdirected: facts.misdirected, unreachable: false });
        }
        else if (!facts.sealed) {
            const reason = `status ${this.status} without the mark of a whole answer`;
            this.drop({ kind: "unknown", reason, lost: false });
        }
        else {
            this.parts.onAnswer();
        }
    }

    /** Whether the answer tells where it ends; otherwise it ends with its connection. */
    private isFramed(): boolean {
        return isFramed(this.headers);
    }

    private isSuccess(): boolean {
        return this.status >= 200 && this.status < 300;
    }

    private isStream(): boolean {
        return this.isSuccess() && this.job.route.kind === "streaming";
    }

    private handOnEvents(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        const { bytes, lastId } = this.splitter.push(chunk);
        if (bytes.length === 0) {
            return;
        }
        this.startStream();
        const now = steadyNow();
        if (this.eventAt !== undefined) {
            this.parts.onPause(now - this.eventAt);
        }
        this.eventAt = now;
        this.job.lastEventId = lastId ?? this.job.lastEventId;
        this.write(controller, bytes);
    }

    /** A stream's length is not known to us: it is sent in chunks, whatever the upstream said. */
    private startStream(): void {
        if (!this.handing) {
            this.startAnswer(withoutLength(this.headers));
        }
    }

    private startAnswer(headers: readonly string[]): void {
        this.handing = true;
        if (this.job.answerStarted) {
            // A resumed stream goes on under the headers of its first upstream.
            return;
        }
        this.job.answerStarted = true;
        const kept = withoutConnectionHeaders(headers);
        if (this.parts.closing()) {
            kept.push("Connection", "close");
        }
        this.parts.res.writeHead(this.status, kept);
        this.parts.res.flushHeaders();
    }

    private write(controller: Dispatcher.DispatchController, bytes: Buffer): void {
        if (!this.parts.res.write(bytes)) {
            controller.pause();
            this.parts.res.once("drain", () => controller.resume());
        }
    }

    private endStream(): void {
        this.startStream();
        if (this.splitter.remainder.length > 0) {
            this.parts.res.write(this.splitter.remainder);
        }
        this.endAnswer();
    }

    private endAnswer(): void {
        this.parts.res.end();
        this.settle({ kind: "answered", status: this.status });
    }

    private finishHeld(): void {
        const answer = { status: this.status, headers: this.headers, body: Buffer.concat(this.held) };
        if (!this.isSuccess()) {
            this.settle({ kind: "failure", answer });
            return;
        }
        writeHeldAnswer(this.parts.res, answer, this.parts.closing());
        this.handing = true;
        this.settle({ kind: "answered", status: this.status });
    }

    /** Nothing of the request has gone out. */
    private settleUnsent(reason: string): void {
        this.settle({ kind: "not-run", reason, misdirected: false, unreachable: false });
    }

    private giveUp(outcome: AttemptOutcome): void {
        const untouched = outcome.kind === "late" && !this.sent;
        this.drop(
            untouched
                ? { kind: "not-run", reason: "no connection in time", misdirected: false, unreachable: true }
                : outcome,
        );
    }

    /** Settles, and closes the connection: what comes on it belongs to nobody. */
    private drop(outcome: AttemptOutcome): void {
        this.settle(outcome);
        this.controller?.abort(new GivenUp(outcome.kind));
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.settled) {
            this.settled = true;
            this.done.resolve(outcome);
        }
    }
}
