/** Load of one engine as known to an entry: its own requests there, and those of others as last reported. */
import { steadyNow } from "@winchpath/core";
import { PaceEstimator } from "./enginepaces.js";
import { PrefixCache } from "./prefixcaches.js";
import { RecentCount } from "./recentcounts.js";

/** Time over which a report about the requests of other entries decays to zero, in milliseconds. */
const reportLifetimeMs = 2500;

/** A request as far as it matters to the engine that runs it. */
export interface EngineRequest {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Prompt tokens that the engine has to prefill. */
    readonly prefillTokens: number;
    /** Longest allowed time between two events, in milliseconds; 0 for none. */
    readonly allowedGapMs: number;
}

/** A request of this entry that was sent to an engine. */
export interface TrackedEngineRequest {
    /** Records that the prompt has been prefilled. */
    readonly markStarted: () => void;
    readonly finish: () => void;
}

/** Requests at an engine, as the engine reports them. */
export interface ReportedRequests {
    readonly running: number;
    /** Requests whose prompt has not been prefilled. */
    readonly waiting: number;
}

export interface EngineOccupancy {
    readonly running: number;
    /** Requests of other entries, running or waiting. */
    readonly others: number;
    /** Prompt tokens that wait to be prefilled before those of the request that asks. */
    readonly tokensAhead: number;
    /** Those that certainly still wait: the engine has prefilled prompts since the report. */
    readonly knownTokensAhead: number;
    /** All prompt tokens that wait to be prefilled. */
    readonly tokensWaiting: number;
}

export class EngineLoad {
    public readonly prefixes = new PrefixCache();
    public readonly pace = new PaceEstimator();
    /** Long prompts that this entry has sent there recently. */
    public readonly longPrompts = new RecentCount();
    private readonly waitingTokens = new Map<number, number>();
    private waitingRequests = 0;
    /** Number of running streams by their allowed gap in milliseconds. */
    private readonly streams = new Map<number, number>();
    private startedRequests = 0;
    private othersRunning = 0;
    private othersWaiting = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;

    public track({ priority, prefillTokens, allowedGapMs }: EngineRequest): TrackedEngineRequest {
        let state: "waiting" | "running" | "finished" = "waiting";
        this.addWaiting(priority, prefillTokens, 1);
        const markStarted = () => {
            if (state === "waiting") {
                state = "running";
                this.addWaiting(priority, -prefillTokens, -1);
                this.addStarted(allowedGapMs, 1);
            }
        };
        const finish = () => {
            if (state === "waiting") {
                this.addWaiting(priority, -prefillTokens, -1);
            }
            else if (state === "running") {
                this.addStarted(allowedGapMs, -1);
            }
            state = "finished";
        };
        return { markStarted, finish };
    }

    /**
     * Updates the requests of other entries from a report in a response. The request that the response belongs to still
     * counts as waiting here.
     */
    public updateReport({ running, waiting }: ReportedRequests): void {
        if (!(running >= 0) || !(waiting >= 0)) {
            return;
        }
        this.othersWaiting = Math.max(0, waiting - Math.max(0, this.waitingRequests - 1));
        this.othersRunning = Math.max(0, running - this.startedRequests - Math.min(1, this.waitingRequests));
        this.reportedAt = steadyNow();
    }

    /** Age of the last report in milliseconds; infinite if there was none. */
    public get reportAgeMs(): number {
        return steadyNow() - this.reportedAt;
    }

    /**
     * What runs and waits there at the monotonic time `now`, by own knowledge and the last report. `priority`: urgency of
     * the request that asks; `tokensPerRequest`: mean size of the waiting prompts of others; `promptTokensPerMs`: pace at
     * which the engine has prefilled them since the report.
     */
    public occupancy(
        now: number,
        priority: number,
        tokensPerRequest: number,
        promptTokensPerMs = 0,
    ): EngineOccupancy {
        const weight = Math.max(0, 1 - (now - this.reportedAt) / reportLifetimeMs);
        const othersTokens = this.othersWaiting * weight * tokensPerRequest;
        const unprefilledTokens = this.othersWaiting === 0
            ? 0
            : this.othersWaiting * tokensPerRequest - (now - this.reportedAt) * promptTokensPerMs;
        let tokensAhead = othersTokens;
        let tokensWaiting = othersTokens;
        for (const [other, tokens] of this.waitingTokens) {
            tokensAhead += other <= priority ? tokens : 0;
            tokensWaiting += tokens;
        }
        const othersRunning = this.othersRunning * weight;
        return {
            running: this.startedRequests + othersRunning,
            others: othersRunning + this.othersWaiting * weight,
            tokensAhead,
            knownTokensAhead: tokensAhead - othersTokens + Math.min(othersTokens, Math.max(0, unprefilledTokens)),
            tokensWaiting,
        };
    }

    /** Smallest allowed gap of this entry's streams there, in milliseconds; undefined if none has one. */
    public get tightestGapMs(): number | undefined {
        let tightest: number | undefined;
        for (const gapMs of this.streams.keys()) {
            tightest = tightest === undefined || gapMs < tightest ? gapMs : tightest;
        }
        return tightest;
    }

    private addWaiting(priority: number, tokens: number, requests: number): void {
        this.waitingTokens.set(priority, (this.waitingTokens.get(priority) ?? 0) + tokens);
        this.waitingRequests += requests;
    }

    private addStarted(allowedGapMs: number, requests: number): void {
        this.startedRequests += requests;
        if (allowedGapMs <= 0) {
            return;
        }
        const count = (this.streams.get(allowedGapMs) ?? 0) + requests;
        if (count === 0) {
            this.streams.delete(allowedGapMs);
        }
        else {
            this.streams.set(allowedGapMs, count);
        }
    }
}

/** Mean prompt tokens of the requests that are found waiting at the engines of a service. */
export class WaitingPromptSizes {
    private weight = 0;
    private weightedTokens = 0;

    /**
     * Records a request that was sent. A prompt waits and is prefilled in proportion to its size, so larger prompts are
     * found waiting more often.
     */
    public record(prefillTokens: number): void {
        this.weight = this.weight * sizeRetention + prefillTokens;
        this.weightedTokens = this.weightedTokens * sizeRetention + prefillTokens * prefillTokens;
    }

    /** 0 before the first request. */
    public get meanTokens(): number {
        return this.weight === 0 ? 0 : this.weightedTokens / this.weight;
    }
}

/** Weight that remains of earlier prompt sizes after a new one; the last 100 or so count. */
const sizeRetention = 0.99;
