/**
 * Most requests are for models that engines hold, the others for rarely used ones, which are loaded from the weight store
 * in less time than the objective of their route. They should wait for their model instead of being rejected.
 */
import { type Route } from "@winchpath/declarations";
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const modelCount = 120;
const busyModels = 28;
const busyRate = 40;
const rareRate = 7;

/** Labels can wait for a load: their objective is longer, and their deadline several times as long. */
const labels: Route = {
    ...summaries,
    name: "labels",
    prefix: "/labels/",
    objectiveMs: 2020,
    timeoutMs: 8081,
    priority: 2,
};

export const rareModelsPattern: LoadPattern = {
    name: "rare-models",
    shape: {
        entries: 5,
        engines: 13,
        models: modelCount,
        storeLoadsPerSecond: 6,
        storeLoadMs: 1200,
        routes: [summaries, labels],
    },
    durationMs: 30_000,
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const request = { service: "s", adapter: "", promptTokens: 1800, outputTokens: 22 };
        const model = (first: number, count: number) => `m${first + random.integerBelow(count)}`;
        void generator.generate(() => busyRate, () => ({ ...request, route: summaries, model: model(0, busyModels) }));
        void generator.generate(() => rareRate, () => ({ ...request, route: labels, model: model(0, modelCount) }));
        return generator;
    },
};
