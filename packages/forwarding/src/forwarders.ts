/** What happens to a request between its headers and its final answer. */
import { type EventLog, Metrics, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec } from "@winchpath/declarations";
import { type CrashReporter, type DemandMeter, type FleetView, type ItemKey } from "@winchpath/fleet";
import { EjectionBook } from "@winchpath/routing";
import { type ServerResponse } from "node:http";
import { type Admissions, type Refusal } from "./admissions.js";
import { OwnAnswer, writeOwnAnswer } from "./answers.js";
import { attempt, type AttemptOutcome, silentReason, writeHeldAnswer } from "./attempts.js";
import { type RetryBudgetOptions, WindowBudget } from "./budgets.js";
import { type RequestCodec } from "./codecs.js";
import { ageMs, isRepeatable, type Job, leftMs, ownTokensOf, tokensOf, workOf } from "./jobs.js";
import { UpstreamJudge } from "./judges.js";
import { type UpstreamLink } from "./links.js";
import { LinkTable } from "./linktables.js";
import { PaceBook } from "./paces.js";
import { busyRetryMs, leastAttemptMs, Patience, silenceMs } from "./patiences.js";
import { type Choice, Picker } from "./pickers.js";
import { isLost, Quarantine } from "./quarantines.js";
import { WaitingRoom } from "./waitingrooms.js";

/** A request that waits looks this often whether waiting is still of use, in milliseconds. */
const lookAgainMs = 100;
/** When to come back, to another entry, from one that stops. */
const stoppingRetryMs = 50;
/** Upstreams that may decline a request before it is given up. */
const maxDeclined = 3;

export interface ForwarderParts {
    readonly view: FleetView<Configuration>;
    readonly codec: RequestCodec;
    readonly meter: DemandMeter;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly dataCentre: string;
    readonly budget: RetryBudgetOptions;
    readonly admissions: Admissions;
    readonly crashes: Pick<CrashReporter, "lost" | "succeeded">;
    /** Whether the process is stopping: answers tell callers to close their connections. */
    readonly stopping: () => boolean;
    /** Makes one try at an upstream; over the network, where none is given. */
    readonly send?: typeof attempt;
    /** Draws from 0 to 1, to choose between upstreams that are alike; the runtime's own, where none is given. */
    readonly random?: () => number;
}

type Place = { readonly kind: "upstream"; readonly link: UpstreamLink; } | Refusal;

/** Whether the flow goes on with another try. */
type Verdict = "again" | "done";

export class Forwarder {
    private readonly ejections = new EjectionBook();
    private readonly judge: UpstreamJudge;
    private readonly quarantine: Quarantine;
    private readonly links: LinkTable;
    private readonly picker: Picker;
    private readonly paces = new PaceBook();
    private readonly patience: Patience;
    private readonly room = new WaitingRoom<Place>();
    private readonly budgets = new Map<string, WindowBudget>();

    public constructor(private readonly parts: ForwarderParts) {
        this.judge = new UpstreamJudge(this.ejections, parts.meter, parts.log);
        this.quarantine = new Quarantine(parts.view, parts.crashes);
        this.links = new LinkTable(parts.view);
        this.patience = new Patience(parts.view, this.links);
        this.picker = new Picker(this.ejections, parts.dataCentre, this.paces, parts.random ?? Math.random);
    }

    /** Follows what the view knows now, and lets those that wait try again. */
    public refresh(): void {
        this.links.refresh();
        this.room.pump();
    }

    public close(): void {
        this.links.close();
    }

    /** Serves one request; returns once its final answer was given, or its caller is gone. */
    public async serve(job: Job, res: ServerResponse): Promise<void> {
        const refusal = this.quarantine.refusal(job);
        if (refusal !== undefined) {
            // Before it counts as demand, earns a retry or waits.
            this.refuse(job, res, refusal);
            this.settleCharge(job);
            return;
        }
        this.budget(job.service).request();
        const key = itemKeyOf(job);
        this.parts.meter.arrived(key, workOf(job));
        for (let tries = 0;; tries++) {
            const place = await this.place(job);
            if (job.gone.aborted) {
                this.tell(job, "caller-gone", {});
                this.settleCharge(job);
                return;
            }
            if (place.kind === "refused") {
                this.refuse(job, res, place);
                this.settleCharge(job);
                return;
            }
            const outcome = await this.tryAt(job, place.link, res, key, tries);
            if (this.conclude(job, place.link, outcome, res) === "done") {
                this.settleCharge(job);
                return;
            }
        }
    }

    /** What ran nowhere counts against no limit. */
    private settleCharge(job: Job): void {
        if (job.tried.length === 0) {
            job.charge.giveBack();
        }
    }

