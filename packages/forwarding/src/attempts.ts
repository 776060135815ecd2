/** A single attempt to send a request to one upstream. */
import {
    type CompleteEnd,
    type ConnectionState,
    type ContentCounter,
    Deferred,
    EventSplitter,
    ExcessiveFramingError,
    type FairTimer,
    framingOf,
    invalidStatusReason,
    isFinalStatus,
    judgeResponseEnd,
    messageOf,
    type ResponseEnd,
    type ResponseEndFacts,
    ResponseFraming,
    startFairTimer,
    steadyNow,
} from "@winchpath/core";
import { type ServerResponse } from "node:http";
import { type Dispatcher } from "undici";
import {
    type AttemptOutcome,
    headTimeoutReason,
    localEndReason,
    longEventReason,
    longFailureReason,
    unsentOutcome,
} from "./attemptoutcomes.js";
import { withoutContentLength, writeBufferedResponse } from "./bufferedresponses.js";
import { type HeaderCodec, headerValue, type ResponseMetadata, withoutConnectionHeaders } from "./headercodecs.js";
import { type InboundRequest, remainingMs } from "./inboundrequests.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/**
 * Responses up to this size are buffered completely before they are forwarded, so that a truncated one can be retried.
 */
const maxBufferedBytes = 256 * 1024;

/** Failures that are longer than this are given up, in bytes: they are held in memory until another attempt is decided. */
const maxFailureBytes = 1024 * 1024;
/**
 * The rest of a response that isn't needed is read up to this size, in bytes, and for this time, in milliseconds, so that
 * its connection can be used again.
 */
const maxDiscardedBytes = 256 * 1024;
const discardTimeoutMs = 1000;

const eventStreamType = "text/event-stream";

/** Time to wait for a free connection, in milliseconds; longer than it takes to establish a new one. */
const connectionWaitMs = 500;

/** Settings and callbacks of an attempt. */
export interface AttemptOptions {
    readonly codec: HeaderCodec;
    readonly res: ServerResponse;
    /** Scheduling priority for the upstream, 0 first; undefined if the upstream does not support it. */
    readonly urgency: number | undefined;
    /** Whether the configuration defines accounts, so that API keys are removed before forwarding. */
    readonly stripApiKeys: boolean;
    /** Whether responses ask the client to close its connection. */
    readonly closing: () => boolean;
    /** Whether newer input may lie unread; checked once a connection is available. */
    readonly isBehind: () => boolean;
    /** Whether the upstream may still receive the request; checked once a connection is available, right before sending. */
    readonly maySend: () => boolean;
    /**
     * Time to wait for response headers, in milliseconds; undefined if the request cannot be sent to another upstream.
     */
    readonly headTimeoutMs: number | undefined;
    /** Called with the metadata of every response, including those that are not forwarded. */
    readonly onResponseHead: (metadata: ResponseMetadata) => void;
    /** Called when a valid response has started. */
    readonly onResponseStart: () => void;
    /**
     * Whether the process of the upstream has ended although it need not have finished its responses first. Asked after a
     * response that ended with its connection, which a crash closes as well.
     */
    readonly hasUpstreamEnded: () => Promise<boolean>;
    /** Called when a response has ended, before its outcome is known. */
    readonly onResponseEnd: (facts: ResponseEndFacts) => void;
    /** Called before the first event is forwarded; returns false if no event of this upstream may be. */
    readonly mayForwardEvents: () => boolean;
    /** Called with the time between two consecutive events of a stream, in milliseconds. */
    readonly onPause: (ms: number) => void;
    /** Called with the length of each piece of the response's body that was read. */
    readonly onRead?: (bytes: number) => void;
}

class AttemptAborted extends Error {}

export function attempt(
    request: InboundRequest,
    endpoint: UpstreamEndpoint,
    options: AttemptOptions,
): Promise<AttemptOutcome> {
    return new Attempt(request, endpoint, options).run();
}

