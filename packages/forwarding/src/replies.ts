/** Final answers of the entry, and what logs and metrics tell of a request. */
import { type EventLog, type Metrics } from "@winchpath/core";
import { type FleetView } from "@winchpath/fleet";
import { type ServerResponse } from "node:http";
import { OwnAnswer, writeOwnAnswer } from "./answers.js";
import { type HeldAnswer, writeHeldAnswer } from "./heldanswers.js";
import { ageMs, type Job } from "./jobs.js";

export interface ReplyParts {
    readonly view: Pick<FleetView<unknown>, "version" | "ageMs">;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Whether the process is stopping: answers tell callers to close their connections. */
    readonly stopping: () => boolean;
    /** Requests that wait for an upstream. */
    readonly waiting: () => number;
}

type Values = Readonly<Record<string, unknown>>;

export class Replies {
    public constructor(private readonly parts: ReplyParts) {}

    /** Hands on an upstream's answer that was read whole and is no success. */
    public handOn(job: Job, res: ServerResponse, answer: HeldAnswer): void {
        if (job.answerStarted) {
            this.cut(job, res);
            return;
        }
        this.count(job, "failure");
        writeHeldAnswer(res, answer, this.parts.stopping());
    }

    /** Gives a final answer of our own; where part of an answer is out already, ends the connection instead. */
    public answer(job: Job, res: ServerResponse, answer: OwnAnswer, retryAfterMs?: number, details: Values = {}): void {
        if (job.answerStarted) {
            this.cut(job, res);
            return;
        }
        this.count(job, answer.reason);
        this.tell(job, "own-answer", {
            status: answer.status,
            reason: answer.reason,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            ...this.beliefs(),
            ...details,
        });
        // An entry that can't tell whose keys hold sends callers to others.
        const close = this.parts.stopping() || answer === OwnAnswer.unconfirmed;
        writeOwnAnswer(res, answer, { retryAfterMs, close });
    }

    public count(job: Job, outcome: string): void {
        this.parts.metrics.count("requests_total", { route: job.route.name, outcome });
        this.parts.metrics.histogram("request", { route: job.route.name, outcome }).record(ageMs(job));
    }

    /** One line of the log; what failed is left out last. */
    public tell(job: Job, what: string, values: Values): void {
        const { model, adapter } = job.facts;
        const failed = what !== "attempt" || values.outcome !== "answered";
        const line = {
            request: job.id,
            route: job.route.name,
            account: job.grant?.account,
            model: model === "" ? undefined : model,
            adapter: adapter === "" ? undefined : adapter,
            ageMs: Math.round(ageMs(job)),
            ...values,
        };
        if (failed) {
            this.parts.log.warn(`request.${what}`, line);
        }
        else {
            this.parts.log.info(`request.${what}`, line);
        }
    }

    /** The rest of an answer does not come. */
    private cut(job: Job, res: ServerResponse): void {
        this.count(job, "cut");
        this.tell(job, "cut", this.beliefs());
        res.destroy();
    }

    private beliefs(): Values {
        const { view, waiting } = this.parts;
        return { configuration: view.version, viewAgeMs: Math.round(view.ageMs), waiting: waiting() };
    }
}