    /** Finds an upstream, waiting for one as long as that is of use. */
    private async place(job: Job): Promise<Place> {
        const key = itemKeyOf(job);
        let told = false;
        try {
            for (;;) {
                const barred = this.barred(job);
                if (barred !== undefined) {
                    return barred;
                }
                const found = this.placeNow(job);
                if (found.kind === "upstream") {
                    return found;
                }
                if (this.parts.stopping()) {
                    // Another entry can wait longer than this one.
                    return { kind: "refused", answer: OwnAnswer.stopping, retryAfterMs: stoppingRetryMs };
                }
                if (found.kind === "lacking" && !told) {
                    told = true;
                    this.parts.meter.waits(key);
                }
                const waitMs = this.patience.waitMs(job, found.kind);
                if (waitMs <= 0 || job.gone.aborted) {
                    return this.patience.refusal(job, found.kind);
                }
                const later = await this.waitForPlace(job, Math.min(waitMs, lookAgainMs));
                if (later !== undefined) {
                    return later;
                }
            }
        }
        finally {
            if (told) {
                this.parts.meter.waitsNoMore(key);
            }
        }
    }

    private waitForPlace(job: Job, ms: number): Promise<Place | undefined> {
        return this.room.wait(job.priority, ms, job.gone, () => {
            const now = this.placeNow(job);
            return now.kind === "upstream" ? now : undefined;
        });
    }

    private placeNow(job: Job): Choice {
        return this.picker.pick(job, this.links.ready(job.service), this.engineOf(job.service));
    }

    private refuse(job: Job, res: ServerResponse, refusal: Refusal): void {
        if (refusal.answer === OwnAnswer.lacking) {
            this.parts.meter.refused(itemKeyOf(job));
        }
        if (job.tried.length > 0 && refusal.answer !== OwnAnswer.barred) {
            // An upstream may have run it: "not run" would not be true.
            this.answer(job, res, job.answerStarted ? undefined : OwnAnswer.failed);
            return;
        }
        const answer = job.answerStarted ? undefined : refusal.answer;
        this.answer(job, res, answer, refusal.retryAfterMs, refusal.details);
    }

    /** Why a request that was let in must not be sent now; asked again right before each send. */
    private barred(job: Job): Refusal | undefined {
        return this.parts.admissions.barred(job.grant) ?? this.quarantine.refusal(job);
    }

    private async tryAt(
        job: Job,
        link: UpstreamLink,
        res: ServerResponse,
        key: ItemKey,
        tries: number,
    ): Promise<AttemptOutcome> {
        const { meter, codec, stopping } = this.parts;
        const startedAt = steadyNow();
        let firstMs: number | undefined;
        let pauseMs = 0;
        const stay = link.begin(job.priority, ownTokensOf(job), tokensOf(job));
        meter.started(key);
        this.ejections.sent(link.id);
        job.tried.push(link.id);
        try {
            const outcome = await (this.parts.send ?? attempt)(job, link, {
                codec,
                res,
                urgency: this.engineOf(job.service) === undefined ? undefined : Math.min(9, job.priority),
                keysAreOurs: this.parts.view.configuration?.accounts !== undefined,
                closing: stopping,
                maySend: () => this.links.isReady(link) && this.barred(job) === undefined,
                silentAfterMs: this.silentAfterMs(job, stay.tokensAhead),
                onPause: ms => {
                    pauseMs = Math.max(pauseMs, ms);
                },
                onAnswer: () => {
                    firstMs = Math.round(ageMs(job));
                    stay.read();
                    this.learnPace(job, stay.tokensAhead, steadyNow() - startedAt);
                    this.parts.metrics.histogram("first_byte", { route: job.route.name }).record(ageMs(job));
                },
            });
            if (firstMs === undefined && isSilent(outcome)) {
                // The connection may be what is silent, and the idle ones beside it.
                link.renewConnections();
            }
            const ranMs = firstMs === undefined ? undefined : Math.round(ageMs(job)) - firstMs;
            this.quarantine.take(job, link, outcome, { sentAt: startedAt, ranMs });
            this.tell(job, "attempt", {
                upstream: link.id,
                try: tries + 1,
                load: Math.round(link.load),
                viewAgeMs: Math.round(this.parts.view.ageMs),
                outcome: outcome.kind,
                reason: "reason" in outcome ? outcome.reason : undefined,
                firstMs,
                longestPauseMs: pauseMs === 0 ? undefined : Math.round(pauseMs),
                // Tells equal requests by, and how long one had been running, where upstreams end under it.
                fingerprint: isLost(outcome) ? this.quarantine.fingerprint(job) : undefined,
                ranMs: isLost(outcome) ? ranMs : undefined,
                tookMs: Math.round(steadyNow() - startedAt),
            });
            return outcome;
        }
        finally {
            stay.end();
            meter.ended(key);
            this.room.pump();
        }
    }

    /** Undefined where the request may not be repeated, or has been sent as often as it may be. */
    private silentAfterMs(job: Job, tokensAhead: number): number | undefined {
        if (!isRepeatable(job) || job.tried.length >= job.route.maxAttempts) {
            return undefined;
        }
        return silenceMs(job, this.paces.durationMs(job.service, job.facts.model, tokensAhead));
    }