class Attempt implements Dispatcher.DispatchHandler {
    private readonly outcome = new Deferred<AttemptOutcome>();
    private readonly splitter = new EventSplitter();
    private readonly buffered: Buffer[] = [];
    private bufferedBytes = 0;
    /** Monotonic time at which the last event was forwarded. */
    private lastEventAt: number | undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private sent = false;
    /** Whether no connection was free when the attempt began. */
    private waitedForConnection = false;
    private settled = false;
    /** Whether the response has ended, so that nothing is left to abort. */
    private ended = false;
    /** Set while a response that ended with its connection is being confirmed. */
    private unconfirmedEnd: ResponseEndFacts | undefined;
    private status = 0;
    private headers: readonly string[] = [];
    private metadata: ResponseMetadata | undefined;
    /** Whether this attempt has forwarded any part of the response. */
    private forwarding = false;
    /** Counts the content of the response, so that the rest of its bytes can be bounded. */
    private content: ContentCounter | undefined;
    private discardedBytes = 0;

    public constructor(
        private readonly request: InboundRequest,
        private readonly endpoint: UpstreamEndpoint,
        private readonly options: AttemptOptions,
    ) {}

    public async run(): Promise<AttemptOutcome> {
        const { request, endpoint } = this;
        const onClientGone = () => {
            this.cancel({ kind: "caller-gone", sent: this.sent, reason: localEndReason(request.abortSignal) });
        };
        const deadlineTimer = startFairTimer(() => this.cancel({ kind: "late" }), Math.max(0, remainingMs(request)));
        const connectionTimer = startFairTimer(
            () => this.sent || this.settleUnsent("no free connection"),
            connectionWaitMs,
        );
        const headTimer = this.startHeadTimeout();
        request.abortSignal.addEventListener("abort", onClientGone, { once: true });
        if (request.abortSignal.aborted) {
            onClientGone();
        }
        else {
            endpoint.pool.dispatch(this.dispatchOptions(), this);
            this.waitedForConnection = true;
        }
        try {
            return await this.outcome.promise;
        }
        finally {
            deadlineTimer.cancel();
            connectionTimer.cancel();
            headTimer?.cancel();
            request.abortSignal.removeEventListener("abort", onClientGone);
        }
    }

    private startHeadTimeout(): FairTimer | undefined {
        const { headTimeoutMs } = this.options;
        return headTimeoutMs === undefined
            ? undefined
            : startFairTimer(() => this.onHeadTimeout(), headTimeoutMs);
    }

    private onHeadTimeout(): void {
        if (this.sent && this.metadata === undefined) {
            this.abort({ kind: "unknown", reason: headTimeoutReason, lost: false });
        }
    }

