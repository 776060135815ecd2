/** What happens to a request between its headers and its final answer. */
import { type RateVerdict } from "@winchpath/availability";
import { type EventLog, Metrics, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec } from "@winchpath/declarations";
import { type CrashReporter, type DemandMeter, type FleetView, type ItemKey } from "@winchpath/fleet";
import { EjectionBook } from "@winchpath/routing";
import { type ServerResponse } from "node:http";
import { type Admissions, type Refusal } from "./admissions.js";
import { OwnAnswer } from "./answers.js";
import { attempt, type AttemptOutcome, silentReason } from "./attempts.js";
import { type RetryBudgetOptions } from "./budgets.js";
import { type AnswerFacts, type RequestCodec } from "./codecs.js";
import { ageMs, isRepeatable, type Job, ownTokensOf, tokensOf, workOf } from "./jobs.js";
import { UpstreamJudge } from "./judges.js";
import { type UpstreamLink } from "./links.js";
import { LinkTable } from "./linktables.js";
import { PaceBook } from "./paces.js";
import { busyRetryMs, type Obstacle, Patience, silenceMs } from "./patiences.js";
import { type Choice, Picker } from "./pickers.js";
import { isLost, Quarantine } from "./quarantines.js";
import { Replies } from "./replies.js";
import { Retries } from "./retries.js";
import { UpstreamSignals } from "./signals.js";
import { WaitingRoom } from "./waitingrooms.js";

/** A request that waits looks this often whether waiting is still of use, in milliseconds. */
const lookAgainMs = 100;
/** When to come back, to another entry, from one that stops. */
const stoppingRetryMs = 50;

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

type Place =
    | {
        readonly kind: "upstream";
        readonly link: UpstreamLink;
        /** Whether the upstream has named no rate, as far as was known then, or a permit was taken. */
        readonly verdict: RateVerdict;
    }
    | Refusal;

/** Whether the flow goes on with another try. */
type Verdict = "again" | "done";

export class Forwarder {
    private readonly ejections = new EjectionBook();
    private readonly judge: UpstreamJudge;
    private readonly quarantine: Quarantine;
    private readonly signals: UpstreamSignals;
    private readonly links: LinkTable;
    private readonly picker: Picker;
    private readonly paces = new PaceBook();
    private readonly patience: Patience;
    private readonly room = new WaitingRoom<Place>();
    private readonly retries: Retries;
    private readonly replies: Replies;

    public constructor(private readonly parts: ForwarderParts) {
        this.judge = new UpstreamJudge(this.ejections, parts.meter, parts.log);
        this.quarantine = new Quarantine(parts.view, parts.crashes);
        const { availability } = parts.view;
        this.signals = new UpstreamSignals({ ...parts, availability });
        this.links = new LinkTable(parts.view);
        this.retries = new Retries(parts.view, parts.budget, parts.metrics);
        this.replies = new Replies({ ...parts, waiting: () => this.room.size });
        const random = parts.random ?? Math.random;
        this.patience = new Patience(parts.view, this.links, random);
        this.picker = new Picker(this.ejections, availability, parts.dataCentre, this.paces, random);
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
        this.retries.arrived(job);
        const key = itemKeyOf(job);
        this.parts.meter.arrived(key, workOf(job));
        for (let tries = 0;; tries++) {
            const place = await this.place(job);
            if (job.gone.aborted) {
                this.replies.tell(job, "caller-gone", {});
                this.settleCharge(job);
                return;
            }
            if (place.kind === "refused") {
                this.refuse(job, res, place);
                this.settleCharge(job);
                return;
            }
            const outcome = await this.tryAt(job, place, res, key, tries);
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
                const found = this.takePlace(job);
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
                const waitMs = this.patience.waitMs(job, found);
                if (waitMs <= 0 || job.gone.aborted) {
                    return this.patience.refusal(job, found);
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
            const now = this.takePlace(job);
            return now.kind === "upstream" ? now : undefined;
        });
    }

