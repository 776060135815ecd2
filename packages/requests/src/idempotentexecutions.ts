/** Runs a non-repeatable request with an idempotency key: the key is claimed in the replicated log before sending. */
import { create } from "@bufbuild/protobuf";
import { messageOf, newId, sleep } from "@winchpath/core";
import { type RoutedReplica } from "@winchpath/routing";
import { type Header, HeaderSchema, Refusal } from "@winchpath/upstream";
import { type AttemptPlan } from "./attempts.js";
import { Execution, type ExecutionDependencies } from "./executions.js";
import { type Job, type ResponseEvent } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { type AttemptResult } from "./responsereaders.js";
import { type Claim, type ClaimCommand, type ClaimResult, type StoredResponse } from "./schemas.js";

/** Responses with larger bodies are not stored with the claim. */
const maxStoredBodyBytes = 8 * 1024;
const maxClaimSteps = 8;
const retryAfterMs = 1000;
const attachRetryMs = 20;

/** The part of the control log that claims need. */
export interface ClaimLog {
    /** Commits a command and returns its result; rejects if the commit is not confirmed in time. */
    propose(command: ClaimCommand, timeoutMs: number): Promise<ClaimResult>;
}

export interface IdempotentExecutionDependencies extends ExecutionDependencies {
    readonly log: ClaimLog;
    /** Lifetime of a claim, in milliseconds. */
    readonly windowMs: number;
    /** Timeout of one log write, in milliseconds. */
    readonly claimTimeoutMs: number;
    /** How long a duplicate waits for the claimed attempt to be sent, in milliseconds. */
    readonly joinTimeoutMs: number;
}

/** Result of the latest claim command, or "whole" once the client has the complete response. */
type ClaimStep = ClaimResult | { readonly tag: "whole"; };

export class IdempotentExecution {
    private readonly execution: Execution;
    private readonly identity = newId();
    private readonly collector = new ResponseCollector();
    private mayHaveRun = false;
    /** Replica of this entry's latest attempt. */
    private selectedReplica: RoutedReplica | undefined;

    public constructor(
        private readonly dependencies: IdempotentExecutionDependencies,
        private readonly job: Job,
        private readonly key: string,
    ) {
        this.execution = new Execution(dependencies, job);
    }

    /** Yields the complete response, from this entry's attempt or from that of an earlier duplicate. */
    public async *run(): AsyncGenerator<ResponseEvent> {
        this.dependencies.budget.recordRequest();
        try {
            yield* this.runSteps();
        }
        finally {
            this.execution.releaseRetry();
        }
    }

    private async *runSteps(): AsyncGenerator<ResponseEvent> {
        let step: ClaimStep = await this.claim();
        for (let stepCount = 0; stepCount < maxClaimSteps; stepCount++) {
            switch (step.tag) {
                case "whole":
                    return;
                case "mismatch":
                    throw new RequestFailure(
                        ProblemCode.keyReused,
                        "not-run",
                        "the key was used for another request",
                    );
                case "free":
                    step = await this.claim();
                    break;
                case "mine":
                    step = yield* this.runOwnAttempt(step.claim);
                    break;
                case "held":
                    step = yield* this.followAttempt(step.claim);
                    break;
            }
        }
        if (step.tag !== "whole") {
            throw this.failure("others kept taking the request over");
        }
    }

    /** Runs the attempt that is assigned to this entry. */
    private async *runOwnAttempt(claim: Claim): AsyncGenerator<ResponseEvent, ClaimStep> {
        const result = yield* this.attempt(createPlan(claim, this.selectedReplica!));
        if (result.tag === "whole") {
            this.storeResponse(claim);
            return { tag: "whole" };
        }
        if (result.tag === "refused") {
            return this.reassign(claim);
        }
        this.mayHaveRun = true;
        throw this.failure(result.tag === "different" ? "the answer began otherwise" : result.message);
    }

    /** Follows another entry's attempt; takes over only once that attempt is certain never to run. */
    private async *followAttempt(claim: Claim): AsyncGenerator<ResponseEvent, ClaimStep> {
        if (claim.answer !== undefined) {
            yield* storedResponseEvents(claim.answer);
            return { tag: "whole" };
        }
        const plan = { ...createPlan(claim), attach: true };
        const attached = yield* this.attach(plan);
        if (attached.tag === "whole") {
            return attached;
        }
        const status = await this.execution.settleAttempt(plan);
        this.recordEvent("request.joined", `attempt=${claim.attempt} at ${claim.upstream}: ${status}`);
        if (status === "never") {
            return this.reassign(claim);
        }
        this.mayHaveRun = true;
        if (status === "unknown") {
            throw claim.ran
                ? responseNotStored()
                : this.failure("the upstream that had the request does not answer for it");
        }
        const result = yield* this.attempt(plan);
        if (result.tag === "whole") {
            return { tag: "whole" };
        }
        throw result.tag === "refused" || claim.ran
            ? responseNotStored()
            : this.failure(result.tag === "different" ? "the answer began otherwise" : result.message);
    }

    /** Attaches to another entry's attempt; gives that entry some time to send it before it is fenced. */
    private async *attach(plan: AttemptPlan): AsyncGenerator<ResponseEvent, AttemptResult> {
        for (let waitedMs = 0;; waitedMs += attachRetryMs) {
            const result = yield* this.attempt(plan);
            const isUnknown = result.tag === "refused" && result.refusal === Refusal.UNKNOWN_REQUEST;
            if (!isUnknown || waitedMs >= this.dependencies.joinTimeoutMs || this.job.signal.aborted) {
                return result;
            }
            await sleep(attachRetryMs, this.job.signal);
        }
    }

