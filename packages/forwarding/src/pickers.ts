/** Chooses the upstream for a request. */
import { type EngineSpec } from "@winchpath/declarations";
import { type EjectionBook } from "@winchpath/routing";
import { createHash } from "node:crypto";
import { type Job, tokensOf } from "./jobs.js";
import { type UpstreamLink } from "./links.js";

/** An upstream keeps the requests that belong to it until it is this much busier than the least busy one. */
const affinityRatio = 1.3;
/** And by this many requests, so that small numbers do not scatter them. */
const affinityRequests = 4;
/** An upstream in another data centre counts as this many requests busier. */
const distanceRequests = 2;
/** Share of an engine's cache that requests are admitted to; the rest is for those that grow longer than said. */
const cacheShare = 0.95;

/** What was found for a request. */
export type Pick =
    | { readonly kind: "upstream"; readonly link: UpstreamLink; }
    /** There are holders, but all are full. */
    | { readonly kind: "full"; }
    /** No upstream holds what is asked for. */
    | { readonly kind: "lacking"; }
    /** The service has no upstream that takes requests. */
    | { readonly kind: "none"; };

export class Picker {
    public constructor(private readonly ejections: EjectionBook, private readonly dataCentre: string) {}

    /** `engine`: what the service's upstreams are, where they are model engines. */
    public pick(job: Job, ready: readonly UpstreamLink[], engine: EngineSpec | undefined): Pick {
        if (ready.length === 0) {
            return { kind: "none" };
        }
        const holders = ready.filter(link => holds(link, job));
        if (holders.length === 0) {
            return { kind: "lacking" };
        }
        const untried = holders.filter(link => !job.tried.includes(link.id) && !job.declined.has(link.id));
        const admitted = this.ejections.admitted(untried);
        const open = admitted.filter(link => hasRoom(link, job, engine));
        if (open.length === 0) {
            return { kind: "full" };
        }
        return { kind: "upstream", link: this.choose(job, open) };
    }

    private choose(job: Job, open: readonly UpstreamLink[]): UpstreamLink {
        const byLoad = [...open].sort((a, b) => this.weightOf(a) - this.weightOf(b));
        const key = job.route.sticky ? affinityKey(job) : undefined;
        if (key === undefined) {
            return this.lighterOfTwo(byLoad);
        }
        const bound = this.weightOf(byLoad[0]) * affinityRatio + affinityRequests;
        const near = byLoad.filter(link => this.weightOf(link) <= bound);
        return near.reduce((best, link) => rank(key, link) > rank(key, best) ? link : best);
    }

    /** Not always the lightest: several entries would all send there at the same moment. */
    private lighterOfTwo(byLoad: readonly UpstreamLink[]): UpstreamLink {
        const draw = () => byLoad[Math.floor(Math.random() * byLoad.length)];
        const [a, b] = [draw(), draw()];
        return this.weightOf(a) <= this.weightOf(b) ? a : b;
    }

    private weightOf(link: UpstreamLink): number {
        const { slots, dataCentre } = link.description;
        const far = dataCentre === this.dataCentre ? 0 : distanceRequests;
        // In requests of an upstream with as many slots as an engine has, so that small services compare alike.
        return link.load + far * Math.min(1, slots / 64);
    }
}

function holds(link: UpstreamLink, job: Job): boolean {
    const { model, adapter } = job.facts;
    if (model === "") {
        return true;
    }
    const held = link.description.models.find(({ name }) => name === model);
    return held !== undefined && !held.leaving && (adapter === "" || held.adapters.includes(adapter));
}

function hasRoom(link: UpstreamLink, job: Job, engine: EngineSpec | undefined): boolean {
    const { slots } = link.description;
    if (engine === undefined) {
        return link.load < slots * 2;
    }
    if (link.load >= slots) {
        return false;
    }
    const perRequest = link.inFlight === 0 ? tokensOf(job) : link.tokensInFlight / link.inFlight;
    const tokens = perRequest * link.load + tokensOf(job);
    return link.load < 1 || tokens <= engine.cacheTokens * cacheShare;
}

/** The last part of the prompt that others share; requests with it find it read already. */
function affinityKey(job: Job): string | undefined {
    const { parts, model, adapter } = job.facts;
    const shared = parts.at(-2) ?? parts[0];
    return shared === undefined ? undefined : `${model}/${adapter}/${shared.id}`;
}

/** Rendezvous hashing: every entry ranks the upstreams alike, without talking. */
function rank(key: string, link: UpstreamLink): number {
    return createHash("md5").update(`${key} ${link.id}`).digest().readUInt32LE(0);
}
