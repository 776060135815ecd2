/** Runs jobs: the entry's side of a request between its HTTP form and the agents. */
import { type Metrics } from "@winchpath/core";
import { type Router } from "@winchpath/routing";
import { type Timeline } from "@winchpath/timeline";
import { type Registrar } from "@winchpath/upstream";
import { type AgentConnector } from "./agents.js";
import { Attempts } from "./attempts.js";
import { RetryBudget } from "./budgets.js";
import { Execution } from "./executions.js";
import { type AnswerEvent, type Job } from "./jobs.js";
import { type ClaimLog, KeyedExecution, type KeyedParts } from "./keyed.js";
import { DemandMeter } from "./meters.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { type RequestQuarantine } from "./quarantines.js";
import { Queues } from "./queues.js";
import { AttemptWatch } from "./watches.js";

const claimTimeoutMs = 5000;
const joinPatienceMs = 500;
/** One in so many requests that end well is told on the time line. */
const sampleEvery = 20;

export interface RequestHandlerParts {
    readonly entry: string;
    readonly agents: AgentConnector;
    readonly router: Router;
    readonly registrar: Registrar;
    readonly log: ClaimLog;
    readonly quarantine: RequestQuarantine;
    readonly timeline: Timeline;
    readonly metrics: Metrics;
    readonly queueLimit: number;
    readonly retryShare: number;
    readonly claimWindowMs: number;
    /** How long a copy waits for the claimed attempt to be sent; half a second where absent. */
    readonly joinPatienceMs?: number;
}

export class RequestHandler {
    public readonly meter = new DemandMeter();
    private readonly watch: AttemptWatch;
    private readonly queues: Queues;
    private readonly keyed: KeyedParts;
    private runningCount = 0;
    private handled = 0;
    private stopping = false;

    public constructor(private readonly parts: RequestHandlerParts) {
        const { agents, router, entry, timeline, metrics } = parts;
        this.watch = new AttemptWatch(parts.registrar);
        this.queues = new Queues(router, parts.queueLimit);
        this.keyed = {
            agents,
            attempts: new Attempts(agents, this.watch, router, entry),
            queues: this.queues,
            budget: new RetryBudget(parts.retryShare),
            quarantine: parts.quarantine,
            timeline,
            metrics,
            log: parts.log,
            windowMs: parts.claimWindowMs,
            claimTimeoutMs,
            joinPatienceMs: parts.joinPatienceMs ?? joinPatienceMs,
        };
    }

    /** Requests that this entry has accepted and not yet ended. */
    public get running(): number {
        return this.runningCount;
    }

    /** Upstreams have changed: some attempts may be lost, and some that wait may go on. */
    public upstreamsChanged(): void {
        this.watch.check();
        this.queues.pump();
    }

    /** Takes no new work, and lets those go that only wait. */
    public close(): void {
        this.stopping = true;
        this.queues.close();
    }

    /** The whole answer to a job; throws a `RequestFailure` where there is none. */
    public async *handle(job: Job): AsyncGenerator<AnswerEvent> {
        if (this.stopping) {
            throw new RequestFailure(ProblemCode.stopping, "not-run", "the entry is stopping", 1000);
        }
        const startedAt = performance.now();
        let started = false;
        let outcome = "caller-left";
        this.runningCount += 1;
        this.meter.arrived(job.demandOf);
        try {
            for await (const event of this.execute(job)) {
                if (!started) {
                    started = true;
                    this.meter.started(job.demandOf);
                    this.parts.metrics.histogram("first_byte", { resource: job.demandOf }).record(
                        performance.now() - startedAt,
                    );
                }
                yield event;
            }
            outcome = "whole";
        }
        catch (err) {
            outcome = err instanceof RequestFailure ? err.outcome : "error";
            this.noteFailure(job, err);
            throw err;
        }
        finally {
            this.runningCount -= 1;
            this.meter.ended(job.demandOf, started);
            this.noteEnd(job, outcome, performance.now() - startedAt);
        }
    }

    private execute(job: Job): AsyncGenerator<AnswerEvent> {
        return job.idempotencyKey === undefined
            ? new Execution(this.keyed, job).run()
            : new KeyedExecution(this.keyed, job, `${job.resource}/${job.idempotencyKey}`).run();
    }

    private noteFailure(job: Job, err: unknown): void {
        const detail = err instanceof RequestFailure ? err.message : String(err);
        this.parts.timeline.record("request.failed", { requestId: job.requestId, resource: job.resource, detail });
    }

    private noteEnd(job: Job, outcome: string, ms: number): void {
        this.parts.metrics.count("requests_total", { resource: job.demandOf, outcome });
        this.parts.metrics.histogram("request", { resource: job.demandOf }).record(ms);
        if (outcome === "whole") {
            this.handled += 1;
            if (this.handled % sampleEvery === 1) {
                const detail = `whole after ${ms.toFixed(1)} ms`;
                this.parts.timeline.record("request.answered", {
                    requestId: job.requestId,
                    resource: job.resource,
                    detail,
                });
            }
        }
        this.queues.pump();
    }
}
