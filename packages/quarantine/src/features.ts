/**
 * Features of requests by which crashes are counted: the request itself, and the shared parts of its prompt. A request
 * crashes upstreams because of one of them, whatever the others are.
 *
 * Features that were present at the same crashes in the same requests can't be told apart. They are barred as a
 * combination, which concerns only requests that have all of them.
 */

/** Joins the features of a combination; occurs in no fingerprint. */
const separator = "+";
const partPrefix = "part:";
const variantSeparator = "@";

/** Identifier of a feature that is a part of a prompt, from its digest. */
export function partFeature(digest: string): string {
    return `${partPrefix}${digest}`;
}

/** Identifier of a part at one kind of upstream, from the feature of the part and the digest of both. */
export function partVariant(part: string, digest: string): string {
    return `${part}${variantSeparator}${digest}`;
}

/** Whether a feature is a part at one kind of upstream, and the other the same part whatever executes it. */
export function isVariantOf(feature: string, part: string): boolean {
    return feature.startsWith(`${part}${variantSeparator}`);
}

/** Whether a feature is a part of a prompt rather than a whole request. */
export function isPart(feature: string): boolean {
    return feature.startsWith(partPrefix);
}

/** Identifier of a combination of features, whatever their order; that of a single feature is the feature. */
export function combine(features: Iterable<string>): string {
    return [...features].sort().join(separator);
}

export function featuresOf(combination: string): string[] {
    return combination.split(separator);
}

/** Whether requests with all features of `combination` have all features of `other`. */
export function implies(combination: string, other: string): boolean {
    const features = featuresOf(combination);
    return featuresOf(other).every(feature => features.includes(feature));
}

/** The combination without a feature; undefined if nothing is left. */
export function withoutFeature(combination: string, feature: string): string | undefined {
    const left = featuresOf(combination).filter(other => other !== feature);
    return left.length === 0 ? undefined : combine(left);
}
