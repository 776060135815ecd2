/** Known crashes by upstream and by the features of their suspects, in the order in which they happened. */
import { type Suspect } from "./commands.js";
import { Crash, type StoredCrash } from "./crashes.js";
import { combine, implies, withoutFeature } from "./features.js";

/** Time by which a crash follows the sending of a request whose times contradict the known order, in milliseconds. */
const minRunMs = 1;
/** Bound on the crashes kept; the oldest are evicted. */
const maxCrashes = 256;

/** Report of a crash; times in milliseconds since the Unix epoch. */
export interface CrashRecord {
    readonly upstream: string;
    readonly at: number;
    readonly reportedAt: number;
    readonly suspects: readonly Suspect[];
}

export class CrashIndex {
    /** By upstream id, oldest first. */
    private readonly crashes = new Map<string, Crash>();
    /** Crashes by the features of their suspects; may include some that have lost a feature since. */
    private readonly byFeature = new Map<string, Set<Crash>>();
    /** Features of more than one of the crashes. */
    private readonly repeated = new Set<string>();

    /** All crashes, oldest first. */
    public get all(): Crash[] {
        return [...this.crashes.values()];
    }

    /** Features of more than one crash. */
    public get repeatedFeatures(): ReadonlySet<string> {
        return this.repeated;
    }

    /** Crashes that requests with all of the features may have caused. */
    public candidates(features: readonly string[]): Crash[] {
        return [...this.byFeature.get(features[0]) ?? []].filter(crash => mayBeCausedBy(crash, features));
    }

    /** Adds the suspects of a report to its crash. */
    public add({ upstream, at, reportedAt, suspects }: CrashRecord): Crash {
        const crash = this.crashes.get(upstream) ?? new Crash(upstream, at);
        this.crashes.set(upstream, crash);
        for (const { fingerprint, size, sentAgoMs, sentAfter = [], parts = [], isTrial = false } of suspects) {
            crash.add({ fingerprint, size, sentAt: reportedAt - sentAgoMs, sentAfter, parts, isTrial });
        }
        this.addToIndex(crash);
        this.orderAfterPrecedingCrashes(crash);
        this.orderBeforeFollowingSuspects(crash);
        return crash;
    }

    private addToIndex(crash: Crash): void {
        for (const feature of crash.features()) {
            const crashes = this.byFeature.get(feature);
            if (crashes === undefined) {
                this.byFeature.set(feature, new Set([crash]));
            }
            else {
                crashes.add(crash);
                if (crashes.size > 1) {
                    this.repeated.add(feature);
                }
            }
        }
    }

    private delete(crash: Crash): void {
        this.crashes.delete(crash.upstream);
        for (const feature of crash.features()) {
            const crashes = this.byFeature.get(feature);
            crashes?.delete(crash);
            if (crashes === undefined || crashes.size < 2) {
                this.repeated.delete(feature);
            }
            if (crashes?.size === 0) {
                this.byFeature.delete(feature);
            }
        }
    }

    /** Moves a crash, and the sending of its suspects, to after the crashes that are known to precede it. */
    private orderAfterPrecedingCrashes(crash: Crash): void {
        for (const suspect of crash.requests()) {
            const preceding = suspect.sentAfter
                .map(upstream => this.crashes.get(upstream))
                .filter(found => found !== undefined)
                .filter(found => found !== crash);
            if (preceding.length > 0) {
                const sentAt = Math.max(suspect.sentAt, ...preceding.map(({ at }) => at));
                crash.put({ ...suspect, sentAt });
                crash.at = Math.max(crash.at, sentAt + minRunMs);
            }
        }
    }

    /** Moves a crash that is written late to before the sending of the suspects that are known to follow it. */
    private orderBeforeFollowingSuspects(crash: Crash): void {
        for (const other of this.crashes.values()) {
            for (const { sentAfter, sentAt } of other === crash ? [] : other.requests()) {
                if (sentAfter.includes(crash.upstream)) {
                    crash.at = Math.min(crash.at, sentAt);
                }
            }
        }
    }

    /**
     * Clears a feature of suspicion after a request with it completed successfully. Of a combination that it belonged to,
     * the other features remain the cause.
     */
    public clear(feature: string): void {
        this.byFeature.get(feature)?.forEach(crash => crash.clear(feature));
        this.byFeature.delete(feature);
        this.repeated.delete(feature);
        for (const crash of this.crashes.values()) {
            if (crash.cause !== undefined && implies(crash.cause, feature)) {
                crash.cause = withoutFeature(crash.cause, feature);
            }
        }
    }

    /** Removes crashes before a time. */
    public removeBefore(at: number): void {
        for (const crash of this.crashes.values()) {
            if (crash.at < at) {
                this.delete(crash);
            }
        }
    }

    public snapshot(): StoredCrash[] {
        return [...this.crashes.values()].map(crash => crash.snapshot());
    }

    public restore(stored: readonly StoredCrash[]): void {
        this.crashes.clear();
        this.byFeature.clear();
        this.repeated.clear();
        for (const crash of stored.map(each => Crash.restore(each))) {
            this.crashes.set(crash.upstream, crash);
            this.addToIndex(crash);
        }
    }

    /** Evicts the oldest crash if there are too many. */
    public dropOldest(): void {
        const [oldest] = this.crashes.values();
        if (this.crashes.size > maxCrashes) {
            this.delete(oldest);
        }
    }
}

/**
 * Whether a request with all of the features ran at a crash that has no known cause, or only a combination that includes
 * them and more.
 */
export function mayBeCausedBy(crash: Crash, features: readonly string[]): boolean {
    const { cause } = crash;
    if (!crash.has(features) || cause === undefined) {
        return crash.has(features);
    }
    const combination = combine(features);
    return cause !== combination && implies(cause, combination);
}
