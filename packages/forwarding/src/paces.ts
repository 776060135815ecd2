/** How fast engines read prompts, learnt from how long first events take. */

/** Before anything was learnt: such a pace that nothing is refused for it. */
const unknownPace = Number.POSITIVE_INFINITY;
/** Shorter queues tell little: the time is spent elsewhere. */
const leastTokens = 1000;
/** Share of one sample in the average; the last few dozen count. */
const sampleShare = 0.04;

/** The pace of one model, or of all models of a service together. */
export class ReadingPace {
    private tokensPerMs: number | undefined;

    /** A first event came after `ms`, with `tokens` of prompts before it and its own. */
    public learn(tokens: number, ms: number): void {
        if (tokens < leastTokens || ms <= 0) {
            return;
        }
        const seen = tokens / ms;
        const before = this.tokensPerMs ?? seen;
        this.tokensPerMs = before + (seen - before) * sampleShare;
    }

    /** Tokens in a second; undefined before anything was learnt. */
    public get tokensPerSecond(): number | undefined {
        return this.tokensPerMs === undefined ? undefined : this.tokensPerMs * 1000;
    }

    /** Time to read that many tokens, in milliseconds. */
    public durationMs(tokens: number): number {
        return tokens / (this.tokensPerMs ?? unknownPace);
    }
}

/** The paces of a service's models: large ones are read several times as slowly as small ones. */
export class PaceBook {
    private readonly paces = new Map<string, ReadingPace>();

    /** The pace of a model of a service. */
    public of(service: string, model: string): ReadingPace {
        const name = `${service}/${model}`;
        let pace = this.paces.get(name);
        if (pace === undefined) {
            pace = new ReadingPace();
            this.paces.set(name, pace);
        }
        return pace;
    }
}
