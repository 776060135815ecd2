/**
 * Determines which request crashes upstreams, out of the many that run at each. Every request that had just begun is a
 * suspect; one that is present on three occasions counts as the cause, and crashes that it explains no longer
 * count against others. Crashes that may share an external cause count as one occasion together.
 */
import Type, { type Static } from "typebox";
import { type Suspect } from "./commands.js";

/**
 * Upstreams that may crash while running a request before it is no longer retried automatically. One retry serves the
 * harmless requests that ran beside the cause; a second would follow within milliseconds, before entries know of the
 * crash.
 */
export const maxCrashesPerRequest = 2;
/**
 * Number of occasions after which a suspect counts as the cause; harmless requests that are retried reach fewer.
 */
export const occasionsToBar = 3;
/**
 * Requests that were present on all the same occasions can't be told apart; from this many on, all of them count as the
 * cause. Waiting for more crashes avoids refusing harmless requests.
 */
const occasionsToBarAll = 5;
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
/** Time by which a crash follows the sending of a request whose times contradict the known order, in milliseconds. */
const minRunMs = 1;
/** Tolerance for rounding errors in sums of weights. */
const weightTolerance = 1e-9;
/** Bound on the crashes kept; the oldest are evicted. */
const maxCrashes = 256;
/** Bound on the suspects kept per crash; more than an upstream runs and queues at once. */
const maxSuspectsPerCrash = 512;

/** A crash of one incarnation of an upstream. */
interface Crash {
    /** Milliseconds since the Unix epoch, by the leader's clock. */
    at: number;
    readonly suspects: Map<string, SuspectRecord>;
    /** The request that the crash is attributed to. */
    cause: string | undefined;
}

/** A request that was running at an upstream when it crashed. */
interface SuspectRecord {
    readonly size: number;
    /** Milliseconds since the Unix epoch, by the leader's clock; of several copies, the latest. */
    readonly sentAt: number;
    /** Upstreams known to have crashed under it before it was sent. */
    readonly sentAfter: readonly string[];
}

/** A request that is suspected, or that counts as the cause. */
export interface CrashSuspect {
    readonly fingerprint: string;
    readonly size: number;
    readonly occasions: number;
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
    })),
    cause: Type.Optional(Type.String()),
});
export type StoredCrash = Static<typeof StoredCrash>;

/** Report of a crash; times in milliseconds since the Unix epoch. */
export interface CrashRecord {
    readonly upstream: string;
    readonly at: number;
    readonly reportedAt: number;
    readonly suspects: readonly Suspect[];
}

/** Requests that are barred or on probation. */
export interface QuarantinedRequests {
    readonly barred: () => string[];
    readonly isBarred: (fingerprint: string) => boolean;
    readonly isOnProbation: (fingerprint: string) => boolean;
}

/** Result of evaluating a crash. */
export interface AttributionResult {
    /** Requests that count as the cause from now on. */
    readonly causes: readonly CrashSuspect[];
    /** Barred requests whose crashes turned out to coincide with others, so that the bar is no longer justified. */
    readonly unfounded: readonly string[];
}

export class CrashAttribution {
    /** By upstream id, oldest first. */
    private readonly crashes = new Map<string, Crash>();

    /**
     * Records a crash and evaluates the suspects again. The crash is attributed to a request in `quarantined` if one of
     * them was running.
     */
    public recordCrash(report: CrashRecord, quarantined: QuarantinedRequests): AttributionResult {
        const founded = quarantined.barred().filter(fingerprint =>
            this.attributedWeight(fingerprint) >= occasionsToBar - weightTolerance
        );
        const crash = this.addCrash(report);
        crash.cause ??= [...crash.suspects.keys()].find(quarantined.isBarred)
            ?? [...crash.suspects.keys()].find(quarantined.isOnProbation);
        const unfounded = this.revokeUnfounded(founded);
        this.dropOldest();
        if (crash.cause !== undefined) {
            return { causes: [], unfounded };
        }
        const causes = [...crash.suspects]
            .filter(([fingerprint]) => this.isCause(fingerprint, crash))
            .map(([fingerprint, { size }]) => ({ fingerprint, size, occasions: this.occasions(fingerprint) }));
        causes.forEach(({ fingerprint }) => this.attributeTo(fingerprint));
        return { causes, unfounded };
    }

