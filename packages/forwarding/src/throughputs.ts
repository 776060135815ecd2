/** Estimates how fast engines process prompts, from the time to the first event. */

import { modelMapKey } from "@winchpath/fleet";

/** Duration that is assumed before there are samples, so that no request is refused. */
const defaultDurationMs = 0;
/** Samples of fewer tokens are ignored because other delays dominate them. */
const minSampleTokens = 1000;
/** Weight of a new sample in the exponential moving average. */
const smoothingFactor = 0.04;

/** Prompt throughput of one model, or of all models of a service. */
export class PromptThroughput {
    private tokensPerMs: number | undefined;

    /** Adds a sample: the first event arrived after `ms`, with `tokens` to process including the request's own. */
    public addSample(tokens: number, ms: number): void {
        if (tokens < minSampleTokens || ms <= 0) {
            return;
        }
        const sample = tokens / ms;
        const average = this.tokensPerMs ?? sample;
        this.tokensPerMs = average + (sample - average) * smoothingFactor;
    }

    /** Tokens per second; undefined before the first sample. */
    public get tokensPerSecond(): number | undefined {
        return this.tokensPerMs === undefined ? undefined : this.tokensPerMs * 1000;
    }

    /** Time to process that many tokens, in milliseconds; undefined before the first sample. */
    public durationMs(tokens: number): number | undefined {
        return this.tokensPerMs === undefined ? undefined : tokens / this.tokensPerMs;
    }
}

/** Prompt throughput by service and model. */
export class ThroughputTable {
    private readonly models = new Map<string, PromptThroughput>();
    private readonly services = new Map<string, PromptThroughput>();

    /**
     * Adds a sample: the first event of a model arrived after `ms`, with `tokens` to process including the request's
     * own.
     */
    public addSample(service: string, model: string, tokens: number, ms: number): void {
        throughputIn(this.models, modelMapKey(service, model)).addSample(tokens, ms);
        throughputIn(this.services, service).addSample(tokens, ms);
    }

    /** Prompt tokens per second of a model; undefined before the first sample. */
    public tokensPerSecond(service: string, model: string): number | undefined {
        return throughputIn(this.models, modelMapKey(service, model)).tokensPerSecond;
    }

    /**
     * Time to process that many tokens, in milliseconds. Falls back to the service's average for models without
     * samples.
     */
    public durationMs(service: string, model: string, tokens: number): number {
        return throughputIn(this.models, modelMapKey(service, model)).durationMs(tokens)
            ?? throughputIn(this.services, service).durationMs(tokens)
            ?? defaultDurationMs;
    }
}

function throughputIn(table: Map<string, PromptThroughput>, name: string): PromptThroughput {
    let throughput = table.get(name);
    if (throughput === undefined) {
        throughput = new PromptThroughput();
        table.set(name, throughput);
    }
    return throughput;
}
