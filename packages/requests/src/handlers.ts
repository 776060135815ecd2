/** Runs parsed client requests against the agents. */
import { type Metrics } from "@winchpath/core";
import { type RetryBudget } from "@winchpath/retries";
import { type Router } from "@winchpath/routing";
import { type Timeline } from "@winchpath/timeline";
import { type Registrar } from "@winchpath/upstream";
import { type AgentConnector } from "./agents.js";
import { AttemptMonitor } from "./attemptmonitors.js";
import { AttemptRunner } from "./attempts.js";
import { DemandMeter } from "./demandmeters.js";
import { Execution } from "./executions.js";
import { type ClaimLog, IdempotentExecution, type IdempotentExecutionDependencies } from "./idempotentexecutions.js";
import { type Job, type ResponseEvent } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { type RequestQuarantine } from "./requestquarantines.js";
import { TargetQueues } from "./targetqueues.js";

const claimTimeoutMs = 5000;
const defaultJoinTimeoutMs = 500;
/** Records one in this many successful requests in the timeline. */
const timelineSampleInterval = 20;

export interface RequestHandlerDependencies {
    readonly entry: string;
    readonly agents: AgentConnector;
    readonly router: Router;
    readonly registrar: Registrar;
    readonly log: ClaimLog;
    readonly quarantine: RequestQuarantine;
    readonly timeline: Timeline;
    readonly metrics: Metrics;
    readonly queueLimit: number;
    readonly retryBudget: RetryBudget;
    readonly claimWindowMs: number;
    /** How long a duplicate waits for the claimed attempt to be sent; 500 ms by default. */
    readonly joinTimeoutMs?: number;
}

export class RequestHandler {
    public readonly meter = new DemandMeter();
    private readonly attemptMonitor: AttemptMonitor;
    private readonly queues: TargetQueues;
    private readonly executionDependencies: IdempotentExecutionDependencies;
    private runningCount = 0;
    private completedCount = 0;
    private stopping = false;

    public constructor(private readonly dependencies: RequestHandlerDependencies) {
        const { agents, router, entry, timeline, metrics } = dependencies;
        this.attemptMonitor = new AttemptMonitor(dependencies.registrar);
        this.queues = new TargetQueues(router, dependencies.queueLimit);
        this.executionDependencies = {
            agents,
            attempts: new AttemptRunner(agents, this.attemptMonitor, router, entry),
            queues: this.queues,
            budget: dependencies.retryBudget,
            quarantine: dependencies.quarantine,
            timeline,
            metrics,
            log: dependencies.log,
            windowMs: dependencies.claimWindowMs,
            claimTimeoutMs,
            joinTimeoutMs: dependencies.joinTimeoutMs ?? defaultJoinTimeoutMs,
        };
    }

    /** Number of requests in progress, queued ones included. */
    public get running(): number {
        return this.runningCount;
    }

    /** Call when upstreams have changed: aborts lost attempts and dispatches queued requests. */
    public upstreamsChanged(): void {
        this.attemptMonitor.abortLostAttempts();
        this.queues.dispatch();
    }

    /** Rejects new and queued requests; running ones continue. */
    public close(): void {
        this.stopping = true;
        this.queues.close();
    }

    /** Yields the complete response; throws a `RequestFailure` otherwise. */
    public async *handle(job: Job): AsyncGenerator<ResponseEvent> {
        if (this.stopping) {
            throw new RequestFailure(ProblemCode.stopping, "not-run", "the entry is stopping", 1000);
        }
        const startedAt = performance.now();
        let started = false;
        let outcome = "caller-left";
        this.runningCount += 1;
        this.meter.arrived(job.demandName);
        try {
            for await (const event of this.execute(job)) {
                if (!started) {
                    started = true;
                    this.meter.started(job.demandName);
                    this.dependencies.metrics.histogram("first_byte", { resource: job.demandName }).record(
                        performance.now() - startedAt,
                    );
                }
                yield event;
            }
            outcome = "whole";
        }
        catch (err) {
            outcome = err instanceof RequestFailure ? err.outcome : "error";
            this.recordFailure(job, err);
            throw err;
        }
        finally {
            this.runningCount -= 1;
            this.meter.ended(job.demandName, started);
            this.recordCompletion(job, outcome, performance.now() - startedAt);
        }
    }

    private execute(job: Job): AsyncGenerator<ResponseEvent> {
        return job.idempotencyKey === undefined
            ? new Execution(this.executionDependencies, job).run()
            : new IdempotentExecution(this.executionDependencies, job, `${job.resource}/${job.idempotencyKey}`).run();
    }

    private recordFailure(job: Job, err: unknown): void {
        const detail = err instanceof RequestFailure ? err.message : String(err);
        this.dependencies.timeline.record("request.failed", {
            requestId: job.requestId,
            resource: job.resource,
            detail,
        });
    }

    private recordCompletion(job: Job, outcome: string, ms: number): void {
        this.dependencies.metrics.count("requests_total", { resource: job.demandName, outcome });
        this.dependencies.metrics.histogram("request", { resource: job.demandName }).record(ms);
        if (outcome === "whole") {
            this.completedCount += 1;
            if (this.completedCount % timelineSampleInterval === 1) {
                const detail = `whole after ${ms.toFixed(1)} ms`;
                this.dependencies.timeline.record("request.answered", {
                    requestId: job.requestId,
                    resource: job.resource,
                    detail,
                });
            }
        }
        this.queues.dispatch();
    }
}
