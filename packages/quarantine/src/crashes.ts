/** A crash of one incarnation of an upstream, and the requests that were running there. */
import Type, { type Static } from "typebox";
import { combine } from "./features.js";

/** Bound on the suspects kept per crash; more than an upstream runs and queues at once. */
const maxSuspectsPerCrash = 512;

/** A request that was running at an upstream when it crashed. */
export interface SuspectRecord {
    readonly fingerprint: string;
    readonly size: number;
    /** Milliseconds since the Unix epoch, by the leader's clock; of several copies, the latest. */
    readonly sentAt: number;
    /** Upstreams known to have crashed under it before it was sent. */
    readonly sentAfter: readonly string[];
    /** Features of its prompt that were not known to be harmless. */
    readonly parts: readonly string[];
    /** Whether it ran in a trial. */
    readonly isTrial: boolean;
}

/** Stored form of a crash. */
export const StoredCrash = Type.Object({
    upstream: Type.String(),
    at: Type.Number(),
    suspects: Type.Array(Type.Object({
        fingerprint: Type.String(),
        size: Type.Integer(),
        sentAt: Type.Number(),
        sentAfter: Type.Optional(Type.Array(Type.String())),
        parts: Type.Optional(Type.Array(Type.String())),
        isTrial: Type.Optional(Type.Boolean()),
    })),
    cause: Type.Optional(Type.String()),
});
export type StoredCrash = Static<typeof StoredCrash>;

export class Crash {
    /** The features that the crash is attributed to. */
    public cause: string | undefined;
    /** By fingerprint. */
    private readonly suspects = new Map<string, SuspectRecord>();
    /** Suspects by each of their features; undefined if they have changed since. */
    private index: Map<string, SuspectRecord[]> | undefined;

    /** `at`: milliseconds since the Unix epoch, by the leader's clock. */
    public constructor(public readonly upstream: string, public at: number) {}

    public static restore({ upstream, at, suspects, cause }: StoredCrash): Crash {
        const crash = new Crash(upstream, at);
        suspects.forEach(({ sentAfter = [], parts = [], isTrial = false, ...suspect }) =>
            crash.suspects.set(suspect.fingerprint, { ...suspect, sentAfter, parts, isTrial })
        );
        crash.cause = cause;
        return crash;
    }

    public snapshot(): StoredCrash {
        return {
            upstream: this.upstream,
            at: this.at,
            suspects: [...this.suspects.values()].map(({ sentAfter, parts, isTrial, ...suspect }) => ({
                ...suspect,
                ...(isTrial ? { isTrial } : {}),
                ...(sentAfter.length === 0 ? {} : { sentAfter: [...sentAfter] }),
                ...(parts.length === 0 ? {} : { parts: [...parts] }),
            })),
            ...(this.cause === undefined ? {} : { cause: this.cause }),
        };
    }

    /** Adds a suspect, or what another entry reports about it: a part is harmless if either entry knows that it is. */
    public add(suspect: SuspectRecord): void {
        const previous = this.suspects.get(suspect.fingerprint);
        if (previous === undefined) {
            if (this.suspects.size < maxSuspectsPerCrash) {
                this.put(suspect);
            }
            return;
        }
        this.put({
            ...suspect,
            sentAt: Math.max(previous.sentAt, suspect.sentAt),
            sentAfter: [...new Set([...previous.sentAfter, ...suspect.sentAfter])],
            parts: previous.parts.filter(part => suspect.parts.includes(part)),
            isTrial: previous.isTrial || suspect.isTrial,
        });
    }

    public put(suspect: SuspectRecord): void {
        this.suspects.set(suspect.fingerprint, suspect);
        this.index = undefined;
    }

    /** Removes a feature that turned out to be harmless. */
    public clear(feature: string): void {
        if (!this.has([feature])) {
            return;
        }
        this.suspects.delete(feature);
        for (const suspect of this.withAll([feature])) {
            if (suspect.fingerprint !== feature) {
                this.suspects.set(suspect.fingerprint, {
                    ...suspect,
                    parts: suspect.parts.filter(part => part !== feature),
                });
            }
        }
        this.index = undefined;
    }

    public requests(): SuspectRecord[] {
        return [...this.suspects.values()];
    }

    /** All features of the suspects. */
    public features(): string[] {
        return [...this.byFeature.keys()];
    }

    /** Suspects that have all of the features. */
    public withAll(features: readonly string[]): SuspectRecord[] {
        const [first, ...others] = features;
        const suspects = this.byFeature.get(first) ?? [];
        return others.length === 0
            ? suspects
            : suspects.filter(suspect => others.every(feature => hasFeature(suspect, feature)));
    }

    /** Other features of the suspects that have all of the given ones. */
    public featuresBeside(features: readonly string[]): ReadonlySet<string> {
        const found = new Set(this.withAll(features).flatMap(({ fingerprint, parts }) => [fingerprint, ...parts]));
        features.forEach(feature => found.delete(feature));
        return found;
    }

    /** Whether a suspect has all of the features. */
    public has(features: readonly string[]): boolean {
        return this.withAll(features).length > 0;
    }

    /** Latest time at which a suspect with all of the features was sent. */
    public sentAt(features: readonly string[]): number {
        return Math.max(...this.withAll(features).map(({ sentAt }) => sentAt));
    }

    private get byFeature(): Map<string, SuspectRecord[]> {
        if (this.index === undefined) {
            this.index = new Map();
            for (const suspect of this.suspects.values()) {
                for (const feature of [suspect.fingerprint, ...suspect.parts]) {
                    const suspects = this.index.get(feature);
                    if (suspects === undefined) {
                        this.index.set(feature, [suspect]);
                    }
                    else {
                        suspects.push(suspect);
                    }
                }
            }
        }
        return this.index;
    }
}

/** The features of a request that are suspected. */
type SuspectedFeatures = Pick<SuspectRecord, "fingerprint" | "parts">;

export function hasFeature({ fingerprint, parts }: SuspectedFeatures, feature: string): boolean {
    return fingerprint === feature || parts.includes(feature);
}

/** The features that all given requests have in common. */
export function commonFeatures(requests: readonly SuspectedFeatures[]): string {
    const [first, ...others] = requests;
    return combine(
        [first.fingerprint, ...first.parts].filter(feature => others.every(request => hasFeature(request, feature))),
    );
}
