/** Chooses the upstream for a request. */
import { type AvailabilityBook, withoutResting } from "@winchpath/availability";
import { type EngineSpec } from "@winchpath/declarations";
import { type EjectionBook } from "@winchpath/routing";
import { createHash } from "node:crypto";
import { isRepeatable, type Job, ownTokensOf, tokensOf } from "./jobs.js";
import { type UpstreamLink } from "./links.js";
import { type PaceBook } from "./paces.js";

/** An upstream in another data centre counts as this much busier: in tokens of a prompt, or in requests. */
const distanceTokens = 300;
const distanceRequests = 0.5;
/** A queue that takes this many times a request's objective is full to it. */
const latestShare = 1.5;
/** Share of an engine's cache that requests are admitted to; the rest is for those that grow longer than said. */
const cacheShare = 0.95;

/** A plain service queues a few requests; beyond this many times its slots they wait at the entry. */
const slotsOfPlainService = 2;

/** What was found for a request. */
export type Choice =
    | { readonly kind: "upstream"; readonly link: UpstreamLink; }
    /** There are holders, but all are full. */
    | { readonly kind: "full"; }
    /** There are holders, but all have asked this entry for rest; `until`: steady time of the first end. */
    | { readonly kind: "resting"; readonly until: number; }
    /** All that could take it take a rate, and there is no permit; `until`: steady time at which there may be one. */
    | { readonly kind: "limited"; readonly until: number; }
    /** No upstream holds what is asked for. */
    | { readonly kind: "lacking"; }
    /** The service has no upstream that takes requests. */
    | { readonly kind: "none"; };

export class Picker {
    public constructor(
        private readonly ejections: EjectionBook,
        private readonly availability: AvailabilityBook,
        private readonly dataCentre: string,
        private readonly paces: PaceBook,
        /** Draws from 0 to 1. */
        private readonly random: () => number,
    ) {}

    /** `engine`: what the service's upstreams are, where they are model engines. */
    public pick(job: Job, ready: readonly UpstreamLink[], engine: EngineSpec | undefined): Choice {
        if (ready.length === 0) {
            return { kind: "none" };
        }
        const holders = ready.filter(link => holds(link, job));
        if (holders.length === 0) {
            return { kind: "lacking" };
        }
        // Left out before ejections are: those let everything in again where too few are left, a rest holds.
        const { awake, until } = withoutResting(this.availability, holders, ({ id }) => id);
        if (awake.length === 0) {
            return { kind: "resting", until };
        }
        const admitted = this.ejections.admitted(candidates(job, awake));
        const open = admitted.filter(link => this.hasRoom(link, job, engine));
        if (open.length === 0) {
            return { kind: "full" };
        }
        const best = this.choose(job, open, engine);
        if (this.limitedUntil(best) === undefined) {
            return { kind: "upstream", link: best };
        }
        this.availability.rates.want(best.id, job.id);
        return this.pickUnlimited(job, open, awake, engine);
    }

    /** The choice where the best one takes a rate, and there is no permit for it. */
    private pickUnlimited(
        job: Job,
        open: readonly UpstreamLink[],
        awake: readonly UpstreamLink[],
        engine: EngineSpec | undefined,
    ): Choice {
        const free = open.filter(link => this.limitedUntil(link) === undefined);
        if (free.length > 0) {
            return { kind: "upstream", link: this.choose(job, free, engine) };
        }
        const untils = awake.map(link => this.limitedUntil(link));
        const all = untils.filter(until => until !== undefined);
        return all.length < untils.length ? { kind: "full" } : { kind: "limited", until: Math.min(...all) };
    }

    /** Steady time at which there may be a permit; undefined where none is needed. */
    private limitedUntil(link: UpstreamLink): number | undefined {
        const stand = this.availability.choosable(link.id);
        return stand.kind === "limited" ? stand.until : undefined;
    }

    /** Of those that are sound, the one with the least before the request, less what it has read already. */
    private choose(job: Job, all: readonly UpstreamLink[], engine: EngineSpec | undefined): UpstreamLink {
        const sound = all.filter(({ description }) => description.failingPercent === 0);
        const open = sound.length > 0 ? sound : all;
        const home = job.route.sticky ? this.homeOf(job, open) : undefined;
        const sharedTokens = job.facts.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        const ranked = open.map(link => ({
            link,
            cost: this.costOf(job, link, engine) - (link === home ? sharedTokens : 0),
            tie: this.random(),
        }));
        ranked.sort((a, b) => a.cost - b.cost || a.tie - b.tie);
        return ranked[0].link;
    }

    private costOf(job: Job, link: UpstreamLink, engine: EngineSpec | undefined): number {
        const far = link.description.dataCentre !== this.dataCentre;
        return engine === undefined
            ? link.load + (far ? distanceRequests : 0)
            : link.queueAhead(job.priority, ownTokensOf(job)) + (far ? distanceTokens : 0);
    }

    /** Rendezvous hashing: every entry finds the same one, without talking. */
    private homeOf(job: Job, open: readonly UpstreamLink[]): UpstreamLink | undefined {
        const key = affinityKey(job);
        return key === undefined
            ? undefined
            : open.reduce((best, link) => rank(key, link) > rank(key, best) ? link : best);
    }

    private hasRoom(link: UpstreamLink, job: Job, engine: EngineSpec | undefined): boolean {
        const { slots } = link.description;
        if (engine === undefined) {
            return link.load < slots * slotsOfPlainService;
        }
        if (link.load >= slots) {
            return false;
        }
        const perRequest = link.inFlight === 0 ? tokensOf(job) : link.tokensInFlight / link.inFlight;
        const fits = perRequest * link.load + tokensOf(job) <= engine.cacheTokens * cacheShare;
        const ahead = link.queueAhead(job.priority, ownTokensOf(job));
        const waitMs = this.paces.durationMs(job.service, job.facts.model, ahead);
        const inTime = waitMs <= job.route.objectiveMs * latestShare;
        return link.load < 1 || (fits && inTime);
    }
}

/**
 * Holders that the request may go to. One that has failed it is asked again only where it is the only
 * one: it fails a share of its requests, and what may be repeated is lost for certain otherwise.
 */
function candidates(job: Job, holders: readonly UpstreamLink[]): readonly UpstreamLink[] {
    const willing = holders.filter(({ id }) => !job.declined.has(id));
    const untried = willing.filter(({ id }) => !job.tried.includes(id));
    return untried.length > 0 || !isRepeatable(job) ? untried : willing;
}

function holds(link: UpstreamLink, job: Job): boolean {
    const { model, adapter } = job.facts;
    if (model === "") {
        return true;
    }
    const held = link.description.models.find(({ name }) => name === model);
    return held !== undefined && !held.leaving && held.readyInMs === 0
        && (adapter === "" || held.adapters.includes(adapter));
}

/** The last part of the prompt that others share; requests with it find it read already. */
function affinityKey(job: Job): string | undefined {
    const { parts, model, adapter } = job.facts;
    const shared = parts.at(-2) ?? parts[0];
    return shared === undefined ? undefined : `${model}/${adapter}/${shared.id}`;
}

function rank(key: string, link: UpstreamLink): number {
    return createHash("md5").update(`${key} ${link.id}`).digest().readUInt32LE(0);
}
