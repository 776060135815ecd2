/**
 * Long prompts and chats share engines that have capacity to spare. Prompts that arrive together at one engine delay
 * every stream there beyond the allowed gap, although other engines that hold the model are idle.
 */
import { type Route } from "@winchpath/declarations";
import { type EngineBehaviour } from "../engines.js";
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts, type RequestSpec } from "../loadgenerators.js";
import { summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const modelCount = 40;
const draftsPerSecond = 50;
const chatsPerSecond = 55;
const durationMs = 40_000;

/** A step may prefill a whole long prompt, so several prompts together delay the next event by their sum. */
const behaviour: EngineBehaviour = {
    baseStepMs: 6,
    stepMsPerRequest: 0.1,
    maxPromptTokensPerStep: 8192,
    prefillTokensPerMs: 30,
    tokensPerEvent: 5,
    cachesPrefixes: true,
    reportsLoad: true,
};

/** Long prompts of which two thirds are shared, and short outputs. */
const drafts: Route = {
    ...summaries,
    name: "drafts",
    prefix: "/drafts/",
    objectiveMs: 1000,
    pauseMs: 500,
    timeoutMs: 6000,
};
/** Short prompts and long outputs. */
const chats: Route = {
    ...summaries,
    name: "chats",
    prefix: "/chats/",
    objectiveMs: 550,
    pauseMs: 500,
    timeoutMs: 15_000,
};

const sharedTokens = new Map([[drafts, 6300], [chats, 200]]);
const ownTokens = new Map([[drafts, 2900], [chats, 630]]);
const outputTokens = new Map([[drafts, 50], [chats, 290]]);

interface MixOptions {
    readonly name: string;
    /** Distinct shared parts of the long prompts for each model. */
    readonly prefixesPerModel: number;
    /** The rate of the model of rank n is proportional to 1 / (n + this offset). */
    readonly rankOffset: number;
}

function createPattern({ name, prefixesPerModel, rankOffset }: MixOptions): LoadPattern {
    const weights = Array.from({ length: modelCount }, (_, rank) => 1 / (rank + rankOffset));
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    const drawModel = (random: SeededRandom) => {
        let remaining = random.uniform() * totalWeight;
        const rank = weights.findIndex(weight => (remaining -= weight) < 0);
        return rank === -1 ? modelCount - 1 : rank;
    };
    return {
        name,
        shape: {
            entries: 22,
            engines: 29,
            models: modelCount,
            storeLoadsPerSecond: 6,
            routes: [drafts, chats],
            engineBehaviour: behaviour,
        },
        durationMs,
        initialRates: () => weights.map(weight => weight / totalWeight * (draftsPerSecond + chatsPerSecond)),
        startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
            const random = new SeededRandom(seed + 1);
            const generator = new LoadGenerator(fleet.entries, random, outcomes);
            let count = 0;
            const drawRequest = (route: Route): RequestSpec => {
                count += 1;
                const shared = `${route.name}-${random.integerBelow(prefixesPerModel)}`;
                const parts = [
                    { id: shared, tokens: sharedTokens.get(route)! },
                    { id: `own-${count}`, tokens: ownTokens.get(route)! },
                ];
                return {
                    route,
                    service: "s",
                    model: `m${drawModel(random)}`,
                    adapter: "",
                    promptTokens: parts[0].tokens + parts[1].tokens,
                    outputTokens: outputTokens.get(route)!,
                    promptParts: parts,
                };
            };
            void generator.generate(() => draftsPerSecond, () => drawRequest(drafts));
            void generator.generate(() => chatsPerSecond, () => drawRequest(chats));
            return generator;
        },
    };
}

/** More shared parts than the engines of a model can keep. */
export const streamMixesPattern = createPattern({ name: "stream-mixes", prefixesPerModel: 4, rankOffset: 4 });

/** One shared part per model, and a model with a quarter of the requests. */
export const popularPrefixPattern = createPattern({ name: "popular-prefix", prefixesPerModel: 1, rankOffset: 1 });
