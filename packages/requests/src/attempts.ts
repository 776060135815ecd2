/** One attempt of a request at one agent. */
import { create } from "@bufbuild/protobuf";
import { messageOf } from "@winchpath/core";
import { type RoutedReplica, type Router } from "@winchpath/routing";
import { Refusal, RunRequestSchema } from "@winchpath/upstream";
import { type AgentConnector, NotSentError } from "./agents.js";
import { type AnswerEvent, type Job, timeLeft } from "./jobs.js";
import { type AnswerReader, type AttemptEnd } from "./readers.js";
import { type AttemptWatch } from "./watches.js";

const cancelTimeoutMs = 1000;

/** Which attempt is made, and how. */
export interface AttemptPlan {
    readonly requestId: string;
    readonly attempt: number;
    readonly replica: Pick<RoutedReplica, "upstream" | "url" | "incarnation" | "item" | "sequence">;
    /** Only takes part in an attempt that the agent knows already. */
    readonly attach: boolean;
}

export class Attempts {
    public constructor(
        private readonly agents: AgentConnector,
        private readonly watch: AttemptWatch,
        private readonly router: Router,
        private readonly entry: string,
    ) {}

    /** Makes the attempt, or goes on with it where the reader stands, and hands on what is new to the caller. */
    public async *make(job: Job, plan: AttemptPlan, reader: AnswerReader): AsyncGenerator<AnswerEvent, AttemptEnd> {
        const { upstream, incarnation } = plan.replica;
        this.router.loads.started(upstream);
        this.router.ejections.sent(upstream);
        this.router.availability.sent(incarnation);
        const end: { value: AttemptEnd; } = { value: { tag: "lost", message: "the connection ended" } };
        try {
            yield* this.watch.during(upstream, incarnation, lost => this.receive(job, plan, reader, lost, end));
        }
        finally {
            this.router.loads.ended(upstream);
            this.cancelIfLeft(job, plan);
        }
        this.hear(incarnation, end.value);
        this.learn(upstream, end.value);
        return end.value;
    }

    private async *receive(
        job: Job,
        plan: AttemptPlan,
        reader: AnswerReader,
        lost: AbortSignal,
        end: { value: AttemptEnd; },
    ): AsyncGenerator<AnswerEvent> {
        const cut = new AbortController();
        const abort = () => cut.abort();
        const timer = setTimeout(abort, timeLeft(job));
        [lost, job.signal].forEach(signal => signal.addEventListener("abort", abort, { once: true }));
        try {
            const chunks = this.agents.connect(plan.replica.url).run(
                this.request(job, plan, reader.received),
                cut.signal,
            );
            for await (const chunk of chunks) {
                yield* reader.take(chunk);
                if (reader.end !== undefined) {
                    end.value = reader.end;
                    return;
                }
            }
        }
        catch (err) {
            if (err instanceof NotSentError && !plan.attach) {
                const refusal = Refusal.UNREACHABLE;
                end.value = { tag: "refused", refusal, revision: 0, message: err.message, restMs: 0 };
                return;
            }
            end.value = { tag: "lost", message: lost.aborted ? "the agent's lease has run out" : messageOf(err) };
        }
        finally {
            clearTimeout(timer);
            [lost, job.signal].forEach(signal => signal.removeEventListener("abort", abort));
        }
    }

    private request(job: Job, plan: AttemptPlan, offset: number) {
        const { requestId, attempt, replica, attach } = plan;
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
            offset: BigInt(offset),
            attach,
            entry: this.entry,
            seenReport: replica.sequence,
        });
    }

    private cancelIfLeft(job: Job, plan: AttemptPlan): void {
        if (job.signal.aborted && job.repeatable) {
            const { requestId, attempt, replica } = plan;
            const id = { requestId, attempt, incarnation: replica.incarnation, seenReport: replica.sequence };
            this.agents.connect(replica.url).cancel(id, cancelTimeoutMs).catch(() => undefined);
        }
    }

    /** Takes in what an agent has said of the upstream beside it. */
    private hear(incarnation: string, end: AttemptEnd): void {
        const { availability } = this.router;
        if (end.tag === "whole") {
            availability.answered(incarnation);
        }
        else if (end.tag === "refused" && end.refusal === Refusal.LEAVING) {
            availability.markDraining(incarnation);
        }
        else if (end.tag === "refused" && end.restMs > 0) {
            availability.startBackoff(incarnation, end.restMs);
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