    public onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.sent) {
            // undici would resend the request on another connection; the forwarder decides about retries.
            this.settle({ kind: "unknown", reason: "connection lost", lost: true });
        }
        else if (!this.settled && this.waitedForConnection && this.options.isBehind()) {
            this.settle({ kind: "postponed" });
        }
        else if (!this.settled && !this.options.maySend()) {
            this.settleUnsent("upstream no longer accepts requests");
        }
        if (this.settled) {
            controller.abort(new AttemptAborted("settled"));
            return;
        }
        this.sent = true;
    }

    public onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        this.content = this.endpoint.connections.framing.current;
        if (status < 200) {
            return;
        }
        this.controller = controller;
        if (!isFinalStatus(status)) {
            this.abort({ kind: "unknown", reason: invalidStatusReason(status), lost: false });
            return;
        }
        this.status = status;
        this.headers = ((controller.rawHeaders ?? []) as Buffer[]).map(part => part.toString("latin1"));
        this.metadata = this.options.codec.responseMetadata(status, this.headers);
        if (this.metadata.load !== undefined) {
            this.endpoint.updateReportedLoad(this.metadata.load);
        }
        this.options.onResponseHead(this.metadata);
        this.validateResponse(this.metadata);
    }

    public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.content?.add(chunk.length);
        this.options.onRead?.(chunk.length);
        if (this.settled) {
            this.discard(controller, chunk);
            return;
        }
        if (this.isStream()) {
            this.forwardEvents(controller, chunk);
            return;
        }
        if (this.forwarding) {
            this.write(controller, chunk);
            return;
        }
        this.buffered.push(chunk);
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes > maxFailureBytes && !this.isSuccess()) {
            this.abort({ kind: "unknown", reason: longFailureReason, lost: false });
        }
        else if (this.bufferedBytes > maxBufferedBytes && this.isSuccess()) {
            this.startResponse(this.headers);
            this.write(controller, Buffer.concat(this.buffered.splice(0)));
        }
    }

    public onResponseEnd(): void {
        this.content?.end();
        this.settleEnd(this.endpoint.connections.wasReset ? "reset" : "intact");
    }

    public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        if (!this.sent) {
            this.settleUnsent(messageOf(err), true);
        }
        else if (err instanceof ExcessiveFramingError) {
            this.ended = true;
            this.settle({ kind: this.forwarding ? "broken" : "unknown", reason: err.message, lost: false });
        }
        else {
            this.settleEnd("failed", messageOf(err));
        }
    }

    /** Drops bytes of a response that isn't needed any more, and gives up its connection if there are too many. */
    private discard(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.discardedBytes += chunk.length;
        if (this.discardedBytes > maxDiscardedBytes) {
            controller.abort(new AttemptAborted("too much to discard"));
        }
    }

    private startDiscardTimeout(): void {
        setTimeout(() => {
            if (!this.ended) {
                this.controller?.abort(new AttemptAborted("discarded for too long"));
            }
        }, discardTimeoutMs).unref();
    }

    /** Settles the attempt after the end of the response; `error`: message of the HTTP client if it failed. */
    private settleEnd(connection: ConnectionState, error?: string): void {
        if (this.settled) {
            return;
        }
        this.ended = true;
        const facts = this.endFacts(connection);
        this.options.onResponseEnd(facts);
        const end = judgeResponseEnd(facts, error);
        if (end.kind === "complete" && end.evidence === ResponseFraming.close) {
            void this.settleConfirmedEnd(facts);
        }
        else {
            this.settleJudgedEnd(end);
        }
    }

    /** Settles the attempt after a response that ended with its connection, once it is known whether the upstream did too. */
    private async settleConfirmedEnd(facts: ResponseEndFacts): Promise<void> {
        this.unconfirmedEnd = facts;
        const upstreamEnded = await this.options.hasUpstreamEnded();
        if (!this.settled) {
            this.settleJudgedEnd(judgeResponseEnd({ ...facts, upstreamEnded }));
        }
    }

    private settleJudgedEnd(end: ResponseEnd): void {
        if (end.kind === "broken") {
            const kind = this.forwarding ? "broken" : "unknown";
            this.settle({ kind, reason: end.reason, lost: end.connectionLost });
        }
        else if (this.isStream()) {
            this.endStream(end);
        }
        else if (this.forwarding) {
            this.endResponse(end);
        }
        else {
            this.finishBuffered(end);
        }
    }

    private endFacts(connection: ConnectionState): ResponseEndFacts {
        const { splitter } = this;
        const stream = {
            unfinishedBytes: splitter.remainder.length,
            endsInsideEvent: splitter.isInsideEvent,
            hasEvents: splitter.hasEvents,
        };
        return {
            framing: this.framing,
            connection,
            stream: this.isStream() ? stream : undefined,
        };
    }

    private dispatchOptions(): Dispatcher.DispatchOptions {
        const { request, endpoint, options } = this;
        const headers = options.codec.forwardHeaders(request.headers, {
            upstream: endpoint.description.name,
            account: request.grant?.account,
            stripApiKeys: options.stripApiKeys,
            deadlineMs: Math.max(1, Math.round(remainingMs(request))),
            urgency: options.urgency,
            resumeFrom: request.lastEventId ?? request.metadata.resumeFrom,
        });
        return {
            path: request.url,
            method: request.method as Dispatcher.HttpMethod,
            headers,
            body: request.body.length === 0 ? undefined : request.body,
        };
    }

    /** Rejects responses to other requests and responses without a seal. */
    private validateResponse(metadata: ResponseMetadata): void {
        if (metadata.id !== this.request.id) {
            this.abort({ kind: "unknown", reason: "response to another request", lost: false });
        }
        else if (metadata.notExecuted || metadata.misdirected) {
            // The response is read to its end so that the connection can be reused.
            const reason = `status ${this.status}`;
            this.settle({
                kind: "not-run",
                reason,
                misdirected: metadata.misdirected,
                unreachable: false,
                responded: true,
            });
            this.startDiscardTimeout();
        }
        else if (!metadata.sealed) {
            const reason = `status ${this.status} without a response seal`;
            this.abort({ kind: "unknown", reason, lost: false });
        }
        else {
            this.options.onResponseStart();
        }
    }

    private get framing(): ResponseFraming {
        return framingOf(this.request.method, this.status, this.headers);
    }

    private isSuccess(): boolean {
        return this.status >= 200 && this.status < 300;
    }

    private isStream(): boolean {
        const type = headerValue(this.headers, "content-type") ?? eventStreamType;
        return this.isSuccess() && this.request.route.kind === "streaming" && type.startsWith(eventStreamType);
    }

    private forwardEvents(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        const bytes = this.splitter.push(chunk);
        if (this.splitter.isEventTooLong) {
            this.abort({ kind: this.forwarding ? "broken" : "unknown", reason: longEventReason, lost: false });
            return;
        }
        if (bytes.length === 0) {
            return;
        }
        if (this.lastEventAt === undefined && !this.options.mayForwardEvents()) {
            this.abort({ kind: "unknown", reason: "other software version", lost: false });
            return;
        }
        this.startStream();
        const now = steadyNow();
        if (this.lastEventAt !== undefined) {
            this.options.onPause(now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.write(controller, bytes);
    }

    /** Sends a stream chunked, whatever its length upstream: a resumed stream has a different length. */
    private startStream(): void {
        if (!this.forwarding) {
            this.startResponse(withoutContentLength(this.headers));
        }
    }

    /**
     * Starts a response before its end is known. Where the upstream states no length it is sent in chunks, also if the upstream
     * sends none, so that it can be broken off visibly: many clients take even a reset for the end of a body without framing.
     */
    private startResponse(headers: readonly string[]): void {
        this.forwarding = true;
        if (this.request.responseStarted) {
            // The client already has the headers of the first upstream of a resumed stream.
            return;
        }
        this.request.responseStarted = true;
        const kept = withoutConnectionHeaders(headers);
        if (this.options.closing()) {
            kept.push("Connection", "close");
        }
        this.options.res.writeHead(this.status, kept);
        this.options.res.flushHeaders();
    }

    private write(controller: Dispatcher.DispatchController, bytes: Buffer): void {
        if (!this.options.res.write(bytes)) {
            controller.pause();
            this.options.res.once("drain", () => controller.resume());
        }
    }

    private endStream(end: CompleteEnd): void {
        this.startStream();
        if (this.splitter.remainder.length > 0) {
            this.options.res.write(this.splitter.remainder);
        }
        this.endResponse(end);
    }

    /** Ends the response to the client, which needs proof that the upstream's is complete. */
    private endResponse(_end: CompleteEnd): void {
        this.options.res.end();
        this.settle({ kind: "answered", status: this.status });
    }

    private finishBuffered({ evidence }: CompleteEnd): void {
        const body = Buffer.concat(this.buffered);
        const response = { status: this.status, headers: this.headers, body, framing: evidence };
        if (!this.isSuccess()) {
            this.settle({ kind: "failure", response });
            return;
        }
        writeBufferedResponse(this.options.res, response, this.options.closing());
        this.forwarding = true;
        this.settle({ kind: "answered", status: this.status });
    }

    /** Settles an attempt of which nothing was sent. */
    private settleUnsent(reason: string, unreachable = false): void {
        this.settle(unsentOutcome(reason, unreachable));
    }

    private cancel(outcome: AttemptOutcome): void {
        if (outcome.kind === "late" && this.unconfirmedEnd !== undefined && !this.settled) {
            // The whole response is here, as far as is known by the deadline.
            this.settleJudgedEnd(judgeResponseEnd(this.unconfirmedEnd));
            return;
        }
        const unsent = outcome.kind === "late" && !this.sent;
        this.abort(unsent ? unsentOutcome("no connection before the deadline", true) : outcome);
    }

    /** Settles the attempt and closes the connection, since the rest of the response must not be read. */
    private abort(outcome: AttemptOutcome): void {
        this.settle(outcome);
        if (!this.ended) {
            this.controller?.abort(new AttemptAborted(outcome.kind));
        }
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.settled) {
            this.settled = true;
            const { lastEvent } = this.splitter;
            if (lastEvent !== undefined) {
                this.request.lastEventId = lastEvent.id;
            }
            this.outcome.resolve(outcome);
        }
    }
}
