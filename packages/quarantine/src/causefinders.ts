/**
 * Finds the features that count as the cause of crashes. They are told apart by elimination: group testing (R. Dorfman,
 * "The Detection of Defective Members of Large Populations", 1943) and fault localization by the spectra of failed and
 * successful runs (J. A. Jones, M. J. Harrold, "Empirical Evaluation of the Tarantula Automatic Fault-Localization
 * Technique", 2005).
 */
import { commonFeatures, type Crash, hasFeature } from "./crashes.js";
import { type CrashIndex } from "./crashindexes.js";
import { countOccasions } from "./crashweights.js";
import { featuresOf, implies, isPart, isVariantOf } from "./features.js";

/** Number of occasions after which a suspect counts as the cause; harmless requests that are retried reach fewer. */
export const occasionsToBar = 3;
/**
 * Features of different requests that were present on all the same occasions can't be told apart; from this many on, all
 * of them count as the cause. Waiting for more crashes avoids refusing harmless requests.
 */
const occasionsToBarAll = 5;
/** Number of crashes from which on a feature may be the cause of a crash that another one is suspected of. */
const crashesToSuspect = 2;
/** Crashes in trials after which a part of prompts may count as the cause; an unrelated crash can hit one of them. */
const minFailedTrials = 2;

/** A feature that is suspected, or features that count as the cause. */
export interface CrashSuspect {
    readonly fingerprint: string;
    /** Size of the body in bytes, if the features include a whole request; otherwise 0. */
    readonly size: number;
    readonly occasions: number;
}

export class CauseFinder {
    public constructor(private readonly index: CrashIndex) {}

    /** Number of occasions that crashes count as for requests with all of the features. */
    public countOccasions(features: readonly string[], crashes: readonly Crash[]): number {
        return countOccasions(features, crashes, this.index.all);
    }

    /** The features that count as the cause by the latest crash, each combined with those that it can't be told from. */
    public findCauses(latest: Crash): CrashSuspect[] {
        const found = new Map<string, CrashSuspect>();
        for (const feature of latest.features()) {
            const features = this.findCause(feature);
            if (features !== undefined) {
                const crashes = this.index.candidates(features);
                const requests = crashes.flatMap(crash => crash.withAll(features));
                const fingerprint = commonFeatures(requests);
                const whole = requests.find(request => featuresOf(fingerprint).includes(request.fingerprint));
                const occasions = this.countOccasions(features, crashes);
                found.set(fingerprint, { fingerprint, size: whole?.size ?? 0, occasions });
            }
        }
        const general = [...found.values()].filter(({ fingerprint }) =>
            ![...found.keys()].some(other => other !== fingerprint && implies(fingerprint, other))
        );
        return general.filter(cause => general.every(other => other === cause || outweighs(cause, other)));
    }

    /**
     * The feature if it counts as the cause; or together with other parts one of which must be the cause, since the
     * feature counts as it but for them. Requests that have all of them crash upstreams in either case.
     */
    private findCause(feature: string): readonly string[] | undefined {
        const crashes = this.index.candidates([feature]);
        if (this.countOccasions([feature], crashes) < occasionsToBar) {
            return undefined;
        }
        if (this.isCause([feature], crashes)) {
            return [feature];
        }
        const alternatives = this.alternatives(feature, crashes);
        const features = [feature, ...alternatives];
        return alternatives.length > 0 && this.isCause(features, this.index.candidates(features))
            ? features
            : undefined;
    }

    /** `crashes`: those that requests with all of the features may have caused. */
    private isCause(features: readonly string[], crashes: readonly Crash[]): boolean {
        const occasions = this.countOccasions(features, crashes);
        if (occasions < occasionsToBar || (features.every(isPart) && !this.isShownByTrials(features, crashes))) {
            return false;
        }
        return occasions >= occasionsToBarAll || !hasRival(features, crashes);
    }

