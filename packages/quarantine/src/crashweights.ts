/** Weighs the crashes that count against a request: several that may share an external cause count as one. */
import { type Crash } from "./crashes.js";
import { implies } from "./features.js";

/**
 * Tolerance when comparing times from two reports, in milliseconds, for message delays and busy processes. A retry may
 * be sent within a millisecond of a crash.
 */
const timingToleranceMs = 25;
/**
 * Crashes within this time of each other may share an external cause, such as a power failure of a rack, in
 * milliseconds: the crashes are spread over some 10 ms, and each report may be off by {@link timingToleranceMs}. Such
 * crashes are weighted to count as one, so that harmless requests aren't barred after repeated outages.
 */
const correlationWindowMs = 75;
/** Tolerance for rounding errors in sums of weights. */
export const weightTolerance = 1e-9;

/** Number of occasions that crashes count as. `all`: all crashes that may be correlated with those in `crashes`. */
export function countOccasions(features: readonly string[], crashes: readonly Crash[], all: Iterable<Crash>): number {
    return Math.floor(totalWeight(features, crashes, all) + weightTolerance);
}

/**
 * Number of crashes that count against a request. Of copies that run at the same time only one counts, since they may
 * have an external cause in common, and correlated crashes share their weight. `all`: all crashes that may be
 * correlated with those in `crashes`.
 */
export function totalWeight(features: readonly string[], crashes: readonly Crash[], all: Iterable<Crash>): number {
    const counted = sequentialCrashes(features, crashes);
    if (counted.length < 2) {
        return counted.length;
    }
    const known = [...all];
    return counted.reduce((sum, crash) => sum + 1 / countCorrelated(features, crash, known), 0);
}

/** Crashes of a request, oldest first, whose upstream received it after the previous one of them. */
function sequentialCrashes(features: readonly string[], crashes: readonly Crash[]): Crash[] {
    const counted: Crash[] = [];
    for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
        const previous = counted.at(-1);
        if (previous === undefined || sentAfter(features, crash, previous)) {
            counted.push(crash);
        }
    }
    return counted;
}

/** Whether a request was sent to the crashed upstream after the previous crash. */
function sentAfter(features: readonly string[], crash: Crash, previous: Crash): boolean {
    return crash.sentAt(features) > previous.at - timingToleranceMs;
}

/**
 * Number of crashes that coincide with a crash, including itself. Crashes attributed to other causes don't count, nor
 * those that the same request caused before or after as it was retried.
 */
function countCorrelated(features: readonly string[], crash: Crash, all: readonly Crash[]): number {
    return all.filter(other => {
        if (other === crash) {
            return true;
        }
        if (Math.abs(other.at - crash.at) > correlationWindowMs) {
            return false;
        }
        const isExplained = other.cause !== undefined
            && !features.every(feature => implies(other.cause!, feature));
        return !isExplained && !areInSequence(features, crash, other);
    }).length;
}

function areInSequence(features: readonly string[], one: Crash, other: Crash): boolean {
    if (!other.has(features)) {
        return false;
    }
    const [earlier, later] = one.at <= other.at ? [one, other] : [other, one];
    return sentAfter(features, later, earlier);
}
