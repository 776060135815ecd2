/** Learns how fast engines prefill prompts and decode events, from the responses that an entry receives. */

/** Speed of an engine. */
export interface EnginePace {
    /** Prompt tokens prefilled per millisecond. */
    readonly promptTokensPerMs: number;
    /**
     * Time between two events of a stream at an idle engine, while no prompt is prefilled, in milliseconds; undefined
     * while unknown.
     */
    readonly eventMs?: number | undefined;
}

/** A speed with the number of observations behind it. */
export interface WeightedPace extends EnginePace {
    readonly samples: number;
}

/** Observations of prompts that the estimate covers, and that it needs at least. */
const maxSamples = 15;
const minSamples = 3;
/** Observations of fewer tokens are ignored, since other delays dominate them. */
const minTokens = 1000;
/** Observations after which an engine's own pace outweighs the one that is known from elsewhere. */
const priorSamples = 10;
/** Relative change of the event interval by one observation; the estimate follows the median. */
const eventStep = 0.05;
/** Plausible range of prefill speeds in tokens per millisecond; estimates outside are ignored. */
const minTokensPerMs = 0.1;
const maxTokensPerMs = 10_000;
/** Longest plausible time to a first event or between events, in milliseconds. */
const maxObservedMs = 60_000;

/**
 * Follows the median time per prompt token and the median time between events. Observations err in both directions: other
 * entries may have sent prompts that delay the first event, or may have filled the cache.
 */
export class PaceEstimator {
    /** Milliseconds per prompt token, latest last. */
    private readonly samples: number[] = [];
    private eventMs: number | undefined;
    private current: WeightedPace | undefined;

    /**
     * Records a first event after `ms`, with `tokens` to prefill including the request's own. `loadFactor`: duration of
     * a step relative to an idle engine.
     */
    public recordFirstEvent(tokens: number, ms: number, loadFactor = 1): void {
        if (!(tokens >= minTokens) || !(ms > 0) || ms > maxObservedMs) {
            return;
        }
        const prefillMs = Math.max(0, ms - (this.eventMs ?? 0) * loadFactor);
        if (!isPlausiblePace(tokens / prefillMs)) {
            return;
        }
        this.samples.push(prefillMs / tokens);
        if (this.samples.length > maxSamples) {
            this.samples.shift();
        }
        this.update();
    }

    /** Records the time between two consecutive events of a stream. `loadFactor`: see `recordFirstEvent`. */
    public recordEventInterval(ms: number, loadFactor = 1): void {
        if (!(ms > 0) || ms > maxObservedMs) {
            return;
        }
        const idleMs = ms / loadFactor;
        const estimate = this.eventMs ?? idleMs;
        this.eventMs = estimate * (idleMs > estimate ? 1 + eventStep : 1 - eventStep);
    }

    /** Undefined before enough first events were observed. */
    public get pace(): WeightedPace | undefined {
        return this.current;
    }

    private update(): void {
        if (this.samples.length >= minSamples) {
            const sorted = [...this.samples].sort((a, b) => a - b);
            const msPerToken = sorted[Math.floor(sorted.length / 2)];
            this.current = {
                promptTokensPerMs: 1 / msPerToken,
                eventMs: this.eventMs,
                samples: this.samples.length,
            };
        }
    }
}

/** Combines an engine's own pace with one that is known from elsewhere, weighted by observations. */
export function blendPaces(own: WeightedPace | undefined, prior: EnginePace | undefined): EnginePace | undefined {
    if (own === undefined || prior === undefined) {
        return own ?? prior;
    }
    const share = own.samples / (own.samples + priorSamples);
    const msPerToken = share / own.promptTokensPerMs + (1 - share) / prior.promptTokensPerMs;
    return {
        promptTokensPerMs: 1 / msPerToken,
        eventMs: own.eventMs === undefined || prior.eventMs === undefined
            ? own.eventMs ?? prior.eventMs
            : share * own.eventMs + (1 - share) * prior.eventMs,
    };
}

/** Whether a prefill speed, in prompt tokens per millisecond, can be that of an engine. */
export function isPlausiblePace(promptTokensPerMs: number): boolean {
    return promptTokensPerMs >= minTokensPerMs && promptTokensPerMs <= maxTokensPerMs;
}
