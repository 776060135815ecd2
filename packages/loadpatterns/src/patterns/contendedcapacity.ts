/**
 * Requests of three priorities ask for half as much again as the engines can process, for a part of the time. The most
 * urgent ones should be served first over all entries, and returns should find capacity.
 */
import { type Route } from "@winchpath/declarations";
import { type SimulatedFleet } from "../fleets.js";
import { LoadGenerator, type OutcomeCounts } from "../loadgenerators.js";
import { summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";
import { type LoadPattern } from "./patterns.js";

const modelCount = 12;
/** Requests per second of each route before and after the overload, and during it. */
const usualRate = 8;
const overloadRate = 20;
const overloadFromMs = 5000;
const overloadUntilMs = 20_000;

function routeOf(priority: number): Route {
    return { ...summaries, name: `priority-${priority}`, prefix: `/p${priority}/`, priority };
}

/** The routes of the pattern, the most urgent first. */
export const contendedRoutes: readonly Route[] = [routeOf(0), routeOf(1), routeOf(2)];

export const contendedCapacityPattern: LoadPattern = {
    name: "contended-capacity",
    shape: {
        entries: 6,
        engines: 4,
        models: modelCount,
        storeLoadsPerSecond: 2,
        slots: 6,
        routes: contendedRoutes,
        isCapacityContended: true,
    },
    durationMs: 25_000,
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator {
        const random = new SeededRandom(seed + 1);
        const generator = new LoadGenerator(fleet.entries, random, outcomes);
        const startedAt = Date.now();
        const isOverload = () => {
            const elapsedMs = Date.now() - startedAt;
            return elapsedMs >= overloadFromMs && elapsedMs < overloadUntilMs;
        };
        const request = { service: "s", adapter: "", promptTokens: 1800, outputTokens: 22 };
        for (const route of contendedRoutes) {
            void generator.generate(() => isOverload() ? overloadRate : usualRate, () => ({
                ...request,
                route,
                model: `m${random.integerBelow(modelCount)}`,
            }));
        }
        return generator;
    },
};
