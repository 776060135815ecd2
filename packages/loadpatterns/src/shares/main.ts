/** Prints what accounts lose to a noisy one in each scenario and mode, over several seeds. */
import { compareShares, shareScenarios } from "./all.js";
import { shareModes } from "./scenarios.js";

const seeds = [1, 2, 3];

for (const scenario of shareScenarios) {
    for (const mode of shareModes) {
        const { othersLoss, worstLoss, noisyGain, total } = await compareShares(scenario, mode, seeds);
        const figures = {
            scenario: scenario.name,
            mode,
            othersLoss: Number(othersLoss.toFixed(3)),
            worstLoss: Number(worstLoss.toFixed(3)),
            noisyGain: Number(noisyGain.toFixed(2)),
            total,
        };
        process.stdout.write(`${JSON.stringify(figures)}\n`);
    }
}