    private addCrash({ upstream, at, reportedAt, suspects }: CrashRecord): Crash {
        const crash = this.crashes.get(upstream)
            ?? { at, suspects: new Map<string, SuspectRecord>(), cause: undefined };
        this.crashes.set(upstream, crash);
        for (const suspect of suspects.slice(0, maxSuspectsPerCrash - crash.suspects.size)) {
            const { fingerprint, size, sentAgoMs, sentAfter = [] } = suspect;
            const previous = crash.suspects.get(fingerprint);
            crash.suspects.set(fingerprint, {
                size,
                sentAt: Math.max(previous?.sentAt ?? Number.NEGATIVE_INFINITY, reportedAt - sentAgoMs),
                sentAfter: [...new Set([...previous?.sentAfter ?? [], ...sentAfter])],
            });
        }
        this.orderAfterPrecedingCrashes(crash);
        this.orderBeforeFollowingSuspects(upstream, crash);
        return crash;
    }

    /** Moves a crash, and the sending of its suspects, to after the crashes that are known to precede it. */
    private orderAfterPrecedingCrashes(crash: Crash): void {
        for (const [fingerprint, suspect] of crash.suspects) {
            const preceding = suspect.sentAfter
                .map(upstream => this.crashes.get(upstream))
                .filter(found => found !== undefined)
                .filter(found => found !== crash);
            if (preceding.length > 0) {
                const sentAt = Math.max(suspect.sentAt, ...preceding.map(({ at }) => at));
                crash.suspects.set(fingerprint, { ...suspect, sentAt });
                crash.at = Math.max(crash.at, sentAt + minRunMs);
            }
        }
    }

    /** Moves a crash that is written late to before the sending of the suspects that are known to follow it. */
    private orderBeforeFollowingSuspects(upstream: string, crash: Crash): void {
        for (const other of this.crashes.values()) {
            for (const { sentAfter, sentAt } of other.suspects.values()) {
                if (other !== crash && sentAfter.includes(upstream)) {
                    crash.at = Math.min(crash.at, sentAt);
                }
            }
        }
    }

    /**
     * Returns barred requests whose crashes weigh too little now that correlated crashes are known, and clears the
     * attributions.
     */
    private revokeUnfounded(founded: readonly string[]): string[] {
        const unfounded = founded.filter(fingerprint =>
            this.attributedWeight(fingerprint) < occasionsToBar - weightTolerance
        );
        unfounded.flatMap(fingerprint => this.attributedCrashes(fingerprint)).forEach(crash => crash.cause = undefined);
        return unfounded;
    }

    /** Total weight of the crashes that are attributed to a request. */
    private attributedWeight(fingerprint: string): number {
        return totalWeight(fingerprint, this.attributedCrashes(fingerprint), this.crashes.values());
    }

    private attributedCrashes(fingerprint: string): Crash[] {
        return [...this.crashes.values()].filter(({ cause }) => cause === fingerprint);
    }

    /** Number of occasions on which upstreams crashed while running a request, without another known cause. */
    public occasions(fingerprint: string): number {
        return this.countOccasions(fingerprint, this.unexplainedCrashes(fingerprint));
    }

    private countOccasions(fingerprint: string, crashes: readonly Crash[]): number {
        return Math.floor(totalWeight(fingerprint, crashes, this.crashes.values()) + weightTolerance);
    }

    /** All suspects with their occasions. */
    public all(): CrashSuspect[] {
        const unexplained = [...this.crashes.values()].filter(({ cause }) => cause === undefined);
        const found = new Map<string, { size: number; crashes: Crash[]; }>();
        for (const crash of unexplained) {
            for (const [fingerprint, { size }] of crash.suspects) {
                const { crashes } = found.get(fingerprint) ?? { crashes: [] };
                found.set(fingerprint, { size, crashes: [...crashes, crash] });
            }
        }
        return [...found].map(([fingerprint, { size, crashes }]) => ({
            fingerprint,
            size,
            occasions: this.countOccasions(fingerprint, crashes),
        }));
    }

    /** Clears a request of suspicion after it completed successfully. */
    public clear(fingerprint: string): void {
        for (const crash of this.crashes.values()) {
            crash.suspects.delete(fingerprint);
            if (crash.cause === fingerprint) {
                crash.cause = undefined;
            }
        }
    }

    /** Removes crashes before a time. */
    public removeBefore(at: number): void {
        for (const [upstream, crash] of this.crashes) {
            if (crash.at < at) {
                this.crashes.delete(upstream);
            }
        }
    }

