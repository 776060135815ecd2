/**
 * Some engines fail a fraction of their requests but otherwise appear healthy. Each entry sends so few requests to an
 * engine that failures are detected quickly only if observations of all entries are combined.
 *
 * Each model has two replicas, so requests can be sent elsewhere unless both replicas are on failing engines.
 */
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const failingEngineCount = 2;
const failureRate = 0.4;
/** Requests per second and engine. */
const ratePerEngine = 3;
const failFromMs = 1000;
const failDurationMs = 8000;

export const failingEnginesPattern: LoadPattern = {
    name: "failing-engines",
    shape: { entries: 24, engines: 8, models: 12, storeLoadsPerSecond: 1.6, routes: [summaries] },
    durationMs: failFromMs + failDurationMs,
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const failingEngines = random.permutation(fleet.engines.length).slice(0, failingEngineCount);
        setTimeout(() => failingEngines.forEach(index => fleet.engines[index].failureRate = failureRate), failFromMs);
        void generator.generate(() => ratePerEngine * fleet.engines.length, () => ({
            route: { ...summaries, resumable: false },
            service: "s",
            model: `m${random.integerBelow(fleet.shape.models)}`,
            adapter: "",
            promptTokens: 1800,
            outputTokens: 22,
        }));
        return generator;
    },
};
