/**
 * Demand shifts periodically to models with one replica each, while most engines hold models that are rarely requested.
 *
 * Memory has room for a few more replicas than there are models. Every model should keep one replica, so that no request
 * waits for a load from the weight store, and models that become popular should get further replicas within one load time.
 */
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { drawRequestProfile } from "../requestprofiles.js";
import { digests, installPlans, summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const engineCount = 16;
const modelCount = 42;
/** Requests per second and engine. */
const ratePerEngine = 4.2;
/** Popularity of a model relative to the model of the previous rank. */
const popularityDecay = 0.75;
/** Fraction of requests that are spread evenly over all models. */
const uniformRatio = 0.15;
const shiftIntervalMs = 8000;
/** Number of the most popular models that lose their demand at each shift. */
const modelsPerShift = 3;
const busyModelCount = 8;

export const movingDemandPattern: LoadPattern = {
    name: "moving-demand",
    shape: {
        entries: 24,
        engines: engineCount,
        models: modelCount,
        storeLoadsPerSecond: 3.2,
        routes: [summaries, digests, installPlans],
    },
    durationMs: 24_000,
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const order = random.permutation(modelCount);
        let firstRank = 0;
        setInterval(() => firstRank += modelsPerShift, shiftIntervalMs);
        const weights = Array.from({ length: busyModelCount }, (_, rank) => popularityDecay ** rank);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const drawModel = () => {
            if (random.uniform() < uniformRatio) {
                return random.integerBelow(modelCount);
            }
            let remaining = random.uniform() * total;
            const rank = weights.findIndex(weight => (remaining -= weight) < 0);
            return order[(firstRank + Math.max(0, rank)) % modelCount];
        };
        void generator.generate(() => ratePerEngine * engineCount, () => ({
            ...drawRequestProfile(random),
            service: "s",
            model: `m${drawModel()}`,
            adapter: "",
        }));
        return generator;
    },
};