    public snapshot(): StoredCrash[] {
        return [...this.crashes].map(([upstream, { at, suspects, cause }]) => ({
            upstream,
            at,
            suspects: [...suspects].map(([fingerprint, { size, sentAt, sentAfter }]) => ({
                fingerprint,
                size,
                sentAt,
                ...(sentAfter.length === 0 ? {} : { sentAfter: [...sentAfter] }),
            })),
            ...(cause === undefined ? {} : { cause }),
        }));
    }

    public restore(stored: readonly StoredCrash[]): void {
        this.crashes.clear();
        for (const { upstream, at, suspects, cause } of stored) {
            const records = suspects.map(({ fingerprint, size, sentAt, sentAfter = [] }) =>
                [fingerprint, { size, sentAt, sentAfter }] as const
            );
            this.crashes.set(upstream, { at, suspects: new Map(records), cause });
        }
    }

    private isCause(fingerprint: string, latest: Crash): boolean {
        const crashes = this.unexplainedCrashes(fingerprint);
        const occasions = this.countOccasions(fingerprint, crashes);
        if (occasions < occasionsToBar) {
            return false;
        }
        return occasions >= occasionsToBarAll || !this.hasAlternative(fingerprint, crashes, latest);
    }

    /**
     * Whether another request was present at the same crashes, or at all but one while there are only as many as needed
     * for a bar: a frequent harmless request can be present at two crashes of the real cause before that reaches its
     * third.
     */
    private hasAlternative(fingerprint: string, crashes: readonly Crash[], latest: Crash): boolean {
        const needed = crashes.length - (crashes.length <= occasionsToBar ? 1 : 0);
        return [...latest.suspects.keys()].some(other =>
            other !== fingerprint && crashes.filter(({ suspects }) => suspects.has(other)).length >= needed
        );
    }

    private attributeTo(fingerprint: string): void {
        for (const crash of this.unexplainedCrashes(fingerprint)) {
            crash.cause = fingerprint;
        }
    }

    private unexplainedCrashes(fingerprint: string): Crash[] {
        return [...this.crashes.values()].filter(({ suspects, cause }) =>
            cause === undefined && suspects.has(fingerprint)
        );
    }

    private dropOldest(): void {
        const [oldest] = this.crashes.keys();
        if (this.crashes.size > maxCrashes) {
            this.crashes.delete(oldest);
        }
    }
}

/**
 * Number of crashes that count against a request. Of copies that run at the same time only one counts, since they may
 * have an external cause in common, and correlated crashes share their weight. `all`: all crashes that may be
 * correlated with those in `crashes`.
 */
function totalWeight(fingerprint: string, crashes: readonly Crash[], all: Iterable<Crash>): number {
    const counted = sequentialCrashes(fingerprint, crashes);
    if (counted.length < 2) {
        return counted.length;
    }
    const known = [...all];
    return counted.reduce((sum, crash) => sum + 1 / countCorrelated(fingerprint, crash, known), 0);
}

/** Crashes of a request, oldest first, whose upstream received it after the previous one of them. */
function sequentialCrashes(fingerprint: string, crashes: readonly Crash[]): Crash[] {
    const counted: Crash[] = [];
    for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
        const previous = counted.at(-1);
        if (previous === undefined || sentAfter(fingerprint, crash, previous)) {
            counted.push(crash);
        }
    }
    return counted;
}

/** Whether a request was sent to the crashed upstream after the previous crash. */
function sentAfter(fingerprint: string, crash: Crash, previous: Crash): boolean {
    return crash.suspects.get(fingerprint)!.sentAt > previous.at - timingToleranceMs;
}

/**
 * Number of crashes that coincide with a crash, including itself. Crashes attributed to other requests don't count, nor
 * those that the same request caused before or after as it was retried.
 */
function countCorrelated(fingerprint: string, crash: Crash, all: readonly Crash[]): number {
    return all.filter(other => {
        if (other === crash) {
            return true;
        }
        const isExplained = other.cause !== undefined && other.cause !== fingerprint;
        return !isExplained && Math.abs(other.at - crash.at) <= correlationWindowMs
            && !areInSequence(fingerprint, crash, other);
    }).length;
}

function areInSequence(fingerprint: string, one: Crash, other: Crash): boolean {
    if (!other.suspects.has(fingerprint)) {
        return false;
    }
    const [earlier, later] = one.at <= other.at ? [one, other] : [other, one];
    return sentAfter(fingerprint, later, earlier);
}