    /**
     * Whether enough crashes that no other suspected feature may have caused were in trials, or one was and the crashes
     * would need as many independent causes as a bar needs occasions. Of a part that many requests share, several run when
     * the first upstream crashes, and none may have shown yet that it is harmless. Whole requests beside it may have caused
     * a crash only if they were at as many: most are retries of requests that ran beside an earlier crash.
     */
    private isShownByTrials(features: readonly string[], crashes: readonly Crash[]): boolean {
        if (!crashes.some(crash => isTrial(crash, features))) {
            return false;
        }
        const isSuspected = memoized(this.suspectedBeside(features, crashes));
        const isStronger = memoized(other =>
            this.countOccasions([other], this.index.candidates([other])) >= this.countOccasions(features, crashes)
        );
        const companions = new Map(crashes.map(crash => [crash, crash.featuresBeside(features)]));
        const open = crashes.filter(crash =>
            !crash.features().some(other =>
                !companions.get(crash)!.has(other) && (isPart(other) || isStronger(other)) && isSuspected(other)
            )
        );
        const suspectedCompanions = (crash: Crash) => [...companions.get(crash)!].filter(isSuspected);
        const trials = open.filter(crash => isTrial(crash, features));
        const unambiguous = trials.filter(crash => suspectedCompanions(crash).length === 0);
        return this.countOccasions(features, unambiguous) >= minFailedTrials
            || (trials.length > 0
                && this.countOccasions(features, onePerCause(open, suspectedCompanions)) >= occasionsToBar);
    }

    /** Tells whether another feature may have caused some of the crashes. */
    private suspectedBeside(features: readonly string[], crashes: readonly Crash[]): (other: string) => boolean {
        const requests = crashes.flatMap(crash => crash.withAll(features));
        return other =>
            !features.includes(other)
            && this.index.candidates([other]).length >= crashesToSuspect
            && !requests.every(request => hasFeature(request, other))
            && !features.some(feature => isVariantOf(other, feature));
    }

    /** Other suspected parts of the requests with a part, at as many of the crashes as a bar needs. */
    private alternatives(part: string, crashes: readonly Crash[]): string[] {
        if (!isPart(part)) {
            return [];
        }
        const counts = countOccurrences(crashes.flatMap(crash => [...crash.featuresBeside([part])].filter(isPart)));
        const isSuspected = this.suspectedBeside([part], crashes);
        return [...counts].filter(([other, count]) => count >= occasionsToBar && isSuspected(other)).map(([other]) =>
            other
        );
    }
}

/** Whether a cause rather than another one explains a crash at which both were present. */
function outweighs(cause: CrashSuspect, other: CrashSuspect): boolean {
    return cause.occasions >= occasionsToBarAll || cause.occasions > other.occasions;
}

/** Whether a request with all of the features ran in a trial when the upstream crashed. */
function isTrial(crash: Crash, features: readonly string[]): boolean {
    return crash.withAll(features).some(suspect => suspect.isTrial);
}

/** One of the crashes each that share a feature, directly or through others, and all that share none. */
function onePerCause(crashes: readonly Crash[], featuresAt: (crash: Crash) => readonly string[]): Crash[] {
    const groups: { readonly first: Crash; readonly features: Set<string>; }[] = [];
    for (const crash of crashes) {
        const features = featuresAt(crash);
        const related = groups.filter(group => features.some(feature => group.features.has(feature)));
        const unrelated = groups.filter(group => !related.includes(group));
        const merged = new Set([...features, ...related.flatMap(group => [...group.features])]);
        groups.splice(0, groups.length, ...unrelated, { first: related.at(0)?.first ?? crash, features: merged });
    }
    return groups.map(({ first }) => first);
}

/** Returns the function with its results kept. */
function memoized(compute: (feature: string) => boolean): (feature: string) => boolean {
    const results = new Map<string, boolean>();
    return feature => {
        let result = results.get(feature);
        if (result === undefined) {
            result = compute(feature);
            results.set(feature, result);
        }
        return result;
    };
}

/**
 * Whether another feature explains the crashes as well. One that was present in all requests with the feature is no rival,
 * since the two are barred in combination. Otherwise, it is one if it was present at the same crashes, or at all but one
 * while there are only as many as needed for a bar: a frequent harmless feature can be present at two crashes of the real
 * cause, and at an unrelated one, before the cause reaches its third. A part at one kind of upstream has to explain all
 * crashes of the part.
 */
function hasRival(features: readonly string[], crashes: readonly Crash[]): boolean {
    const requests = crashes.flatMap(crash => crash.withAll(features));
    const arePartsOnly = features.every(isPart);
    const needed = crashes.length - (crashes.length <= occasionsToBar ? 1 : 0);
    return [...countOccurrences(crashes.flatMap(crash => crash.features()))].some(([other, present]) => {
        if (features.includes(other) || present < needed || requests.every(request => hasFeature(request, other))) {
            return false;
        }
        const isLesser = features.some(feature => isVariantOf(other, feature)) || (arePartsOnly && !isPart(other));
        return present === crashes.length || !isLesser;
    });
}

function countOccurrences(features: readonly string[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const feature of features) {
        counts.set(feature, (counts.get(feature) ?? 0) + 1);
    }
    return counts;
}
