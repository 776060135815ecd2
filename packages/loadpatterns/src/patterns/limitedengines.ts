/**
 * Two engines advertise a rate limit far below their share of the load. All entries together must stay within the limits
 * and send the other requests to other engines, although most of the load is for a few models and memory is full.
 */
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { drawRequestProfile } from "../requestprofiles.js";
import { digests, installPlans, summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const modelCount = 39;
const requestsPerSecond = 50;
/** Fractions of the requests for the busiest models; the others are spread evenly over all models. */
const busyModelRatios = [0.38, 0.14, 0.14, 0.09, 0.06, 0.05, 0.03];
const limitedEngineCount = 2;
const limitPerSecond = 1.1;
const limitFromMs = 4000;
const limitDurationMs = 20_000;
const durationMs = 32_000;

export const limitedEnginesPattern: LoadPattern = {
    name: "limited-engines",
    shape: {
        entries: 5,
        engines: 13,
        models: modelCount,
        storeLoadsPerSecond: 2.1,
        routes: [summaries, digests, installPlans],
    },
    durationMs,
    initialRates: () =>
        Array.from({ length: modelCount }, (_, index) => (busyModelRatios[index] ?? 0.01) * requestsPerSecond),
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const limitedEngines = random.permutation(fleet.engines.length).slice(0, limitedEngineCount).map(index =>
            fleet.engines[index]
        );
        const from = Date.now() + limitFromMs;
        limitedEngines.forEach(engine =>
            engine.advertisedLimit = { perSecond: limitPerSecond, from, until: from + limitDurationMs }
        );
        const drawModel = () => {
            let remaining = random.uniform();
            const rank = busyModelRatios.findIndex(ratio => (remaining -= ratio) < 0);
            return rank === -1 ? random.integerBelow(modelCount) : rank;
        };
        void generator.generate(() => requestsPerSecond, () => ({
            ...drawRequestProfile(random),
            service: "s",
            model: `m${drawModel()}`,
            adapter: "",
        }));
        return generator;
    },
};
