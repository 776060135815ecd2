/** Runs a request, with retries on other replicas. */
import { type Metrics, sleep, steadyNow } from "@winchpath/core";
import { maxCrashesPerRequest } from "@winchpath/quarantine";
import { type RetryBudget, type RetryReservation } from "@winchpath/retries";
import { type RoutedReplica } from "@winchpath/routing";
import { type Timeline } from "@winchpath/timeline";
import { Refusal } from "@winchpath/upstream";
import { type AgentConnector, fenceAttempt, hasResponse, neverRan } from "./agents.js";
import { type AttemptPlan, type AttemptRunner } from "./attempts.js";
import { type Job, type ResponseEvent } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { type RequestQuarantine } from "./requestquarantines.js";
import { ResponseProgress } from "./responseprogress.js";
import { type AttemptResult, ResponseReader } from "./responsereaders.js";
import { type TargetQueues } from "./targetqueues.js";

const maxAttempts = 8;
const maxResumes = 3;
const fenceTimeoutMs = 1000;
/** Interval at which a stale entry checks for the newer revision. */
const revisionPollMs = 50;
const retryAfterMs = 1000;

export interface ExecutionDependencies {
    readonly agents: AgentConnector;
    readonly attempts: AttemptRunner;
    readonly queues: TargetQueues;
    readonly budget: RetryBudget;
    readonly quarantine: RequestQuarantine;
    readonly timeline: Timeline;
    readonly metrics: Metrics;
}

/** What is known of an attempt whose response is incomplete: it never runs, the agent has the response, or unknown. */
export type AttemptStatus = "never" | "answer" | "unknown";

export class Execution {
    public readonly progress = new ResponseProgress();
    private readonly attemptedReplicas = new Map<string, bigint>();
    private attempt = 0;
    private mayHaveRun = false;
    /** The retry that was decided and isn't sent yet. */
    private retry: RetryReservation | undefined;
    /** Number of upstreams that crashed while running this request. */
    private upstreamCrashes = 0;

    public constructor(private readonly dependencies: ExecutionDependencies, private readonly job: Job) {}

    /** Yields the complete response; throws a `RequestFailure` otherwise. */
    public async *run(): AsyncGenerator<ResponseEvent> {
        this.dependencies.budget.recordRequest();
        try {
            yield* this.runAttempts();
        }
        finally {
            this.releaseRetry();
        }
    }

