/** One upstream that names a rate, and entries that would send it more: played on a clock that moves in steps. */
import { steadyNow } from "@winchpath/core";
import { mock } from "node:test";
import { Draws } from "../draws.js";
import { type PolicyParts, type RatePolicy } from "./policies.js";
import { Post } from "./posts.js";

const stepMs = 10;
const startAt = 1_000_000_000;
/** The upstream names its rate from here on, in milliseconds after the start, to the end. */
const namedFromMs = 1000;
/** The rate binds this long after it was first named, in milliseconds. */
const contactMs = 3000;
const lengthMs = 20_000;
/** Arrivals are counted over windows of this length, in milliseconds. */
const windowMs = 4000;
/** How long a request takes at the upstream at most, in milliseconds. */
const longestWorkMs = 400;
/** What happens in the middle of a play begins and ends then, in milliseconds. */
const troubleFromMs = 8000;
const troubleUntilMs = 12_000;
/** Share of the entries that are cut off in some plays. */
const cutShare = 0.125;
/** Demand of an upstream that takes nothing, in requests a second, for each unit of the factor. */
const leastDemand = 0.5;

export type RateTrouble = "calm" | "lost" | "cut";

export interface RateScenario {
    readonly entries: number;
    /** Requests a second that the upstream takes. */
    readonly perSecond: number;
    /** Requests a second that would go there, as a multiple of that. */
    readonly factor: number;
    /** Whether all requests come to one entry. */
    readonly onOne: boolean;
    /** What coordinates is lost, or some entries are cut off, for a while. */
    readonly trouble: RateTrouble;
}

export interface RateResult {
    /** The most arrivals in a window, by what is borne: above 1 where more arrived. */
    readonly worst: number;
    /** Requests that arrived, by those that the rate would have let through; undefined where less was asked for than it bears. */
    readonly used: number | undefined;
    readonly messagesPerSecond: number;
    readonly bytesPerSecond: number;
}

/** Plays a scenario once. */
export function playRate(
    scenario: RateScenario,
    policyOf: (parts: PolicyParts) => RatePolicy,
    seed: number,
): RateResult {
    mock.timers.enable({ apis: ["Date"], now: startAt });
    try {
        return new RatePlay(scenario, policyOf, new Draws(seed)).play();
    }
    finally {
        mock.timers.reset();
    }
}

class RatePlay {
    private readonly post: Post;
    private readonly policy: RatePolicy;
    private readonly arrivals: number[] = [];
    private due = 0;

    public constructor(
        private readonly scenario: RateScenario,
        policyOf: (parts: PolicyParts) => RatePolicy,
        private readonly draws: Draws,
    ) {
        this.post = new Post(draws);
        this.policy = policyOf({ entries: scenario.entries, post: this.post, draws });
        this.post.later(troubleFromMs, () => this.trouble(true));
        this.post.later(troubleUntilMs, () => this.trouble(false));
    }

    public play(): RateResult {
        while (this.now < lengthMs) {
            this.post.deliver();
            this.askDue();
            this.policy.step();
            mock.timers.tick(stepMs);
        }
        return this.result();
    }

    private get now(): number {
        return steadyNow() - startAt;
    }

    private get demand(): number {
        return this.scenario.factor * Math.max(this.scenario.perSecond, leastDemand);
    }

    private trouble(begins: boolean): void {
        const { trouble, entries } = this.scenario;
        if (trouble === "lost") {
            if (begins) {
                this.policy.lose();
            }
            else {
                this.policy.restore();
            }
        }
        if (trouble === "cut") {
            const count = Math.max(1, Math.round(entries * cutShare));
            for (let entry = 0; entry < count; entry++) {
                this.policy.cut(entry, begins);
            }
        }
    }

    private askDue(): void {
        this.due += this.demand * stepMs / 1000;
        for (; this.due >= 1; this.due--) {
            const entry = this.scenario.onOne ? 0 : this.draws.index(this.scenario.entries);
            this.policy.ask(entry, passes => {
                if (passes) {
                    this.send(entry);
                }
            });
        }
    }

    private send(entry: number): void {
        const sentAt = steadyNow();
        this.post.send(() => {
            this.arrivals.push(this.now);
            this.post.later(this.draws.share() * longestWorkMs, () => {
                const named = this.now >= namedFromMs ? this.scenario.perSecond : undefined;
                this.post.send(() => this.policy.heard(entry, named, sentAt));
            });
        });
    }

    private result(): RateResult {
        const { perSecond } = this.scenario;
        const from = namedFromMs + contactMs;
        const times = this.arrivals.filter(at => at >= from);
        const counts = times.map(begin => times.filter(at => at >= begin && at < begin + windowMs).length);
        const bound = Math.floor(1.5 * perSecond * windowMs / 1000 + 5);
        const borne = perSecond * (lengthMs - from) / 1000;
        const seconds = lengthMs / 1000;
        return {
            worst: Math.max(0, ...counts) / bound,
            used: this.demand >= perSecond && borne >= 1 ? times.length / borne : undefined,
            messagesPerSecond: this.policy.cost.messages / seconds,
            bytesPerSecond: this.policy.cost.bytes / seconds,
        };
    }
}
