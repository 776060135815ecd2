/**
 * Some engines are in need and name a rate of about one request a second, a third of their part, while the others are
 * well. One model gets two fifths of the requests, and there are as many models as places.
 *
 * Seen on a users' day: 13 engines, 39 models, 50 requests a second through five entries; two engines with replicas of the busiest
 * model named 1.0 and 1.3 a second. A good system keeps to the rates and serves nearly all elsewhere.
 */
import { Callers, type Tally } from "../callers.js";
import { Draws } from "../draws.js";
import { type SimulatedFleet } from "../fleets.js";
import { drawKind } from "../kinds.js";
import { digests, installPlans, summaries } from "../routes.js";
import { type Pattern } from "./patterns.js";

const models = 39;
const requestsPerSecond = 50;
/** Shares of the requests for the busiest models; the rest is spread over all. */
const busyShares = [0.38, 0.14, 0.14, 0.09, 0.06, 0.05, 0.03];
const limitedEngines = 2;
const limitPerSecond = 1.1;
const limitFromMs = 4000;
const limitForMs = 20_000;
const endMs = 32_000;

export const limitedEnginesPattern: Pattern = {
    name: "limited-engines",
    shape: { entries: 5, engines: 13, models, storeLoadsPerSecond: 2.1, routes: [summaries, digests, installPlans] },
    forMs: endMs,
    firstRates: () => Array.from({ length: models }, (_, index) => (busyShares[index] ?? 0.01) * requestsPerSecond),
    play(fleet: SimulatedFleet, tally: Tally, seed: number): Callers {
        const draws = new Draws(seed + 1);
        const callers = new Callers(fleet.entries, draws, tally);
        const limited = draws.shuffled(fleet.engines.length).slice(0, limitedEngines).map(index =>
            fleet.engines[index]
        );
        const from = Date.now() + limitFromMs;
        limited.forEach(engine => engine.named = { perSecond: limitPerSecond, from, until: from + limitForMs });
        const drawModel = () => {
            let left = draws.share();
            const busy = busyShares.findIndex(share => (left -= share) < 0);
            return busy === -1 ? draws.index(models) : busy;
        };
        void callers.ask(() => requestsPerSecond, () => ({
            ...drawKind(draws),
            service: "s",
            model: `m${drawModel()}`,
            adapter: "",
        }));
        return callers;
    },
};
