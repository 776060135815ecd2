/** Sends one attempt of a request to one agent. */
import { create } from "@bufbuild/protobuf";
import { messageOf, startFairTimer } from "@winchpath/core";
import { type RoutedReplica, type Router } from "@winchpath/routing";
import { Refusal, RunRequestSchema } from "@winchpath/upstream";
import { type AgentConnector, NotSentError } from "./agents.js";
import { type AttemptMonitor } from "./attemptmonitors.js";
import { type Job, remainingMs, type ResponseEvent } from "./jobs.js";
import { type AttemptResult, type ResponseReader } from "./responsereaders.js";

const cancelTimeoutMs = 1000;

export interface AttemptPlan {
    readonly requestId: string;
    readonly attempt: number;
    readonly replica: Pick<RoutedReplica, "upstream" | "url" | "incarnation" | "item" | "sequence">;
    /** Attaches to an attempt that the agent already knows instead of starting one. */
    readonly attach: boolean;
}

export class AttemptRunner {
    public constructor(
        private readonly agents: AgentConnector,
        private readonly monitor: AttemptMonitor,
        private readonly router: Router,
        private readonly entry: string,
    ) {}

    /** Runs the attempt, or resumes it at the reader's offset, and yields what the client has not yet received. */
    public async *run(
        job: Job,
        plan: AttemptPlan,
        reader: ResponseReader,
    ): AsyncGenerator<ResponseEvent, AttemptResult> {
        const { upstream, incarnation } = plan.replica;
        this.router.loads.started(upstream);
        this.router.ejections.sent(upstream);
        this.router.availability.sent(incarnation);
        const result: { value: AttemptResult; } = {
            value: { tag: "lost", message: "the connection ended" },
        };
        try {
            yield* this.monitor.run(
                upstream,
                incarnation,
                leaseLost => this.receiveResponse(job, plan, reader, leaseLost, result),
            );
        }
        finally {
            this.router.loads.ended(upstream);
            this.cancelIfDisconnected(job, plan);
        }
        this.updateAvailability(incarnation, result.value);
        this.updateEjections(upstream, result.value);
        return result.value;
    }

    private async *receiveResponse(
        job: Job,
        plan: AttemptPlan,
        reader: ResponseReader,
        leaseLost: AbortSignal,
        result: { value: AttemptResult; },
    ): AsyncGenerator<ResponseEvent> {
        const abortController = new AbortController();
        const abort = () => abortController.abort();
        const timer = startFairTimer(abort, remainingMs(job));
        [leaseLost, job.signal].forEach(signal => signal.addEventListener("abort", abort, { once: true }));
        try {
            const chunks = this.agents.connect(plan.replica.url).run(
                this.createRunRequest(job, plan, reader.received),
                abortController.signal,
            );
            for await (const chunk of chunks) {
                yield* reader.read(chunk);
                if (reader.result !== undefined) {
                    result.value = reader.result;
                    return;
                }
            }
        }
        catch (err) {
            if (err instanceof NotSentError && !plan.attach) {
                const refusal = Refusal.UNREACHABLE;
                result.value = { tag: "refused", refusal, revision: 0, message: err.message, restMs: 0 };
                return;
            }
            result.value = {
                tag: "lost",
                message: leaseLost.aborted ? "the agent's lease has run out" : messageOf(err),
            };
        }
        finally {
            timer.cancel();
            [leaseLost, job.signal].forEach(signal => signal.removeEventListener("abort", abort));
        }
    }

    private createRunRequest(job: Job, plan: AttemptPlan, offset: number) {
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
            timeoutMs: remainingMs(job),
            idempotent: job.repeatable,
            offset: BigInt(offset),
            attach,
            entry: this.entry,
            seenReport: replica.sequence,
        });
    }

    private cancelIfDisconnected(job: Job, plan: AttemptPlan): void {
        if (job.signal.aborted && job.repeatable) {
            const { requestId, attempt, replica } = plan;
            const id = { requestId, attempt, incarnation: replica.incarnation, seenReport: replica.sequence };
            this.agents.connect(replica.url).cancel(id, cancelTimeoutMs).catch(() => undefined);
        }
    }

    /** Records availability that the agent reported for its upstream. */
    private updateAvailability(incarnation: string, result: AttemptResult): void {
        const { availability } = this.router;
        if (result.tag === "whole") {
            availability.answered(incarnation);
        }
        else if (result.tag === "refused" && result.refusal === Refusal.LEAVING) {
            availability.markDraining(incarnation);
        }
        else if (result.tag === "refused" && result.restMs > 0) {
            availability.startBackoff(incarnation, result.restMs);
        }
    }

    private updateEjections(upstream: string, result: AttemptResult): void {
        const { ejections } = this.router;
        if (result.tag === "whole") {
            ejections.succeeded(upstream);
        }
        else if (result.tag === "refused" && result.refusal === Refusal.UNREACHABLE) {
            ejections.unreachable(upstream);
        }
        else if (result.tag === "refused") {
            ejections.responded(upstream);
        }
        else if (result.tag === "lost" || result.tag === "broken") {
            ejections.failed(upstream);
        }
    }
}