    /** The upstream that the request is about to be sent to; one whose rest is over is taken for others until it answers. */
    private takePlace(job: Job): Extract<Place, { readonly kind: "upstream"; }> | Obstacle {
        const choice = this.placeNow(job);
        if (choice.kind !== "upstream") {
            return choice;
        }
        const { availability } = this.parts.view;
        availability.sent(choice.link.id);
        return { ...choice, verdict: availability.rates.take(choice.link.id) };
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
            this.replies.answer(job, res, OwnAnswer.failed);
            return;
        }
        this.replies.answer(job, res, refusal.answer, refusal.retryAfterMs, refusal.details);
    }

    /** Why a request that was let in must not be sent now; asked again right before each send. */
    private barred(job: Job): Refusal | undefined {
        return this.parts.admissions.barred(job.grant) ?? this.quarantine.refusal(job);
    }

    private async tryAt(
        job: Job,
        { link, verdict }: Extract<Place, { readonly kind: "upstream"; }>,
        res: ServerResponse,
        key: ItemKey,
        tries: number,
    ): Promise<AttemptOutcome> {
        const { meter, codec, stopping } = this.parts;
        const startedAt = steadyNow();
        let head: AnswerFacts | undefined;
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
                maySend: () => this.maySend(job, link, verdict),
                silentAfterMs: this.silentAfterMs(job, stay.tokensAhead),
                onPause: ms => {
                    pauseMs = Math.max(pauseMs, ms);
                },
                onHead: facts => {
                    head = facts;
                    this.signals.take(job, link, facts, startedAt);
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
            this.replies.tell(job, "attempt", {
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
                // What the upstream said of itself in this answer.
                leaving: head?.leaving || undefined,
                restMs: head?.restMs,
                limitPerSecond: head?.limitPerSecond,
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

    /** What waited for a connection while the upstream named a rate needs a permit now. */
    private maySend(job: Job, link: UpstreamLink, verdict: RateVerdict): boolean {
        return this.links.isReady(link) && this.barred(job) === undefined
            && (verdict === "permitted" || this.parts.view.availability.rates.take(link.id) !== "refused");
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
                this.replies.count(job, "answered");
                return "done";
            case "caller-gone":
                this.replies.count(job, "caller-gone");
                return "done";
            case "late":
                this.replies.answer(job, res, OwnAnswer.late);
                return "done";
            case "not-run":
                job.tried.splice(job.tried.lastIndexOf(link.id), 1);
                job.declined.add(link.id);
                return this.afterDeclined(job, res);
            case "failure":
                if (isRepeatable(job) && outcome.answer.status >= 500 && this.retries.takeAfterFailure(job)) {
                    return "again";
                }
                this.replies.handOn(job, res, outcome.answer);
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
        const next = this.placeNow(job);
        if ((next.kind === "resting" || next.kind === "limited") && this.patience.waitMs(job, next) <= 0) {
            // Without taking a retry that another request could use.
            this.refuse(job, res, this.patience.refusal(job, next));
            return "done";
        }
        if (this.retries.takeAfterDecline(job)) {
            return "again";
        }
        this.refuse(job, res, { kind: "refused", answer: OwnAnswer.declined, retryAfterMs: busyRetryMs });
        return "done";
    }

    private afterFailed(job: Job, res: ServerResponse, broken: boolean): Verdict {
        const resumable = !broken || (job.route.resumable && job.lastEventId !== undefined);
        if (isRepeatable(job) && resumable && this.quarantine.mayTryAgain(job) && this.retries.takeAfterFailure(job)) {
            return "again";
        }
        this.replies.answer(job, res, OwnAnswer.failed);
        return "done";
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.parts.view.configuration?.services.find(({ name }) => name === service)?.engine;
    }
}

function isSilent(outcome: AttemptOutcome): boolean {
    return outcome.kind === "late" || (outcome.kind === "unknown" && outcome.reason === silentReason);
}

function itemKeyOf(job: Job): ItemKey {
    return { service: job.service, model: job.facts.model, adapter: job.facts.adapter };
}
