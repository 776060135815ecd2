/** The mix of request types that load patterns use. */
import { type RequestSpec } from "./loadgenerators.js";
import { digests, installPlans, summaries } from "./routes.js";
import { type SeededRandom } from "./seededrandoms.js";

/** Fractions of requests for digests and for plans; the others are for summaries. */
const digestRatio = 0.08;
const planRatio = 0.21;

/** Picks the route and token counts of a request at random. */
export function drawRequestProfile(random: SeededRandom): Pick<RequestSpec, "route" | "promptTokens" | "outputTokens"> {
    const sample = random.uniform();
    if (sample < planRatio) {
        return { route: installPlans, promptTokens: 1110, outputTokens: 172 };
    }
    return { route: sample < planRatio + digestRatio ? digests : summaries, promptTokens: 1800, outputTokens: 22 };
}
