/** How fast engines read prompts, learnt from how long first events take. */

/** Before anything was learnt: such a pace that nothing is refused for it. */
const unknownPace = Number.POSITIVE_INFINITY;
/** Shorter queues tell little: the time is spent elsewhere. */
const leastTokens = 1000;
/** Share of one sample in the average; the last few dozen count. */
const sampleShare = 0.04;

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
