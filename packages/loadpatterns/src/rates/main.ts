/** Prints how each policy enforces a rate limit, aggregated by policy, number of entries and fault. */
import { mean, quantile } from "simple-statistics";
import yargs from "yargs";
import { ratePolicies, rateScenarios } from "./all.js";
import { type RateResult, runRateScenario } from "./ratesimulations.js";

const argv = await yargs(process.argv.slice(2))
    .usage("$0 [--policy NAME] [--seeds N]")
    .option("policy", { choices: Object.keys(ratePolicies), array: true, default: Object.keys(ratePolicies) })
    .option("seeds", { type: "number", default: 2 })
    .strict()
    .parseAsync();

const seeds = Array.from({ length: argv.seeds }, (_, index) => index + 1);

for (const policy of argv.policy) {
    for (const entries of new Set(rateScenarios.map(scenario => scenario.entries))) {
        for (const trouble of new Set(rateScenarios.map(scenario => scenario.fault))) {
            const scenarios = rateScenarios.filter(scenario =>
                scenario.entries === entries && scenario.fault === trouble
            );
            const results = scenarios.flatMap(scenario =>
                seeds.map(seed => runRateScenario(scenario, ratePolicies[policy], seed))
            );
            process.stdout.write(`${JSON.stringify({ policy, entries, trouble, ...summarize(results) })}\n`);
        }
    }
}

function summarize(results: readonly RateResult[]) {
    const used = results.flatMap(result => result.used ?? []);
    return {
        plays: results.length,
        over: results.filter(({ worst }) => worst > 1).length,
        worst: Number(Math.max(...results.map(({ worst }) => worst)).toFixed(2)),
        usedMedian: Number(quantile(used, 0.5).toFixed(2)),
        usedLow: Number(quantile(used, 0.1).toFixed(2)),
        messagesPerSecond: Math.round(mean(results.map(({ messagesPerSecond }) => messagesPerSecond))),
        bytesPerSecond: Math.round(mean(results.map(({ bytesPerSecond }) => bytesPerSecond))),
    };
}
