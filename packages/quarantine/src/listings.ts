/** Listed requests by the features that a request must have to be concerned. */
import { featuresOf } from "./features.js";
import { type ListedRequest } from "./quarantinechanges.js";

/** What is listed about a request. */
export interface ListingMatch {
    /** A barred combination whose features the request has. */
    readonly barred: ListedRequest | undefined;
    /** Suspected features of the request. */
    readonly suspected: readonly ListedRequest[];
}

export const noMatch: ListingMatch = { barred: undefined, suspected: [] };

export class Listings {
    /** By combination. */
    private readonly listed = new Map<string, ListedRequest>();
    /** Combinations by each of their features. */
    private readonly byFeature = new Map<string, Set<string>>();

    public get size(): number {
        return this.listed.size;
    }

    public get(combination: string): ListedRequest | undefined {
        return this.listed.get(combination);
    }

    public all(): ListedRequest[] {
        return [...this.listed.values()];
    }

    public put(request: ListedRequest): void {
        const { fingerprint } = request;
        this.listed.set(fingerprint, request);
        for (const feature of featuresOf(fingerprint)) {
            const combinations = this.byFeature.get(feature) ?? new Set();
            this.byFeature.set(feature, combinations.add(fingerprint));
        }
    }

    /** Returns what was listed. */
    public delete(combination: string): ListedRequest | undefined {
        const request = this.listed.get(combination);
        if (request === undefined) {
            return undefined;
        }
        this.listed.delete(combination);
        for (const feature of featuresOf(combination)) {
            const combinations = this.byFeature.get(feature)!;
            combinations.delete(combination);
            if (combinations.size === 0) {
                this.byFeature.delete(feature);
            }
        }
        return request;
    }

    /** `features`: all features of a request that may be listed. */
    public match(features: readonly string[]): ListingMatch {
        const found = new Set(features.flatMap(feature => [...this.byFeature.get(feature) ?? []]));
        if (found.size === 0) {
            return noMatch;
        }
        const present = new Set(features);
        const matching = [...found]
            .filter(combination => featuresOf(combination).every(feature => present.has(feature)))
            .map(combination => this.listed.get(combination)!);
        return {
            barred: matching.find(({ standing }) => standing === "barred"),
            suspected: matching.filter(({ standing }) => standing === "suspected"),
        };
    }
}
