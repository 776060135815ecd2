/** Runs one request over as many attempts as it takes and may have. */
import { type Metrics, sleep, steadyNow } from "@winchpath/core";
import { maxCrashesPerRequest } from "@winchpath/quarantine";
import { type RoutedReplica } from "@winchpath/routing";
import { type Timeline } from "@winchpath/timeline";
import { Refusal } from "@winchpath/upstream";
import { type AgentConnector, fenceAttempt, hasAnswer, neverRan } from "./agents.js";
import { type AttemptPlan, type Attempts } from "./attempts.js";
import { type RetryBudget } from "./budgets.js";
import { type AnswerEvent, type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { Progress } from "./progress.js";
import { type RequestQuarantine } from "./quarantines.js";
import { type Queues } from "./queues.js";
import { AnswerReader, type AttemptEnd } from "./readers.js";

const maxAttempts = 8;
const maxResumes = 3;
const fenceTimeoutMs = 1000;
/** Pause before a stale entry asks again. */
const staleRetryMs = 50;
const retryAfterMs = 1000;

/** What every execution uses. */
export interface ExecutionParts {
    readonly agents: AgentConnector;
    readonly attempts: Attempts;
    readonly queues: Queues;
    readonly budget: RetryBudget;
    readonly quarantine: RequestQuarantine;
    readonly timeline: Timeline;
    readonly metrics: Metrics;
}

/** What is certain about an attempt that did not end whole. */
export type Verdict = "never" | "answer" | "unknown";

export class Execution {
    public readonly progress = new Progress();
    private readonly tried = new Map<string, bigint>();
    private attempt = 0;
    private mayHaveRun = false;
    /** Upstreams that ended under it. */
    private upstreamEnds = 0;

    public constructor(private readonly parts: ExecutionParts, private readonly job: Job) {}

    /** The whole answer; throws a `RequestFailure` where there is none. */
    public async *run(): AsyncGenerator<AnswerEvent> {
        this.parts.budget.earn();
        while (this.attempt < maxAttempts) {
            const replica = await this.admit();
            this.attempt += 1;
            const plan = {
                requestId: this.job.requestId,
                attempt: this.attempt,
                replica,
                attach: false,
                resume: false,
            };
            const end = yield* this.attemptAndResume(plan);
            if (end.tag === "whole") {
                return;
            }
            await this.prepareRetry(replica, end);
        }
        throw this.failure(ProblemCode.upstreamLost, `${maxAttempts} attempts failed`);
    }

    /** Makes an attempt; where only the way to its answer was lost, goes on with the same one. */
    public async *attemptAndResume(plan: AttemptPlan): AsyncGenerator<AnswerEvent, AttemptEnd> {
        const { queues, quarantine } = this.parts;
        const startedAt = Date.now();
        const sentAt = steadyNow();
        const end = yield* this.attemptWhileHeard(plan);
        if (end.tag === "whole") {
            queues.of(this.job.resource).noteService(Date.now() - startedAt);
            quarantine.succeeded(this.job);
        }
        else if (end.tag === "broken" && end.upstreamEnd !== "") {
            quarantine.lost(this.job, { upstreamEnd: end.upstreamEnd, sentAt });
        }
        return end;
    }

    private async *attemptWhileHeard(plan: AttemptPlan): AsyncGenerator<AnswerEvent, AttemptEnd> {
        const { attempts } = this.parts;
        const reader = new AnswerReader(this.job, this.progress);
        let end = yield* attempts.make(this.job, plan, reader);
        for (let resumes = 0; end.tag === "lost" && resumes < maxResumes && !this.isOver(); resumes++) {
            const verdict = await this.verdictOn(plan);
            this.parts.timeline.record("request.attempt-lost", {
                requestId: plan.requestId,
                resource: this.job.resource,
                detail: `attempt=${plan.attempt} at ${plan.replica.upstream}: ${end.message}; ${verdict}`,
            });
            if (verdict === "never") {
                return { tag: "refused", refusal: Refusal.FENCED, revision: 0, message: "it never began", restMs: 0 };
            }
            if (verdict === "unknown") {
                return end;
            }
            end = yield* attempts.make(this.job, { ...plan, attach: true }, reader);
            if (end.tag === "refused") {
                // It ran, but its answer is not to be had any more.
                end = { tag: "lost", message: end.message };
                break;
            }
        }
        return end;
    }

    /** Asks the agent to settle the attempt: it answers for it, or never begins it. */
    public async verdictOn({ requestId, attempt, replica }: AttemptPlan): Promise<Verdict> {
        const agent = this.parts.agents.connect(replica.url);
        const id = { requestId, attempt, incarnation: replica.incarnation, seenReport: replica.sequence };
        const outcome = await fenceAttempt(agent, id, fenceTimeoutMs);
        return neverRan(outcome) ? "never" : hasAnswer(outcome) ? "answer" : "unknown";
    }

    /** A replica that has not failed the request, or was heard since it did. */
    public async admit(): Promise<RoutedReplica> {
        const { job, tried } = this;
        this.refuseIfBarred();
        try {
            const replica = await this.parts.queues.of(job.resource).admit(job, tried);
            // It may have become known while this one waited.
            this.refuseIfBarred();
            return replica;
        }
        catch (err) {
            if (err instanceof RequestFailure && this.mayHaveRun) {
                throw new RequestFailure(err.code, "unknown", err.detail, err.retryAfterMs);
            }
            throw err;
        }
    }

    /** Returns where the request may be tried elsewhere; throws its final failure otherwise. */
    public async prepareRetry(replica: RoutedReplica, end: Exclude<AttemptEnd, { tag: "whole"; }>): Promise<void> {
        const { job } = this;
        this.mayHaveRun ||= end.tag !== "refused";
        if (job.signal.aborted) {
            throw this.failure(ProblemCode.callerLeft, "the caller left");
        }
        if (Date.now() >= job.deadline) {
            throw this.failure(ProblemCode.deadline, detailOf(end));
        }
        if (end.tag === "different") {
            throw this.failure(ProblemCode.upstreamLost, "the answer broke off, and another attempt began otherwise");
        }
        const isLost = end.tag === "broken" && end.upstreamEnd !== "";
        this.upstreamEnds += isLost ? 1 : 0;
        if (isLost && (this.upstreamEnds >= maxCrashesPerRequest || this.parts.quarantine.isSuspected(job))) {
            throw this.failure(ProblemCode.upstreamLost, "upstreams ended under this request before");
        }
        if (end.tag !== "refused" && !job.repeatable) {
            throw this.failure(ProblemCode.upstreamLost, detailOf(end));
        }
        if (end.tag === "refused" && end.refusal === Refusal.STALE_REVISION) {
            await this.catchUp(end.revision);
            return;
        }
        this.tried.set(replica.upstream, replica.sequence);
        if (!this.parts.budget.spend()) {
            throw this.failure(ProblemCode.overloaded, "no retries are left in the budget", retryAfterMs);
        }
        this.parts.metrics.count("retries_total", { resource: job.resource });
    }

    private refuseIfBarred(): void {
        const refusal = this.parts.quarantine.refusal(this.job, this.mayHaveRun);
        if (refusal !== undefined) {
            throw refusal;
        }
    }

    /** A failure with the outcome that is certain. */
    public failure(code: ProblemCode, detail: string, retryMs?: number): RequestFailure {
        return new RequestFailure(code, this.mayHaveRun ? "unknown" : "not-run", detail, retryMs);
    }

    /** The agent knows a newer revision: this entry has to hear of it first. */
    private async catchUp(revision: number): Promise<void> {
        while (this.job.revision() < revision && !this.isOver()) {
            await sleep(staleRetryMs, this.job.signal);
        }
    }

    private isOver(): boolean {
        return this.job.signal.aborted || Date.now() >= this.job.deadline;
    }
}

function detailOf(end: Exclude<AttemptEnd, { tag: "whole"; }>): string {
    return end.tag === "different" ? "the answer began otherwise" : end.message;
}
