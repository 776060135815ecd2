/** Runs a request that may not be repeated and that carries an idempotency key: it is claimed before it is sent. */
import { create } from "@bufbuild/protobuf";
import { messageOf, newIdentity, sleep } from "@winchpath/core";
import { type RoutedReplica } from "@winchpath/routing";
import { type Header, HeaderSchema, Refusal } from "@winchpath/upstream";
import { type AttemptPlan } from "./attempts.js";
import { Execution, type ExecutionParts } from "./executions.js";
import { type AnswerEvent, type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";
import { type AttemptEnd } from "./readers.js";
import { type Claim, type ClaimCommand, type ClaimResult, type KeptAnswer } from "./schemas.js";

/** Bodies up to this size are kept with the claim. */
const maxKeptBytes = 8 * 1024;
const maxRounds = 8;
const controlRetryMs = 1000;
const joinRetryMs = 20;

/** The control log, as this slice needs it. */
export interface ClaimLog {
    /** Commits a command and gives its result; fails when it is not known to be committed in time. */
    propose(command: ClaimCommand, timeoutMs: number): Promise<ClaimResult>;
}

export interface KeyedParts extends ExecutionParts {
    readonly log: ClaimLog;
    /** How long a claim lasts, in milliseconds. */
    readonly windowMs: number;
    /** Time that one write of a claim may take, in milliseconds. */
    readonly claimTimeoutMs: number;
    /** How long a copy waits for the claimed attempt to be sent, in milliseconds. */
    readonly joinPatienceMs: number;
}

/** What the log says next, or that the caller has the whole answer. */
type Step = ClaimResult | { readonly tag: "whole"; };

export class KeyedExecution {
    private readonly execution: Execution;
    private readonly identity = newIdentity();
    private readonly collector = new AnswerCollector();
    private mayHaveRun = false;
    /** The replica of this entry's own newest attempt. */
    private chosen: RoutedReplica | undefined;

    public constructor(private readonly parts: KeyedParts, private readonly job: Job, private readonly key: string) {
        this.execution = new Execution(parts, job);
    }

    /** The whole answer, of this entry's run or of the one that came first. */
    public async *run(): AsyncGenerator<AnswerEvent> {
        this.parts.budget.earn();
        let step: Step = await this.claim();
        for (let round = 0; round < maxRounds; round++) {
            switch (step.tag) {
                case "whole":
                    return;
                case "mismatch":
                    throw new RequestFailure(ProblemCode.keyReused, "not-run", "the key was used for another request");
                case "free":
                    step = await this.claim();
                    break;
                case "mine":
                    step = yield* this.runMine(step.claim);
                    break;
                case "held":
                    step = yield* this.takePart(step.claim);
                    break;
            }
        }
        if (step.tag !== "whole") {
            throw this.failure("others kept taking the request over");
        }
    }

    /** Runs the attempt that the log has given to this entry. */
    private async *runMine(claim: Claim): AsyncGenerator<AnswerEvent, Step> {
        const end = yield* this.attempt(planOf(claim, this.chosen!));
        if (end.tag === "whole") {
            this.keepAnswer(claim);
            return { tag: "whole" };
        }
        if (end.tag === "refused") {
            return this.passOn(claim);
        }
        this.mayHaveRun = true;
        throw this.failure(end.tag === "different" ? "the answer began otherwise" : end.message);
    }

    /** Takes part in another's attempt; takes the request over only where that attempt is settled never to run. */
    private async *takePart(claim: Claim): AsyncGenerator<AnswerEvent, Step> {
        if (claim.answer !== undefined) {
            yield* keptEvents(claim.answer);
            return { tag: "whole" };
        }
        const plan = { ...planOf(claim), attach: true };
        const joined = yield* this.join(plan);
        if (joined.tag === "whole") {
            return joined;
        }
        const verdict = await this.execution.verdictOn(plan);
        this.note("request.joined", `attempt=${claim.attempt} at ${claim.upstream}: ${verdict}`);
        if (verdict === "never") {
            return this.passOn(claim);
        }
        this.mayHaveRun = true;
        if (verdict === "unknown") {
            throw claim.ran
                ? answerNotKept()
                : this.failure("the upstream that had the request does not answer for it");
        }
        const end = yield* this.attempt(plan);
        if (end.tag === "whole") {
            return { tag: "whole" };
        }
        throw end.tag === "refused" || claim.ran
            ? answerNotKept()
            : this.failure(end.tag === "different" ? "the answer began otherwise" : end.message);
    }

    /** Attaches to another's attempt. Its holder is given a little time to send it before it would be fenced off. */
    private async *join(plan: AttemptPlan): AsyncGenerator<AnswerEvent, AttemptEnd> {
        for (let waitedMs = 0;; waitedMs += joinRetryMs) {
            const end = yield* this.attempt(plan);
            const notThere = end.tag === "refused" && end.refusal === Refusal.UNKNOWN_REQUEST;
            if (!notThere || waitedMs >= this.parts.joinPatienceMs || this.job.signal.aborted) {
                return end;
            }
            await sleep(joinRetryMs, this.job.signal);
        }
    }

    /** The claimed attempt will never run: the next one goes to whoever asks first. */
    private async passOn(claim: Claim): Promise<Step> {
        try {
            this.chosen = await this.admitAgain();
        }
        catch (err) {
            return this.giveUp(claim, err);
        }
        this.note("request.passed-on", `attempt=${claim.attempt + 1} to ${this.chosen.upstream}`);
        return this.propose({
            op: "reassign",
            key: this.key,
            fromAttempt: claim.attempt,
            holder: this.holderOf(claim.attempt + 1),
            ...placeOf(this.chosen),
        });
    }

    private async admitAgain(): Promise<RoutedReplica> {
        if (this.job.signal.aborted) {
            throw new RequestFailure(ProblemCode.callerLeft, "not-run", "the caller left");
        }
        if (!this.parts.budget.spend()) {
            throw new RequestFailure(
                ProblemCode.overloaded,
                "not-run",
                "no retries are left in the budget",
                controlRetryMs,
            );
        }
        return this.execution.admit();
    }

    /** Says `not-run` only once no other entry can run the request on this claim. */
    private async giveUp(claim: Claim, err: unknown): Promise<Step> {
        const released = await this.propose({ op: "release", key: this.key, attempt: claim.attempt });
        if (released.tag === "held") {
            return released;
        }
        throw err;
    }

    private async *attempt(plan: AttemptPlan): AsyncGenerator<AnswerEvent, AttemptEnd> {
        const events = this.execution.attemptAndResume(plan);
        for (;;) {
            const { value, done } = await events.next();
            if (done) {
                return value;
            }
            this.collector.add(value);
            yield value;
        }
    }

    private async claim(): Promise<Step> {
        this.chosen = await this.execution.admit();
        return this.propose({
            op: "claim",
            key: this.key,
            requestId: this.job.requestId,
            fingerprint: this.job.fingerprint,
            holder: this.holderOf(1),
            windowMs: this.parts.windowMs,
            ...placeOf(this.chosen),
        });
    }

    private async propose(command: ClaimCommand): Promise<ClaimResult> {
        const startedAt = performance.now();
        try {
            return await this.parts.log.propose(command, this.parts.claimTimeoutMs);
        }
        catch (err) {
            // Nothing was sent on this claim; but an earlier attempt may have been.
            const outcome = this.mayHaveRun ? "unknown" : "not-run";
            throw new RequestFailure(ProblemCode.control, outcome, messageOf(err), controlRetryMs);
        }
        finally {
            this.parts.metrics.histogram("claim", { op: command.op }).record(performance.now() - startedAt);
        }
    }

    /** Copies that come after the agent has forgotten the answer find it with the claim. */
    private keepAnswer(claim: Claim): void {
        const answer = this.collector.answer();
        const command: ClaimCommand = { op: "answer", key: this.key, attempt: claim.attempt, answer };
        this.propose(command).catch(err => this.note("request.answer-not-kept", messageOf(err)));
    }

    /** New for each attempt, so that the log's answer to an earlier one is not taken for this one's. */
    private holderOf(attempt: number): string {
        return `${this.identity}.${attempt}`;
    }

    private note(kind: string, detail: string): void {
        this.parts.timeline.record(kind, { requestId: this.job.requestId, resource: this.job.resource, detail });
    }

    private failure(detail: string): RequestFailure {
        return new RequestFailure(ProblemCode.upstreamLost, this.mayHaveRun ? "unknown" : "not-run", detail);
    }
}

/** Collects a small answer as it passes. */
class AnswerCollector {
    private status = 0;
    private headers: readonly Header[] = [];
    private body: Uint8Array[] = [];
    private bytes = 0;

    public add(event: AnswerEvent): void {
        if (event.tag === "head") {
            this.status = event.status;
            this.headers = event.headers;
            return;
        }
        this.bytes += event.bytes.length;
        if (this.bytes <= maxKeptBytes) {
            this.body.push(event.bytes);
        }
    }

    /** The answer, unless it is too large to keep. */
    public answer(): KeptAnswer | undefined {
        if (this.bytes > maxKeptBytes) {
            return undefined;
        }
        const headers = this.headers.map(({ name, value }): [string, string] => [name, value]);
        return { status: this.status, headers, body: Buffer.concat(this.body).toString("base64") };
    }
}

function* keptEvents(answer: KeptAnswer): Generator<AnswerEvent> {
    const headers = answer.headers.map(([name, value]) => create(HeaderSchema, { name, value }));
    yield { tag: "head", status: answer.status, headers };
    yield { tag: "body", bytes: Buffer.from(answer.body, "base64") };
}

function placeOf({ upstream, url, incarnation, sequence }: RoutedReplica) {
    return { upstream, url, incarnation, seenReport: Number(sequence) };
}

function answerNotKept(): RequestFailure {
    return new RequestFailure(ProblemCode.answerLost, "ran", "it ran before, and its answer is not kept any more");
}

/** The claimed attempt; `chosen` is this entry's own choice where the attempt is its own. */
function planOf(claim: Claim, chosen?: RoutedReplica): AttemptPlan {
    const { requestId, attempt, upstream, url, incarnation, seenReport } = claim;
    const replica = { upstream, url, incarnation, item: chosen?.item ?? "", sequence: BigInt(seenReport) };
    return { requestId, attempt, replica, attach: false };
}
