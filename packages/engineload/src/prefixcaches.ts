/** Prompt prefixes that an engine is known to cache, from the prompts that it has prefilled. */

/** A segment of a prompt. */
export interface PrefixPart {
    readonly id: string;
    readonly tokens: number;
}

/** The prefixes of one prompt, shortest first; computed once per request. */
export interface PromptPrefixes {
    readonly model: string;
    /** Identifies each prefix among all prompts of a service. */
    readonly keys: readonly string[];
    /** Size of the last part of each prefix, in tokens. */
    readonly tokens: readonly number[];
    /**
     * The longest prefix without the last part, which belongs to the request or its session; undefined if there is no
     * other part.
     */
    readonly sharedKey: string | undefined;
}

/** Returns the prefixes of a prompt; parts are cached per model and adapter. */
export function promptPrefixes(model: string, adapter: string, parts: readonly PrefixPart[]): PromptPrefixes {
    let key = JSON.stringify([model, adapter]);
    const keys = parts.map(({ id }) => key += `\n${id}`);
    const tokens = parts.map(part => part.tokens);
    return { model, keys, tokens, sharedKey: keys.at(-2) };
}

interface CachedPart {
    readonly model: string;
    readonly tokens: number;
}

/** Parts in one engine's cache, in order of use. */
export class PrefixCache {
    private readonly parts = new Map<string, CachedPart>();
    private totalTokens = 0;

    /**
     * Records that the engine has prefilled a prompt, and evicts the least recently used parts beyond `capacityTokens`.
     */
    public record(prefixes: PromptPrefixes, capacityTokens: number): void {
        // Longest prefix first, so that a part is never evicted before those that depend on it.
        for (let index = prefixes.keys.length - 1; index >= 0; index--) {
            const key = prefixes.keys[index];
            this.remove(key);
            this.parts.set(key, { model: prefixes.model, tokens: prefixes.tokens[index] });
            this.totalTokens += prefixes.tokens[index];
        }
        for (const key of this.parts.keys()) {
            if (this.totalTokens <= capacityTokens) {
                break;
            }
            this.remove(key);
        }
    }

    /** Tokens of the longest prefix of a prompt that is cached. */
    public cachedTokens({ keys, tokens }: PromptPrefixes): number {
        let sum = 0;
        for (let index = 0; index < keys.length; index++) {
            const part = this.parts.get(keys[index]);
            if (part === undefined) {
                break;
            }
            sum += Math.min(part.tokens, tokens[index]);
            if (part.tokens < tokens[index]) {
                break;
            }
        }
        return sum;
    }

    /** Discards the parts of models that the engine no longer holds. */
    public retainModels(models: ReadonlySet<string>): void {
        for (const [key, { model }] of this.parts) {
            if (!models.has(model)) {
                this.remove(key);
            }
        }
    }

    private remove(key: string): void {
        this.totalTokens -= this.parts.get(key)?.tokens ?? 0;
        this.parts.delete(key);
    }
}
