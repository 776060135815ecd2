/** `npm run measure [-- --quick | -- --capacity]`: prints the data of docs/MEASURES.md and docs/CAPACITY.md as JSON lines. */
import { measureCapacity } from "./capacity.js";
import { type DecisionMetrics, measureDecisions } from "./decisions.js";
import { measurePaths } from "./paths.js";
import { NaivePolicy, WinchpathPolicy } from "./policies.js";
import { type Fleet, fleets, generateTrace } from "./traces.js";

const quick = process.argv.includes("--quick");
const traceMs = quick ? 50_000 : 120_000;
const seeds = quick ? [1] : [1, 2, 3];

interface Measurement {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    readonly naive?: number;
    readonly [label: string]: unknown;
}

function emit(measurement: Measurement): void {
    process.stdout.write(`${JSON.stringify(measurement)}\n`);
}

if (process.argv.includes("--capacity")) {
    await measureCapacity(emit);
}
else {
    await measurePaths(quick, emit);
    for (const fleet of fleets) {
        for (const seed of seeds) {
            await comparePolicies(fleet, seed);
        }
    }
}

/** Replays one trace under winchpath's policy and the naive baselines. */
async function comparePolicies(fleet: Fleet, seed: number): Promise<void> {
    const trace = generateTrace(fleet, traceMs, seed);
    const winchpath = await measureDecisions(fleet, trace, new WinchpathPolicy());
    const naive = await measureDecisions(fleet, trace, new NaivePolicy(false));
    const naiveSpread = quick ? undefined : await measureDecisions(fleet, trace, new NaivePolicy(true));
    const labels = { deployment: fleet.name, seed, requests: winchpath.requests };
    const emitComparison = (name: string, unit: string, pick: (metrics: DecisionMetrics) => number) =>
        emit({
            name,
            value: pick(winchpath),
            unit,
            naive: pick(naive),
            naiveSpread: naiveSpread && pick(naiveSpread),
            ...labels,
        });
    emitComparison("attainment_per_accelerator", "requests/s", metrics => metrics.attainedPerAccelerator);
    emitComparison("attainment", "share", metrics => metrics.attainment);
    emitComparison("moves", "orders", metrics => metrics.moves);
    emitComparison("refused", "requests", metrics => metrics.refused);
    emitComparison("failed", "requests", metrics => metrics.failed);
}
