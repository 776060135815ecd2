/** Prints how each policy enforces the limit in each scenario, aggregated over several seeds. */
import { mean } from "simple-statistics";
import { limitPolicies, limitScenarios } from "./all.js";
import { runLimitScenario } from "./scenarios.js";

const seeds = [1, 2, 3];

for (const scenario of limitScenarios) {
    for (const [name, createPolicy] of Object.entries(limitPolicies)) {
        const results = [];
        for (const seed of seeds) {
            results.push(await runLimitScenario(scenario, createPolicy, seed));
        }
        const figures = {
            scenario: scenario.name,
            policy: name,
            refusedBelow: Number(mean(results.map(({ refusedBelow }) => refusedBelow)).toFixed(3)),
            over: Number(Math.max(...results.map(({ over }) => over)).toFixed(3)),
            waitP99Ms: Math.max(...results.map(({ waitP99Ms }) => waitP99Ms)),
            messagesPerSecond: Math.round(mean(results.map(({ messagesPerSecond }) => messagesPerSecond))),
        };
        process.stdout.write(`${JSON.stringify(figures)}\n`);
    }
}
