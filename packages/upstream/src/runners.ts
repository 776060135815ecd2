/** Runs requests at the upstream and streams the responses to their readers. */
import { create } from "@bufbuild/protobuf";
import { BackoffTracker } from "@winchpath/availability";
import {
    type BrokenEnd,
    eventLoop,
    messageOf,
    Notifier,
    retryAfterMs,
    sleep,
    startFairTimer,
    steadyNow,
} from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { CrashTracker } from "./crashtrackers.js";
import { leavingHeader, notStartedHeader } from "./engineschemas.js";
import {
    FenceOutcome,
    type Header,
    HeaderSchema,
    Refusal,
    RunBrokenSchema,
    type RunChunk,
    RunEndSchema,
    RunHeadSchema,
    type RunRequest,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { type CrashedEnd, RunEndJudge } from "./runends.js";
import { refusedChunk, responseNotRetained, type RunRecord, type RunRefusal } from "./runrecords.js";
import { RunTable } from "./runtables.js";
import { NotConnectedError, type Upstream, type UpstreamResponse } from "./upstreams.js";

/** How long an idempotent request keeps running without readers before it is aborted. */
const orphanTimeoutMs = 3000;
/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "content-length",
    "host",
    "expect",
]);

/** Returns why a request may not start, or undefined if it may. */
export type AdmissionCheck = (req: RunRequest) => RunRefusal | undefined;

/** Key of the backoff tracker's only entry: a runner serves one upstream. */
const upstreamKey = "the agent's upstream";

export class Runner {
    public readonly table = new RunTable();
    /** Notified when a request ends. */
    public readonly requestEnded: Notifier = this.table.ended;
    private readonly crashes: CrashTracker;
    private readonly backoffs = new BackoffTracker();

    public constructor(
        private readonly upstream: Upstream,
        private readonly admit: AdmissionCheck,
        private readonly timeline: Timeline,
        /** Called when a response announces that the upstream is leaving. */
        private readonly onLeaving: () => void = () => undefined,
        /** Whether the upstream is leaving, so that the end of its process is no crash. */
        private readonly isLeaving: () => boolean = () => false,
    ) {
        this.crashes = new CrashTracker(upstream);
    }

    /** Runs a request, or attaches to its attempt if that is already known. */
    public async *run(req: RunRequest): AsyncGenerator<RunChunk> {
        let record = this.table.find(req.requestId, req.attempt);
        if (record === undefined) {
            if (req.attach) {
                yield responseNotRetained();
                return;
            }
            const refusal = this.admit(req) ?? this.backoffRefusal();
            if (refusal !== undefined) {
                yield refusedChunk(refusal);
                return;
            }
            record = this.table.begin(req.requestId, req.attempt, req.idempotent);
            void this.execute(record, req);
        }
        else if (record.outcome === FenceOutcome.NEVER) {
            yield refusedChunk({ refusal: Refusal.FENCED, message: "this attempt was fenced off" });
            return;
        }
        try {
            yield* record.read(Number(req.offset));
        }
        finally {
            void this.abortIfOrphaned(record);
        }
    }

    /** Aborts an attempt whose caller has disconnected; a request that is not idempotent runs to its end. */
    public cancel(requestId: string, attempt: number): void {
        const record = this.table.find(requestId, attempt);
        if (record?.idempotent) {
            record.abort.abort();
        }
    }

    private async abortIfOrphaned(record: RunRecord): Promise<void> {
        if (!record.idempotent || record.endedAt !== undefined || record.readerCount > 0) {
            return;
        }
        await sleep(orphanTimeoutMs, record.abort.signal);
        // An entry may have come back for the response while this process was late.
        await eventLoop.inputRead();
        if (record.readerCount === 0) {
            record.abort.abort();
        }
    }

    /** Sends a request to the upstream and copies the response into the record. */
    private async execute(record: RunRecord, req: RunRequest): Promise<void> {
        const timer = startFairTimer(() => record.abort.abort(), req.timeoutMs);
        const timedOut = () => Date.now() >= deadline;
        const deadline = Date.now() + req.timeoutMs;
        const startedAt = steadyNow();
        try {
            const response = await this.upstream.send({
                method: req.method,
                path: req.path,
                headers: Object.fromEntries(req.headers.filter(isEndToEnd).map(({ name, value }) => [name, value])),
                body: req.body,
                signal: record.abort.signal,
            });
            await this.receive(record, response, startedAt);
        }
        catch (err) {
            await this.recordFailure(record, req, err, { startedAt, timedOut: timedOut() });
        }
        finally {
            timer.cancel();
        }
    }