    /** Claims the next attempt after one that never runs; the first entry to propose it wins. */
    private async reassign(claim: Claim): Promise<ClaimStep> {
        try {
            this.selectedReplica = await this.admitRetry();
        }
        catch (err) {
            return this.release(claim, err);
        }
        this.recordEvent("request.passed-on", `attempt=${claim.attempt + 1} to ${this.selectedReplica.upstream}`);
        return this.propose({
            op: "reassign",
            key: this.key,
            fromAttempt: claim.attempt,
            holder: this.holderOf(claim.attempt + 1),
            ...attemptLocation(this.selectedReplica),
        });
    }

    private async admitRetry(): Promise<RoutedReplica> {
        if (this.job.signal.aborted) {
            throw new RequestFailure(ProblemCode.callerLeft, "not-run", "the caller left");
        }
        this.execution.reserveRetry();
        return this.execution.admit();
    }

    /** Releases the claim before failing, so that `not-run` is only reported once no other entry can run the request. */
    private async release(claim: Claim, err: unknown): Promise<ClaimStep> {
        const result = await this.propose({ op: "release", key: this.key, attempt: claim.attempt });
        if (result.tag === "held") {
            return result;
        }
        throw err;
    }

    private async *attempt(plan: AttemptPlan): AsyncGenerator<ResponseEvent, AttemptResult> {
        const events = this.execution.runAttempt(plan);
        for (;;) {
            const { value, done } = await events.next();
            if (done) {
                return value;
            }
            this.collector.add(value);
            yield value;
        }
    }

    private async claim(): Promise<ClaimStep> {
        this.selectedReplica = await this.execution.admit();
        return this.propose({
            op: "claim",
            key: this.key,
            requestId: this.job.requestId,
            fingerprint: this.job.fingerprint,
            holder: this.holderOf(1),
            windowMs: this.dependencies.windowMs,
            ...attemptLocation(this.selectedReplica),
        });
    }

    private async propose(command: ClaimCommand): Promise<ClaimResult> {
        const startedAt = performance.now();
        try {
            return await this.dependencies.log.propose(command, this.dependencies.claimTimeoutMs);
        }
        catch (err) {
            // Nothing was sent under this claim, but an earlier attempt may have run.
            const outcome = this.mayHaveRun ? "unknown" : "not-run";
            throw new RequestFailure(ProblemCode.control, outcome, messageOf(err), retryAfterMs);
        }
        finally {
            this.dependencies.metrics.histogram("claim", { op: command.op }).record(performance.now() - startedAt);
        }
    }

    /** Stores the response with the claim for duplicates that arrive after the agent has dropped it. */
    private storeResponse(claim: Claim): void {
        const response = this.collector.response();
        const command: ClaimCommand = { op: "answer", key: this.key, attempt: claim.attempt, answer: response };
        this.propose(command).catch(err => this.recordEvent("request.answer-not-kept", messageOf(err)));
    }

    /** Unique per attempt, so that the claim of an earlier attempt is not mistaken for this one's. */
    private holderOf(attempt: number): string {
        return `${this.identity}.${attempt}`;
    }

    private recordEvent(kind: string, detail: string): void {
        this.dependencies.timeline.record(kind, { requestId: this.job.requestId, resource: this.job.resource, detail });
    }

    private failure(detail: string): RequestFailure {
        return new RequestFailure(ProblemCode.upstreamLost, this.mayHaveRun ? "unknown" : "not-run", detail);
    }
}

/** Buffers a response up to the storage limit. */
class ResponseCollector {
    private status = 0;
    private headers: readonly Header[] = [];
    private body: Uint8Array[] = [];
    private bytes = 0;

    public add(event: ResponseEvent): void {
        if (event.tag === "head") {
            this.status = event.status;
            this.headers = event.headers;
            return;
        }
        this.bytes += event.bytes.length;
        if (this.bytes <= maxStoredBodyBytes) {
            this.body.push(event.bytes);
        }
    }

    /** The buffered response, or undefined if it is too large. */
    public response(): StoredResponse | undefined {
        if (this.bytes > maxStoredBodyBytes) {
            return undefined;
        }
        const headers = this.headers.map(({ name, value }): [string, string] => [name, value]);
        return { status: this.status, headers, body: Buffer.concat(this.body).toString("base64") };
    }
}

function* storedResponseEvents(answer: StoredResponse): Generator<ResponseEvent> {
    const headers = answer.headers.map(([name, value]) => create(HeaderSchema, { name, value }));
    yield { tag: "head", status: answer.status, headers };
    yield { tag: "body", bytes: Buffer.from(answer.body, "base64") };
}

function attemptLocation({ upstream, url, incarnation, sequence }: RoutedReplica) {
    return { upstream, url, incarnation, seenReport: Number(sequence) };
}

function responseNotStored(): RequestFailure {
    return new RequestFailure(
        ProblemCode.answerLost,
        "ran",
        "it ran before, and its answer is not kept any more",
    );
}

/** Plan of the claimed attempt; `selectedReplica` is set for this entry's own attempts. */
function createPlan(claim: Claim, selectedReplica?: RoutedReplica): AttemptPlan {
    const { requestId, attempt, upstream, url, incarnation, seenReport } = claim;
    const replica = { upstream, url, incarnation, item: selectedReplica?.item ?? "", sequence: BigInt(seenReport) };
    return { requestId, attempt, replica, attach: false };
}