    private learnPace(job: Job, tokens: number, ms: number): void {
        const { model } = job.facts;
        this.paces.learn(job.service, model, tokens, ms);
        const pace = this.paces.tokensPerSecond(job.service, model);
        if (pace !== undefined && this.engineOf(job.service) !== undefined) {
            this.parts.meter.paceOf(job.service, model, pace);
        }
    }

    private conclude(job: Job, link: UpstreamLink, outcome: AttemptOutcome, res: ServerResponse): Verdict {
        this.judge.take(job, link.id, outcome);
        switch (outcome.kind) {
            case "answered":
                this.count(job, "answered");
                return "done";
            case "caller-gone":
                this.count(job, "caller-gone");
                return "done";
            case "late":
                this.answer(job, res, job.answerStarted ? undefined : OwnAnswer.late);
                return "done";
            case "not-run":
                job.tried.splice(job.tried.lastIndexOf(link.id), 1);
                job.declined.add(link.id);
                return this.afterDeclined(job, res);
            case "failure":
                if (isRepeatable(job) && outcome.answer.status >= 500 && this.mayTryAgain(job)) {
                    return "again";
                }
                this.handOn(job, res, outcome.answer);
                return "done";
            case "unknown":
            case "broken":
                return this.afterFailed(job, res, outcome.kind === "broken");
        }
    }

    private afterDeclined(job: Job, res: ServerResponse): Verdict {
        const barred = this.barred(job);
        if (barred !== undefined) {
            this.refuse(job, res, barred);
            return "done";
        }
        if (job.declined.size < maxDeclined && leftMs(job) > leastAttemptMs && this.spend(job)) {
            return "again";
        }
        this.refuse(job, res, { kind: "refused", answer: OwnAnswer.declined, retryAfterMs: busyRetryMs });
        return "done";
    }

    private afterFailed(job: Job, res: ServerResponse, broken: boolean): Verdict {
        const resumable = !broken || (job.route.resumable && job.lastEventId !== undefined);
        if (isRepeatable(job) && resumable && this.quarantine.mayTryAgain(job) && this.mayTryAgain(job)) {
            return "again";
        }
        this.answer(job, res, job.answerStarted ? undefined : OwnAnswer.failed);
        return "done";
    }

    private mayTryAgain(job: Job): boolean {
        return job.tried.length < job.route.maxAttempts && leftMs(job) > leastAttemptMs && this.spend(job);
    }

    private spend(job: Job): boolean {
        const spent = this.budget(job.service).spend(this.parts.view.entries);
        if (!spent) {
            this.parts.metrics.count("retries_denied_total", { service: job.service });
        }
        return spent;
    }

    private handOn(job: Job, res: ServerResponse, answer: Parameters<typeof writeHeldAnswer>[1]): void {
        if (job.answerStarted) {
            this.answer(job, res, undefined);
            return;
        }
        this.count(job, "failure");
        writeHeldAnswer(res, answer, this.parts.stopping());
    }

    /** Gives the final answer; without one, the connection ends, since part of an answer is out already. */
    private answer(
        job: Job,
        res: ServerResponse,
        answer: OwnAnswer | undefined,
        retryAfterMs?: number,
        details: Readonly<Record<string, unknown>> = {},
    ): void {
        this.count(job, answer?.reason ?? "cut");
        this.tell(job, answer === undefined ? "cut" : "own-answer", {
            status: answer?.status,
            reason: answer?.reason,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            configuration: this.parts.view.version,
            viewAgeMs: Math.round(this.parts.view.ageMs),
            waiting: this.room.size,
            ...details,
        });
        if (answer === undefined) {
            res.destroy();
            return;
        }
        // An entry that can't tell whose keys hold sends callers to others.
        const close = this.parts.stopping() || answer === OwnAnswer.unconfirmed;
        writeOwnAnswer(res, answer, { retryAfterMs, close });
    }

    private count(job: Job, outcome: string): void {
        this.parts.metrics.count("requests_total", { route: job.route.name, outcome });
        this.parts.metrics.histogram("request", { route: job.route.name, outcome }).record(ageMs(job));
    }

    private tell(job: Job, what: string, values: Readonly<Record<string, unknown>>): void {
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

    private engineOf(service: string): EngineSpec | undefined {
        return this.parts.view.configuration?.services.find(({ name }) => name === service)?.engine;
    }

    private budget(service: string): WindowBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = new WindowBudget(this.parts.budget);
            this.budgets.set(service, budget);
        }
        return budget;
    }
}

function isSilent(outcome: AttemptOutcome): boolean {
    return outcome.kind === "late" || (outcome.kind === "unknown" && outcome.reason === silentReason);
}

function itemKeyOf(job: Job): ItemKey {
    return { service: job.service, model: job.facts.model, adapter: job.facts.adapter };
}
