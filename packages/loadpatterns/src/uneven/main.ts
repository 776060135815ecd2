/** Prints how each policy serves each scenario, as means over several seeds. */
import { mean } from "simple-statistics";
import { unevenPolicies, unevenScenarios } from "./all.js";
import { runUnevenScenario } from "./unevensimulations.js";

const seeds = [1, 2, 3, 4, 5, 6];

for (const scenario of unevenScenarios) {
    for (const [policy, selecting] of Object.entries(unevenPolicies)) {
        const results = seeds.map(seed => runUnevenScenario(scenario, selecting, seed));
        const figures = {
            scenario: scenario.name,
            policy,
            inTime: Number(mean(results.map(({ inTime }) => inTime)).toFixed(3)),
            busiest: Number(mean(results.map(({ busiest }) => busiest)).toFixed(3)),
            imbalance: Number(mean(results.map(({ imbalance }) => imbalance)).toFixed(2)),
        };
        process.stdout.write(`${JSON.stringify(figures)}\n`);
    }
}
