/** Paired comparison of a load pattern with and without some mechanisms, over the same seeds. */
import { mean, quantile, sampleStandardDeviation, sampleWithReplacement } from "simple-statistics";
import { type Mechanism } from "./mechanisms.js";
import { type LoadPattern, type PatternResult, runPattern } from "./patterns/index.js";
import { SeededRandom } from "./seededrandoms.js";

const bootstrapSamples = 4000;
const confidence = 0.95;

/** A metric with and without the mechanisms, as means over the same seeds. */
export interface PairedMetric {
    readonly name: string;
    readonly with: number;
    readonly without: number;
    /** Mean of the paired differences: with minus without. */
    readonly difference: number;
    /** Lower end of the confidence interval of `difference`. */
    readonly low: number;
    /** Upper end of the confidence interval of `difference`. */
    readonly high: number;
    /** Sample standard deviation of the paired differences. */
    readonly spread: number;
}

const metrics: Readonly<Record<string, (result: PatternResult) => number>> = {
    "in time": ({ outcomes }) => outcomes.withinObjectiveRatio,
    "late": ({ outcomes }) => outcomes.overObjective / Math.max(1, outcomes.total),
    "refused": ({ outcomes }) => outcomes.refused / Math.max(1, outcomes.total),
    "with a gap": ({ outcomes }) => outcomes.gapped / Math.max(1, outcomes.total),
    "prefilled again": ({ sharedPrefillRatio }) => sharedPrefillRatio,
    "failed": ({ outcomes }) => outcomes.failed / Math.max(1, outcomes.total),
    "loads from the store": ({ storeLoads }) => storeLoads,
    "busiest engine by mean": ({ busiestRatio }) => busiestRatio,
};

/** Runs a pattern for each seed with all mechanisms, and again without the given ones. */
export async function compare(
    pattern: LoadPattern,
    without: ReadonlySet<Mechanism>,
    seeds: number,
): Promise<PairedMetric[]> {
    const pairs: { readonly full: PatternResult; readonly reduced: PatternResult; }[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
        pairs.push({ full: await runPattern(pattern, seed), reduced: await runPattern(pattern, seed, without) });
    }
    return Object.entries(metrics).map(([name, metric]) => {
        const differences = pairs.map(({ full, reduced }) => metric(full) - metric(reduced));
        const [low, high] = bootstrapInterval(differences);
        return {
            name,
            with: mean(pairs.map(({ full }) => metric(full))),
            without: mean(pairs.map(({ reduced }) => metric(reduced))),
            difference: mean(differences),
            low,
            high,
            spread: seeds < 2 ? 0 : sampleStandardDeviation(differences),
        };
    });
}

/** Returns the bootstrap confidence interval of the mean. */
function bootstrapInterval(differences: readonly number[]): [number, number] {
    const random = new SeededRandom(1);
    const means = Array.from(
        { length: bootstrapSamples },
        () => mean(sampleWithReplacement([...differences], differences.length, () => random.uniform())),
    );
    return [quantile(means, (1 - confidence) / 2), quantile(means, (1 + confidence) / 2)];
}
