/** `npm run measure [-- --quick | -- --capacity]`: the figures of docs/MEASURES.md and docs/CAPACITY.md, a JSON line each. */
import { measureCapacity } from "./capacity.js";
import { type DecisionFigures, measureDecisions } from "./decisions.js";
import { measurePaths } from "./paths.js";
import { NaivePolicy, WinchpathPolicy } from "./policies.js";
import { type Fleet, fleets, makeTrace } from "./traces.js";

const quick = process.argv.includes("--quick");
const traceMs = quick ? 50_000 : 120_000;
const seeds = quick ? [1] : [1, 2, 3];

interface Figure {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    readonly naive?: number;
    readonly [label: string]: unknown;
}

function tell(figure: Figure): void {
    process.stdout.write(`${JSON.stringify(figure)}\n`);
}

if (process.argv.includes("--capacity")) {
    await measureCapacity(tell);
}
else {
    await measurePaths(quick, tell);
    for (const fleet of fleets) {
        for (const seed of seeds) {
            await tellDecisions(fleet, seed);
        }
    }
}

/** The same trace by winchpath's decisions and by two naive ones. */
async function tellDecisions(fleet: Fleet, seed: number): Promise<void> {
    const trace = makeTrace(fleet, traceMs, seed);
    const ours = await measureDecisions(fleet, trace, new WinchpathPolicy());
    const naive = await measureDecisions(fleet, trace, new NaivePolicy(false));
    const spread = quick ? undefined : await measureDecisions(fleet, trace, new NaivePolicy(true));
    const labels = { deployment: fleet.name, seed, requests: ours.requests };
    const compare = (name: string, unit: string, pick: (figures: DecisionFigures) => number) =>
        tell({ name, value: pick(ours), unit, naive: pick(naive), naiveSpread: spread && pick(spread), ...labels });
    compare("attainment_per_accelerator", "requests/s", figures => figures.perAccelerator);
    compare("attainment", "share", figures => figures.attainment);
    compare("moves", "orders", figures => figures.moves);
    compare("refused", "requests", figures => figures.refused);
    compare("failed", "requests", figures => figures.failed);
}