    private async *runAttempts(): AsyncGenerator<ResponseEvent> {
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
            const result = yield* this.runAttempt(plan);
            if (result.tag === "whole") {
                return;
            }
            await this.prepareRetry(replica, result);
        }
        throw this.failure(ProblemCode.upstreamLost, `${maxAttempts} attempts failed`);
    }

    /** Runs an attempt, resumes it after lost connections, and reports its result to the queue and the quarantine. */
    public async *runAttempt(plan: AttemptPlan): AsyncGenerator<ResponseEvent, AttemptResult> {
        const { queues, quarantine } = this.dependencies;
        if (!plan.attach && !this.sendRetry()) {
            return { tag: "refused", refusal: Refusal.FENCED, revision: 0, message: "it waited too long", restMs: 0 };
        }
        const startedAt = Date.now();
        const sentAt = steadyNow();
        const result = yield* this.attemptWithResumes(plan);
        if (result.tag === "whole") {
            queues.forTarget(this.job.resource).recordServiceTime(Date.now() - startedAt);
            quarantine.recordSuccess(this.job);
        }
        else if (result.tag === "broken" && result.upstreamEnd !== "") {
            quarantine.recordCrash(this.job, { upstreamEnd: result.upstreamEnd, sentAt });
        }
        quarantine.endTrial(this.job);
        return result;
    }

    private async *attemptWithResumes(plan: AttemptPlan): AsyncGenerator<ResponseEvent, AttemptResult> {
        const { attempts } = this.dependencies;
        const reader = new ResponseReader(this.job, this.progress);
        let result = yield* attempts.run(this.job, plan, reader);
        for (let resumes = 0; result.tag === "lost" && resumes < maxResumes && !this.isAbortedOrExpired(); resumes++) {
            const status = await this.settleAttempt(plan);
            this.dependencies.timeline.record("request.attempt-lost", {
                requestId: plan.requestId,
                resource: this.job.resource,
                detail: `attempt=${plan.attempt} at ${plan.replica.upstream}: ${result.message}; ${status}`,
            });
            if (status === "never") {
                return {
                    tag: "refused",
                    refusal: Refusal.FENCED,
                    revision: 0,
                    message: "it never began",
                    restMs: 0,
                };
            }
            if (status === "unknown") {
                return result;
            }
            result = yield* attempts.run(this.job, { ...plan, attach: true }, reader);
            if (result.tag === "refused") {
                // The attempt ran, but its response is no longer available.
                result = { tag: "lost", message: result.message };
                break;
            }
        }
        return result;
    }

    /** Fences the attempt: afterwards the agent either has its response or never starts it. */
    public async settleAttempt({ requestId, attempt, replica }: AttemptPlan): Promise<AttemptStatus> {
        const agent = this.dependencies.agents.connect(replica.url);
        const id = { requestId, attempt, incarnation: replica.incarnation, seenReport: replica.sequence };
        const outcome = await fenceAttempt(agent, id, fenceTimeoutMs);
        return neverRan(outcome) ? "never" : hasResponse(outcome) ? "answer" : "unknown";
    }

    /** Waits for a replica that has not failed this request since its latest report. */
    public async admit(): Promise<RoutedReplica> {
        const { job, attemptedReplicas } = this;
        await this.dependencies.quarantine.admit(job, this.upstreamCrashes);
        this.throwIfQuarantined();
        try {
            const replica = await this.dependencies.queues.forTarget(job.resource).admit(job, attemptedReplicas);
            // The request may have been quarantined while it was queued.
            this.throwIfQuarantined();
            return replica;
        }
        catch (err) {
            if (err instanceof RequestFailure && this.mayHaveRun) {
                throw new RequestFailure(err.code, "unknown", err.detail, err.retryAfterMs);
            }
            throw err;
        }
    }

    /** Returns if the request may be retried; throws the final failure otherwise. */
    public async prepareRetry(
        replica: RoutedReplica,
        result: Exclude<AttemptResult, { tag: "whole"; }>,
    ): Promise<void> {
        const { job } = this;
        this.mayHaveRun ||= result.tag !== "refused";
        if (job.signal.aborted) {
            throw this.failure(ProblemCode.callerLeft, "the caller left");
        }
        if (Date.now() >= job.deadline) {
            throw this.failure(ProblemCode.deadline, detailOf(result));
        }
        if (result.tag === "different") {
            throw this.failure(
                ProblemCode.upstreamLost,
                "the answer broke off, and another attempt began otherwise",
            );
        }
        const upstreamCrashed = result.tag === "broken" && result.upstreamEnd !== "";
        this.upstreamCrashes += upstreamCrashed ? 1 : 0;
        if (
            upstreamCrashed
            && (this.upstreamCrashes >= maxCrashesPerRequest || this.dependencies.quarantine.isSuspected(job))
        ) {
            throw this.failure(ProblemCode.upstreamLost, "upstreams ended under this request before");
        }
        if (result.tag !== "refused" && !job.repeatable) {
            throw this.failure(ProblemCode.upstreamLost, detailOf(result));
        }
        if (result.tag === "refused" && result.refusal === Refusal.STALE_REVISION) {
            await this.waitForRevision(result.revision);
            return;
        }
        this.attemptedReplicas.set(replica.upstream, replica.sequence);
        this.reserveRetry();
    }

    /** Reserves a retry; throws the final failure if none is allowed. */
    public reserveRetry(): void {
        const { budget, metrics } = this.dependencies;
        this.retry = budget.reserve();
        if (this.retry === undefined) {
            metrics.count("retries_denied_total", { resource: this.job.resource });
            throw this.failure(ProblemCode.overloaded, "no retries are left in the budget", retryAfterMs);
        }
    }

    /** Returns a retry that was reserved and won't be sent. */
    public releaseRetry(): void {
        if (this.retry !== undefined) {
            this.dependencies.budget.release(this.retry);
            this.retry = undefined;
        }
    }

    /** Counts the retry that is sent now, if it is one; returns false if what allowed it has expired while it waited. */
    private sendRetry(): boolean {
        const { budget, metrics } = this.dependencies;
        if (this.retry === undefined) {
            return true;
        }
        if (!budget.maySend(this.retry)) {
            this.releaseRetry();
            return false;
        }
        const { basis } = budget.send(this.retry);
        this.retry = undefined;
        metrics.count("retries_total", { resource: this.job.resource, basis });
        return true;
    }

    private throwIfQuarantined(): void {
        const refusal = this.dependencies.quarantine.rejectionFor(this.job, this.mayHaveRun);
        if (refusal !== undefined) {
            throw refusal;
        }
    }

    /** Creates a failure whose outcome says whether the request may have run. */
    public failure(code: ProblemCode, detail: string, retryMs?: number): RequestFailure {
        return new RequestFailure(code, this.mayHaveRun ? "unknown" : "not-run", detail, retryMs);
    }

    /** Waits until this entry has received the newer revision that the agent knows. */
    private async waitForRevision(revision: number): Promise<void> {
        while (this.job.revision() < revision && !this.isAbortedOrExpired()) {
            await sleep(revisionPollMs, this.job.signal);
        }
    }

    private isAbortedOrExpired(): boolean {
        return this.job.signal.aborted || Date.now() >= this.job.deadline;
    }
}

function detailOf(result: Exclude<AttemptResult, { tag: "whole"; }>): string {
    return result.tag === "different" ? "the answer began otherwise" : result.message;
}