    private async receive(record: RunRecord, response: UpstreamResponse, startedAt: number): Promise<void> {
        this.applySignals(response);
        if (response.headers[notStartedHeader] !== undefined) {
            const message = `the upstream did not start it (${response.status})`;
            this.table.refuse(record, this.backoffRefusal() ?? { refusal: refusalForStatus(response.status), message });
            await response.discard();
            return;
        }
        record.setHead(create(RunHeadSchema, { status: response.status, headers: toHeaders(response.headers) }));
        const judge = new RunEndJudge(response);
        let bytes = 0;
        for await (const chunk of response.body) {
            bytes += chunk.length;
            judge.push(chunk);
            if (judge.isEventTooLong) {
                throw new BrokenResponseError({
                    kind: "broken",
                    reason: "an event exceeds its bound",
                    connectionLost: false,
                });
            }
            await record.append(chunk);
        }
        const responseEnd = await judge.judge(async () => ({
            isLeaving: this.isLeaving(),
            crashId: await this.crashes.crashIdFor(startedAt),
        }));
        if (responseEnd.kind === "broken") {
            throw new BrokenResponseError(responseEnd);
        }
        const end = create(RunEndSchema, { bodyBytes: BigInt(bytes) });
        record.finish(FenceOutcome.FINISHED, { end });
    }

    /** Applies the response headers that concern the upstream's own state: leaving and Retry-After. */
    private applySignals({ status, headers }: UpstreamResponse): void {
        if (firstValue(headers[leavingHeader]).trim() === "1") {
            this.onLeaving();
        }
        const restMs = status === statusUnavailable
            ? retryAfterMs(firstValue(headers["retry-after"]), firstValue(headers.date))
            : undefined;
        if (restMs !== undefined) {
            this.backoffs.start(upstreamKey, restMs);
            this.timeline.record("upstream.rests", { detail: `ms=${Math.round(restMs)}` });
        }
    }

    /** Returns the refusal during a backoff of the upstream, otherwise undefined. */
    private backoffRefusal(): RunRefusal | undefined {
        const until = this.backoffs.blockedUntil(upstreamKey);
        if (until === undefined) {
            return undefined;
        }
        const restMs = until - steadyNow();
        return {
            refusal: Refusal.RESTING,
            message: `the upstream rests for ${restMs} ms`,
            restMs,
        };
    }

    private async recordFailure(
        record: RunRecord,
        req: RunRequest,
        err: unknown,
        { startedAt, timedOut }: { readonly startedAt: number; readonly timedOut: boolean; },
    ): Promise<void> {
        if (err instanceof NotConnectedError) {
            this.table.refuse(record, { refusal: Refusal.UNREACHABLE, message: err.message });
            return;
        }
        const message = messageOf(err);
        this.timeline.record("request.broken", { requestId: req.requestId, resource: req.resource, detail: message });
        const abortedByAgent = timedOut || record.abort.signal.aborted;
        // The process may have restarted since the response was judged.
        const knownCrash = err instanceof BrokenResponseError ? err.crashId : undefined;
        const upstreamEnd = abortedByAgent ? "" : knownCrash ?? await this.crashes.crashIdFor(startedAt);
        const broken = create(RunBrokenSchema, { message, timedOut, upstreamEnd });
        record.finish(FenceOutcome.BROKEN, { broken });
    }
}

/** The response ended without an error, but is incomplete. */
class BrokenResponseError extends Error {
    /** Set if it is known that the upstream's process has ended. */
    public readonly crashId: string | undefined;

    public constructor(end: BrokenEnd | CrashedEnd) {
        super(end.reason);
        this.crashId = "crashId" in end ? end.crashId : undefined;
    }
}

function isEndToEnd(header: Header): boolean {
    return !hopByHopHeaders.has(header.name.toLowerCase());
}

function toHeaders(headers: UpstreamResponse["headers"]): Header[] {
    return Object.entries(headers).flatMap(([name, value]) => {
        const values = Array.isArray(value) ? value : value === undefined ? [] : [value];
        return values.map(each => create(HeaderSchema, { name, value: each })).filter(isEndToEnd);
    });
}

function firstValue(value: string | string[] | undefined): string {
    return (Array.isArray(value) ? value[0] : value) ?? "";
}

const statusNotFound = 404;
const statusUnavailable = 503;

function refusalForStatus(status: number): Refusal {
    return status === statusNotFound ? Refusal.NOT_RESIDENT : Refusal.OVERLOADED;
}
