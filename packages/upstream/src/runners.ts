/** Runs admitted requests at the upstream, and hands their answers to whoever reads them. */
import { create } from "@bufbuild/protobuf";
import { BackoffTracker } from "@winchpath/availability";
import { messageOf, Notifier, retryAfterMs, sleep, steadyNow } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { NotConnectedError, type Upstream, type UpstreamAnswer } from "./engines.js";
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
import { answerGone, refusedChunk, type RunRecord, type RunRefusal } from "./records.js";
import { leavingHeader, notStartedHeader } from "./schemas.js";
import { RunTable } from "./tables.js";
import { UpstreamEnds } from "./upstreamends.js";

/** A request that may be cut off and that nobody reads any more is cut off after this time. */
const orphanMs = 3000;
/** Headers that concern one connection only. */
const connectionHeaders = new Set([
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

/** Decides whether a request may begin here; undefined where it may. */
export type Admission = (req: RunRequest) => RunRefusal | undefined;

/** A runner knows one upstream, so its book of rests has one name. */
const beside = "the upstream beside the agent";

export class Runner {
    public readonly table = new RunTable();
    /** Notified when a request ends. */
    public readonly ended: Notifier = this.table.ended;
    private readonly ends: UpstreamEnds;
    private readonly rests = new BackoffTracker();

    public constructor(
        private readonly upstream: Upstream,
        private readonly admit: Admission,
        private readonly timeline: Timeline,
        /** Told when an answer says that the upstream leaves. */
        private readonly onLeaving: () => void = () => undefined,
    ) {
        this.ends = new UpstreamEnds(upstream);
    }

    /** Runs a request, or attaches to the attempt where it is known already. */
    public async *run(req: RunRequest): AsyncGenerator<RunChunk> {
        let record = this.table.find(req.requestId, req.attempt);
        if (record === undefined) {
            if (req.attach) {
                yield answerGone();
                return;
            }
            const refused = this.admit(req) ?? this.refusalOfRest();
            if (refused !== undefined) {
                yield refusedChunk(refused);
                return;
            }
            record = this.table.begin(req.requestId, req.attempt, req.idempotent);
            void this.pump(record, req);
        }
        else if (record.outcome === FenceOutcome.NEVER) {
            yield refusedChunk({ refusal: Refusal.FENCED, message: "this attempt was fenced off" });
            return;
        }
        try {
            yield* record.read(Number(req.offset));
        }
        finally {
            void this.abandonLater(record);
        }
    }

    /** The caller has left. What may not be repeated goes on to its end. */
    public cancel(requestId: string, attempt: number): void {
        const record = this.table.find(requestId, attempt);
        if (record?.idempotent) {
            record.abort.abort();
        }
    }

    private async abandonLater(record: RunRecord): Promise<void> {
        if (!record.idempotent || record.endedAt !== undefined || record.readers > 0) {
            return;
        }
        await sleep(orphanMs, record.abort.signal);
        if (record.readers === 0) {
            record.abort.abort();
        }
    }

    /** The task of one attempt: from the upstream into the record. */
    private async pump(record: RunRecord, req: RunRequest): Promise<void> {
        const timer = setTimeout(() => record.abort.abort(), req.timeoutMs);
        const timedOut = () => Date.now() >= deadline;
        const deadline = Date.now() + req.timeoutMs;
        const startedAt = steadyNow();
        try {
            const answer = await this.upstream.send({
                method: req.method,
                path: req.path,
                headers: Object.fromEntries(req.headers.filter(mayPass).map(({ name, value }) => [name, value])),
                body: req.body,
                signal: record.abort.signal,
            });
            await this.receive(record, answer);
        }
        catch (err) {
            await this.recordFailure(record, req, err, { startedAt, timedOut: timedOut() });
        }
        finally {
            clearTimeout(timer);
        }
    }

    private async receive(record: RunRecord, answer: UpstreamAnswer): Promise<void> {
        this.hear(answer);
        if (answer.headers[notStartedHeader] !== undefined) {
            const message = `the upstream did not start it (${answer.status})`;
            this.table.refuse(record, this.refusalOfRest() ?? { refusal: refusalOf(answer.status), message });
            await answer.discard();
            return;
        }
        record.setHead(create(RunHeadSchema, { status: answer.status, headers: headersOf(answer.headers) }));
        let bytes = 0;
        for await (const chunk of answer.body) {
            bytes += chunk.length;
            await record.push(chunk);
        }
        const end = create(RunEndSchema, { bodyBytes: BigInt(bytes) });
        record.finish(FenceOutcome.FINISHED, { end });
    }

    /** Takes in what an answer says of the upstream itself. */
    private hear({ status, headers }: UpstreamAnswer): void {
        if (textOf(headers[leavingHeader]).trim() === "1") {
            this.onLeaving();
        }
        const restMs = status === statusUnavailable
            ? retryAfterMs(textOf(headers["retry-after"]), textOf(headers.date))
            : undefined;
        if (restMs !== undefined) {
            this.rests.start(beside, restMs);
            this.timeline.record("upstream.rests", { detail: `ms=${Math.round(restMs)}` });
        }
    }

    /** Undefined where the upstream takes requests. */
    private refusalOfRest(): RunRefusal | undefined {
        const until = this.rests.blockedUntil(beside);
        if (until === undefined) {
            return undefined;
        }
        const restMs = until - steadyNow();
        return { refusal: Refusal.RESTING, message: `the upstream rests for ${restMs} ms`, restMs };
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
        const cutHere = timedOut || record.abort.signal.aborted;
        const upstreamEnd = cutHere ? "" : await this.ends.nameFor(startedAt);
        const broken = create(RunBrokenSchema, { message, timedOut, upstreamEnd });
        record.finish(FenceOutcome.BROKEN, { broken });
    }
}

function mayPass(header: Header): boolean {
    return !connectionHeaders.has(header.name.toLowerCase());
}

function headersOf(headers: UpstreamAnswer["headers"]): Header[] {
    return Object.entries(headers).flatMap(([name, value]) => {
        const values = Array.isArray(value) ? value : value === undefined ? [] : [value];
        return values.map(each => create(HeaderSchema, { name, value: each })).filter(mayPass);
    });
}

function textOf(value: string | string[] | undefined): string {
    return (Array.isArray(value) ? value[0] : value) ?? "";
}

const statusNotFound = 404;
const statusUnavailable = 503;

function refusalOf(status: number): Refusal {
    return status === statusNotFound ? Refusal.NOT_RESIDENT : Refusal.OVERLOADED;
}
