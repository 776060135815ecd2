/** One attempt of a request at one agent. */
import { create } from "@bufbuild/protobuf";
import { messageOf } from "@winchpath/core";
import { type RoutedReplica, type Router } from "@winchpath/routing";
import { type Header, Refusal, type RunChunk, RunRequestSchema } from "@winchpath/upstream";
import { type AgentConnector, NotSentError } from "./agents.js";
import { type AnswerEvent, type Job, timeLeft } from "./jobs.js";
import { type Progress } from "./progress.js";
import { type AttemptWatch } from "./watches.js";

const cancelTimeoutMs = 1000;
const endMark = Buffer.from("data: [DONE]");

/** How an attempt ended. */
export type AttemptEnd =
    /** The caller has the whole answer. */
    | { readonly tag: "whole"; }
    /** Not started, and never will be. */
    | { readonly tag: "refused"; readonly refusal: Refusal; readonly revision: number; readonly message: string; }
    /** The agent has, or had, the request, and this entry lost the way to the answer. */
    | { readonly tag: "lost"; readonly message: string; }
    /** The upstream's answer broke off. */
    | { readonly tag: "broken"; readonly message: string; readonly timedOut: boolean; }
    /** The answer began otherwise than what the caller has already. */
    | { readonly tag: "different"; };

/** Which attempt is made, and how. */
export interface AttemptPlan {
    readonly requestId: string;
    readonly attempt: number;
    readonly replica: Pick<RoutedReplica, "upstream" | "url" | "incarnation" | "item" | "sequence">;
    /** Only takes part in an attempt that the agent knows already. */
    readonly attach: boolean;
    /** Goes on where the caller's answer stands, in the same attempt. */
    readonly resume: boolean;
}

export class Attempts {
    public constructor(
        private readonly agents: AgentConnector,
        private readonly watch: AttemptWatch,
        private readonly router: Router,
        private readonly entry: string,
    ) {}

    /** Makes the attempt, and hands on what is new to the caller. */
    public async *make(job: Job, plan: AttemptPlan, progress: Progress): AsyncGenerator<AnswerEvent, AttemptEnd> {
        const { upstream, incarnation } = plan.replica;
        this.router.loads.started(upstream);
        this.router.ejections.sent(upstream);
        const end: { value: AttemptEnd; } = { value: { tag: "lost", message: "the connection ended" } };
        try {
            yield* this.watch.during(upstream, incarnation, lost => this.receive(job, plan, progress, lost, end));
        }
        finally {
            this.router.loads.ended(upstream);
            this.cancelIfLeft(job, plan);
        }
        this.learn(upstream, end.value);
        return end.value;
    }

    private async *receive(
        job: Job,
        plan: AttemptPlan,
        progress: Progress,
        lost: AbortSignal,
        end: { value: AttemptEnd; },
    ): AsyncGenerator<AnswerEvent> {
        const cut = new AbortController();
        const abort = () => cut.abort();
        const timer = setTimeout(abort, timeLeft(job));
        [lost, job.signal].forEach(signal => signal.addEventListener("abort", abort, { once: true }));
        const reader = new AnswerReader(job, progress, plan.resume);
        try {
            const chunks = this.agents.connect(plan.replica.url).run(this.request(job, plan, progress), cut.signal);
            for await (const chunk of chunks) {
                const event = reader.take(chunk);
                if (event !== undefined) {
                    yield event;
                }
                if (reader.end !== undefined) {
                    end.value = reader.end;
                    return;
                }
            }
        }
        catch (err) {
            if (err instanceof NotSentError && !plan.attach) {
                end.value = { tag: "refused", refusal: Refusal.UNREACHABLE, revision: 0, message: err.message };
                return;
            }
            end.value = { tag: "lost", message: lost.aborted ? "the agent's lease has run out" : messageOf(err) };
        }
        finally {
            clearTimeout(timer);
            [lost, job.signal].forEach(signal => signal.removeEventListener("abort", abort));
        }
    }

    private request(job: Job, plan: AttemptPlan, progress: Progress) {
        const { requestId, attempt, replica, attach, resume } = plan;
        return create(RunRequestSchema, {
            requestId,
            attempt,
            incarnation: replica.incarnation,
            method: job.method,
            path: job.path,
            headers: [...job.headers],
            body: job.bodyFor(replica.item),
            resource: job.resource,
            revision: BigInt(job.revision()),
            timeoutMs: timeLeft(job),
            idempotent: job.repeatable,
            offset: BigInt(resume ? progress.bytes : 0),
            attach,
            entry: this.entry,
            seenReport: replica.sequence,
        });
    }

    private cancelIfLeft(job: Job, plan: AttemptPlan): void {
        if (job.signal.aborted && job.repeatable) {
            const { requestId, attempt, replica } = plan;
            const id = { requestId, attempt, incarnation: replica.incarnation };
            this.agents.connect(replica.url).cancel(id, cancelTimeoutMs).catch(() => undefined);
        }
    }

    private learn(upstream: string, end: AttemptEnd): void {
        if (end.tag === "whole") {
            this.router.ejections.succeeded(upstream);
        }
        else if (
            end.tag === "lost" || end.tag === "broken" || (end.tag === "refused" && end.refusal === Refusal.UNREACHABLE)
        ) {
            this.router.ejections.failed(upstream);
        }
    }
}

/** Reads the chunks of one attempt; the end is whole only where the answer is. */
class AnswerReader {
    public end: AttemptEnd | undefined;
    private readonly replay;
    private needsMark = false;
    private received = 0;

    public constructor(
        private readonly job: Job,
        private readonly progress: Progress,
        resume: boolean,
    ) {
        this.replay = resume ? undefined : progress.replay();
        this.received = resume ? progress.bytes : 0;
    }

    /** What is to be handed to the caller, if anything. */
    public take({ chunk }: RunChunk): AnswerEvent | undefined {
        switch (chunk.case) {
            case "head":
                return this.takeHead(chunk.value.status, chunk.value.headers);
            case "body":
                return this.takeBody(chunk.value);
            case "end":
                this.end = this.endOf(Number(chunk.value.bodyBytes));
                return undefined;
            case "refused":
                this.end = {
                    tag: "refused",
                    refusal: chunk.value.refusal,
                    revision: Number(chunk.value.revision),
                    message: chunk.value.message,
                };
                return undefined;
            case "broken":
                this.end = { tag: "broken", message: chunk.value.message, timedOut: chunk.value.timedOut };
                return undefined;
            case undefined:
                return undefined;
        }
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
        this.received += bytes.length;
        const fresh = this.replay === undefined ? bytes : this.replay.pass(bytes);
        if (fresh === undefined) {
            this.end = { tag: "different" };
            return undefined;
        }
        this.progress.add(fresh);
        return fresh.length === 0 ? undefined : { tag: "body", bytes: fresh };
    }

    private endOf(bodyBytes: number): AttemptEnd {
        if (bodyBytes !== this.received || this.replay?.done === false) {
            return { tag: "broken", message: `${this.received} of ${bodyBytes} bytes came`, timedOut: false };
        }
        if (this.needsMark && !this.progress.endsWith(endMark)) {
            return { tag: "broken", message: "the stream ended without its end mark", timedOut: false };
        }
        return { tag: "whole" };
    }
}
