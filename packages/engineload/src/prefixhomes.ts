/**
 * Assigns the shared prefixes of long prompts to engines, without messages: all entries rank the engines for a prefix
 * in the same way (rendezvous hashing), so that its parts are prefilled and cached at few engines, and long prompts
 * stay away from the other ones.
 *
 * Load: many entries that each see a small part of the requests, and hold no recent report of most engines.
 */
import { createHash } from "node:crypto";

/** Returns a 32-bit hash of an identifier; to be computed once per identifier. */
export function identifierHash(id: string): number {
    return createHash("md5").update(id).digest().readUInt32LE(0);
}

/** Returns the rank of an engine for a prefix, from their hashes; the engine of the highest rank is preferred. */
export function prefixRank(prefixHash: number, engineHash: number): number {
    // Finalizer of MurmurHash3: every bit of the two hashes affects every bit of the rank.
    let mixed = prefixHash ^ Math.imul(engineHash, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Share of time that an engine prefills prompts of one prefix; a prompt seldom finds another one ahead then. */
const maxPrefixUtilization = 0.25;

/**
 * Uses of a prefix at each of its engines within the time that it is kept there. Prefilling it anew once in that time
 * costs a small part of what the cache saves, even if the rate, which is estimated from few requests, is half of it.
 */
const usesPerRetention = 32;

/** What the number of homes of a prefix depends on. */
export interface PrefixDemand {
    /** Rate of prompts with the prefix, over all entries. */
    readonly promptsPerMs: number;
    /** Time to prefill one of them where the prefix is cached, in milliseconds. */
    readonly prefillMs: number;
    /** Time for which an engine keeps a part that is not used again, in milliseconds. */
    readonly retentionMs: number;
}

/** Returns the number of engines that share a prefix: as many as its prompts need, and as keep it cached. */
export function homeCount({ promptsPerMs, prefillMs, retentionMs }: PrefixDemand): number {
    const needed = Math.ceil(promptsPerMs * prefillMs / maxPrefixUtilization);
    const cached = promptsPerMs > 0 ? Math.floor(promptsPerMs * retentionMs / usesPerRetention) : 0;
    return Math.max(1, needed, cached);
}

/**
 * Returns the indices of the `count` highest-ranked engines that accept the prompt; fewer if there aren't as many.
 *
 * @param engineHashes hashes of the engines' identifiers
 * @param accepts whether the engine of that index is not overloaded
 */
export function homesOf(
    prefixHash: number,
    engineHashes: readonly number[],
    count: number,
    accepts: (index: number) => boolean,
): ReadonlySet<number> {
    if (count >= engineHashes.length) {
        return new Set([...engineHashes.keys()].filter(accepts));
    }
    const ranks = engineHashes.map(hash => prefixRank(prefixHash, hash));
    const homes = new Set<number>();
    const rejected = new Set<number>();
    while (homes.size < count && homes.size + rejected.size < ranks.length) {
        let best = -1;
        for (let index = 0; index < ranks.length; index++) {
            const isLeft = !rejected.has(index) && !homes.has(index);
            if (isLeft && (best === -1 || ranks[index] > ranks[best])) {
                best = index;
            }
        }
        (accepts(best) ? homes : rejected).add(best);
    }
    return homes;
}
