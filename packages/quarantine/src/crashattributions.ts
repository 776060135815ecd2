/**
 * Determines what crashes upstreams, out of the many requests that run at each. Every feature of a request that had just
 * begun is a suspect (see `features.ts`); one that is present on three occasions counts as the cause, and crashes that it
 * explains no longer count against others. Crashes that may share an external cause count as one occasion together.
 */
import { CauseFinder, type CrashSuspect, occasionsToBar } from "./causefinders.js";
import { type Crash, type StoredCrash } from "./crashes.js";
import { CrashIndex, type CrashRecord, mayBeCausedBy } from "./crashindexes.js";
import { totalWeight, weightTolerance } from "./crashweights.js";
import { featuresOf, implies, isPart } from "./features.js";

/**
 * Upstreams that may crash while running a request before it is no longer retried automatically. One retry serves the
 * harmless requests that ran beside the cause; a second would follow within milliseconds, before entries know of the
 * crash.
 */
export const maxCrashesPerRequest = 2;

/** Combinations of features that are barred or on probation. */
export interface QuarantinedRequests {
    readonly barred: readonly string[];
    readonly onProbation: readonly string[];
}

/** Result of evaluating a crash. */
export interface AttributionResult {
    /** Combinations that count as the cause from now on. */
    readonly causes: readonly CrashSuspect[];
    /** Barred combinations whose crashes turned out to coincide with others, so that the bar is no longer justified. */
    readonly unfounded: readonly string[];
}

export class CrashAttribution {
    private readonly index = new CrashIndex();
    private readonly causeFinder = new CauseFinder(this.index);

    /**
     * Records a crash and evaluates the suspects again. The crash is attributed to a combination in `quarantined` if a
     * request with all of its features was running.
     */
    public recordCrash(report: CrashRecord, quarantined: QuarantinedRequests): AttributionResult {
        const founded = quarantined.barred.filter(combination =>
            this.attributedWeight(combination) >= occasionsToBar - weightTolerance
        );
        const crash = this.index.add(report);
        crash.cause ??= [...quarantined.barred, ...quarantined.onProbation].find(combination =>
            crash.has(featuresOf(combination))
        );
        const unfounded = this.revokeUnfounded(founded);
        this.index.dropOldest();
        if (crash.cause !== undefined) {
            return { causes: [], unfounded };
        }
        const causes = this.causeFinder.findCauses(crash);
        causes.forEach(({ fingerprint }) => this.attributeTo(fingerprint));
        return { causes, unfounded };
    }

    /**
     * Returns barred combinations whose crashes weigh too little now that correlated crashes are known, and clears the
     * attributions.
     */
    private revokeUnfounded(founded: readonly string[]): string[] {
        const unfounded = founded.filter(combination =>
            this.attributedWeight(combination) < occasionsToBar - weightTolerance
        );
        unfounded.flatMap(combination => this.attributedCrashes(combination))
            .forEach(crash => crash.cause = undefined);
        return unfounded;
    }

    /** Total weight of the crashes that are attributed to a combination. */
    private attributedWeight(combination: string): number {
        const features = featuresOf(combination);
        const crashes = this.attributedCrashes(combination).filter(crash => crash.has(features));
        return totalWeight(features, crashes, this.index.all);
    }

    private attributedCrashes(combination: string): Crash[] {
        return this.index.all.filter(({ cause }) => cause === combination);
    }

    /**
     * The suspected features with their occasions: those that were present at several crashes, and parts that were at one,
     * the latest first and `maxSingle` at most.
     */
    public suspects(maxSingle: number): CrashSuspect[] {
        const repeated = [...this.index.repeatedFeatures].flatMap(feature => this.describe(feature) ?? []);
        const single: CrashSuspect[] = [];
        for (const crash of this.index.all.reverse()) {
            if (single.length >= maxSingle) {
                break;
            }
            crash.features()
                .filter(feature =>
                    isPart(feature) && !this.index.repeatedFeatures.has(feature) && mayBeCausedBy(crash, [feature])
                )
                .forEach(fingerprint => single.push({ fingerprint, size: 0, occasions: 1 }));
        }
        return [...repeated, ...single.slice(0, maxSingle)];
    }

    /** Undefined if no crash may have been caused by the feature. */
    private describe(feature: string): CrashSuspect | undefined {
        const crashes = this.index.candidates([feature]);
        if (crashes.length === 0) {
            return undefined;
        }
        const [{ fingerprint, size }] = crashes[0].withAll([feature]);
        // A part stays suspected even if its crashes weigh less than one occasion, since they coincided with others.
        const occasions = Math.max(isPart(feature) ? 1 : 0, this.causeFinder.countOccasions([feature], crashes));
        return { fingerprint: feature, size: fingerprint === feature ? size : 0, occasions };
    }

    /**
     * Clears a feature of suspicion after a request with it completed successfully. Of a combination that it belonged to,
     * the other features remain the cause.
     */
    public clear(feature: string): void {
        this.index.clear(feature);
    }

    /** Removes crashes before a time. */
    public removeBefore(at: number): void {
        this.index.removeBefore(at);
    }

    public snapshot(): StoredCrash[] {
        return this.index.snapshot();
    }

    public restore(stored: readonly StoredCrash[]): void {
        this.index.restore(stored);
    }

    /** Attributes the crashes that a combination may have caused to it. */
    private attributeTo(combination: string): void {
        const features = featuresOf(combination);
        for (const crash of this.index.all) {
            const isOpen = crash.cause === undefined || implies(crash.cause, combination);
            if (isOpen && crash.has(features)) {
                crash.cause = combination;
            }
        }
    }
}
