/** How long a request waits at the entry for an upstream, and when it is to come back otherwise. */
import { steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type Refusal } from "./admissions.js";
import { OwnAnswer } from "./answers.js";
import { ageMs, type Job, leftMs, patienceLeftMs } from "./jobs.js";
import { type LinkTable } from "./linktables.js";
import { type Choice } from "./pickers.js";

/** A request that can't be served is refused within this share of its objective, while a second try can still be in time. */
const refusalShare = 0.2;
/** A request waits for a load that is expected to end within this share of its objective. */
const loadWaitShare = 0.7;
/** A load with its unload and the order to it takes this many times as long as the model's own time. */
const loadMargin = 1.6;
/** Callers come back after at most this share of the time that they have left. */
const returnShare = 0.3;
/** A load may take this much longer than expected before a request gives it up, in milliseconds. */
const loadSlackMs = 400;
/** A try with less time than this left is not made, in milliseconds. */
export const leastAttemptMs = 20;
/** When to come back after all upstreams were busy, in milliseconds. */
export const busyRetryMs = 400;
/** When to come back where no upstream is known, in milliseconds. */
const noUpstreamRetryMs = 1000;

/** An upstream is silent once it has taken so many times as long as it should for what is before the request, */
const silentTimesExpected = 4;
/** and so many times the objective: the answer is late by then, and another upstream may still give one. */
const silentObjectives = 2;
/** There is to be time for another: at most this share of the time for which the caller stays. */
const silentPatienceShare = 0.5;

/**
 * How long a try may go without the head of an answer before the request goes elsewhere, in
 * milliseconds; `expectedMs`: how long what is before it should take to be read.
 */
export function silenceMs(job: Job, expectedMs: number): number {
    const { objectiveMs } = job.route;
    const silent = Math.max(silentObjectives * objectiveMs, silentTimesExpected * expectedMs);
    return Math.min(silent, Math.max(objectiveMs, patienceLeftMs(job) * silentPatienceShare));
}

/** Callers that are sent away until the end of a rest, or the next permit, come back over this share of its time more, drawn for each. */
const restSpread = 0.25;

/** Why no upstream was found. */
export type Obstacle = Exclude<Choice, { readonly kind: "upstream"; }>;

export class Patience {
    /** `random`: draws from 0 to 1. */
    public constructor(
        private readonly view: FleetView<Configuration>,
        private readonly links: LinkTable,
        private readonly random: () => number,
    ) {}

    /** How long the request may wait from now on, in milliseconds; 0 or less where it is refused. */
    public waitMs(job: Job, why: Obstacle): number {
        return Math.min(this.usefulMs(job, why), patienceLeftMs(job) - leastAttemptMs);
    }

    private usefulMs(job: Job, why: Obstacle): number {
        switch (why.kind) {
            case "lacking":
                return this.loadWaitMs(job);
            case "resting":
            case "limited":
                // It is known when one may be asked again: a request for which that is too late is refused at once.
                return why.until - steadyNow() < earlyMs(job) ? earlyMs(job) : 0;
            default:
                return earlyMs(job);
        }
    }

    public refusal(job: Job, why: Obstacle): Refusal {
        switch (why.kind) {
            case "resting":
                return { kind: "refused", answer: OwnAnswer.resting, retryAfterMs: this.restMs(why.until) };
            case "limited":
                return { kind: "refused", answer: OwnAnswer.limited, retryAfterMs: this.restMs(why.until) };
            case "lacking":
                return { kind: "refused", answer: OwnAnswer.lacking, retryAfterMs: this.returnAfterMs(job) };
            case "none":
                return { kind: "refused", answer: OwnAnswer.noUpstream, retryAfterMs: noUpstreamRetryMs };
            case "full":
                return { kind: "refused", answer: OwnAnswer.overloaded, retryAfterMs: busyRetryMs };
        }
    }

    private restMs(until: number): number {
        return Math.max(busyRetryMs, until - steadyNow()) * (1 + restSpread * this.random());
    }

    private loadWaitMs(job: Job): number {
        const { objectiveMs } = job.route;
        const inTime = objectiveMs * loadWaitShare - ageMs(job);
        const readyMs = this.readyInMs(job);
        if (readyMs === undefined) {
            return this.loadMs(job) * loadMargin <= inTime ? inTime : earlyMs(job);
        }
        if (readyMs <= inTime) {
            return inTime;
        }
        // Sent back now, the request may come again in time to be served in time.
        const returnMs = leftMs(job) * returnShare;
        if (earlyMs(job) > 0 && readyMs <= returnMs + objectiveMs * loadWaitShare) {
            return 0;
        }
        return readyMs + loadSlackMs < patienceLeftMs(job) ? readyMs + loadSlackMs : earlyMs(job);
    }

    /** When to come back for what is being loaded, so that the rest of the wait is within the objective. */
    private returnAfterMs(job: Job): number {
        const readyMs = this.readyInMs(job) ?? this.loadMs(job) * loadMargin;
        return Math.max(busyRetryMs, readyMs - job.route.objectiveMs * refusalShare);
    }

    /** Milliseconds until what the request asks for is loaded, as the leader expects; undefined where it is not under way. */
    private readyInMs(job: Job): number | undefined {
        const { model, adapter } = job.facts;
        // An adapter of a model that is held has no load of a model to wait for.
        return adapter !== "" && this.isHeld(job) ? undefined : this.view.readyInMs(job.service, model);
    }

    /** How long it takes to load what a request asks for from a host's disk; an adapter takes a fraction of a second. */
    private loadMs(job: Job): number {
        const { model, adapter } = job.facts;
        if (adapter !== "" && this.isHeld(job)) {
            return 0;
        }
        const service = this.view.configuration?.services.find(({ name }) => name === job.service);
        return service?.engine?.models.find(({ name }) => name === model)?.diskLoadMs ?? Number.POSITIVE_INFINITY;
    }

    private isHeld(job: Job): boolean {
        return this.links.ready(job.service).some(({ description }) =>
            description.models.some(({ name, leaving, readyInMs }) =>
                name === job.facts.model && !leaving && readyInMs === 0
            )
        );
    }
}

/** Time until a refusal comes too late for a second try to be in time. */
function earlyMs(job: Job): number {
    return job.route.objectiveMs * refusalShare - ageMs(job);
}
