/**
 * The popularity of models changes gradually in a large fleet whose memory is nearly full with rarely requested models.
 * At each shift the most popular models lose their demand, the others move up in rank, and new ones become popular.
 *
 * Popular models should get further replicas within seconds, without more loads than pay off, and without evicting the
 * last replica of a model that is still requested.
 */
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { drawRequestProfile } from "../requestprofiles.js";
import { digests, installPlans, summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const engineCount = 82;
const modelCount = 213;
/** Requests per second by rank, for the most popular models. */
const busyRates = [45, 22, 19, 17, 16, 15, 14, 13, 12, 12, 11, 11, 10, 10, 9, 9, 9, 8, 8, 8, 8, 7, 7, 7];
/** Requests per second that are spread evenly over all models. */
const tailRate = 35;
const shiftIntervalMs = 12_000;
const transitionMs = 7000;
const modelsPerShift = 3;

/** Computes how the ranks of models, and thus their request rates, change over time. */
class PopularityRanking {
    private readonly order: readonly number[];

    public constructor(seed: number) {
        this.order = new SeededRandom(seed + 2).permutation(modelCount);
    }

    /** Returns the requests per second of each model at a time after the start. */
    public rates(elapsedMs: number): number[] {
        const shifts = Math.floor(elapsedMs / shiftIntervalMs);
        const progress = Math.min(1, (elapsedMs % shiftIntervalMs) / transitionMs);
        const rates = new Array<number>(modelCount).fill(tailRate / modelCount);
        this.order.forEach((model, rank) => {
            const before = busyRates[rank - (shifts - 1) * modelsPerShift] ?? 0;
            const after = busyRates[rank - shifts * modelsPerShift] ?? 0;
            rates[model] += shifts === 0 ? after : before + (after - before) * progress;
        });
        return rates;
    }
}

export const risingModelsPattern: LoadPattern = {
    name: "rising-models",
    shape: {
        entries: 34,
        engines: engineCount,
        models: modelCount,
        storeLoadsPerSecond: 16,
        routes: [summaries, digests, installPlans],
    },
    durationMs: 30_000,
    initialRates: seed => new PopularityRanking(seed).rates(0),
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const ranking = new PopularityRanking(seed);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const startedAt = Date.now();
        let rates = ranking.rates(0);
        setInterval(() => rates = ranking.rates(Date.now() - startedAt), 500);
        const total = busyRates.reduce((sum, rate) => sum + rate, tailRate);
        const drawModel = () => {
            let remaining = random.uniform() * rates.reduce((sum, rate) => sum + rate, 0);
            return Math.max(0, rates.findIndex(rate => (remaining -= rate) < 0));
        };
        void generator.generate(() => total, () => ({
            ...drawRequestProfile(random),
            service: "s",
            model: `m${drawModel()}`,
            adapter: "",
        }));
        return generator;
    },
};
