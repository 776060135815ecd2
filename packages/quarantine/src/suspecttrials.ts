/**
 * The leader's side of trials. An entry that has seen an upstream crash under a request, or that knows a feature of the
 * request as suspected, asks before it sends the request: its list may be older than the leader's decision. The request
 * waits while a crash under one of its features is undecided, and of those that share a suspected feature one runs at a
 * time, over all entries.
 */
import { type EventLog, steadyNow } from "@winchpath/core";
import { isPart } from "./features.js";
import { type ListedRequest } from "./quarantinechanges.js";
import { occasionsToList, type QuarantineState } from "./quarantinestates.js";

/** Maximum duration of a trial in milliseconds, so that an entry that has ended doesn't block other copies for long. */
export const maxTrialMs = 10_000;
/**
 * A new leader grants no trials for this time, in milliseconds: trials granted by the previous leader may still run, and
 * entries take about a second to follow the new one. Parts that were at one crash only don't wait for that, since nearly
 * all of them were there by chance.
 */
const takeoverMs = 1000;
/** Bound on the features in one log line. */
const maxLoggedFeatures = 8;

/** `wait`: a request with a suspected feature is running, or a crash is undecided. `rejected`: the request is barred. */
export type TrialDecision = "granted" | "wait" | "rejected";

export interface TrialRequest {
    readonly entry: string;
    readonly fingerprint: string;
    /** Features of its prompt that the entry doesn't know to be harmless. */
    readonly parts: readonly string[];
    /** Unique id of the trial, chosen by the entry. */
    readonly trial: string;
    /** Time after which the trial ends, in milliseconds. */
    readonly lifeMs: number;
}

export interface SuspectTrialsOptions {
    readonly book: () => Pick<QuarantineState, "match">;
    /** Whether a request with one of the features was running during a crash that is not recorded yet. */
    readonly hasUndecidedCrash: (features: readonly string[]) => boolean;
    readonly log: EventLog;
}

interface RunningTrial {
    readonly trial: string;
    /** Monotonic time. */
    readonly endsAt: number;
}

export class SuspectTrials {
    /** By suspected feature. */
    private readonly running = new Map<string, RunningTrial>();
    private readonly createdAt = steadyNow();

    public constructor(private readonly options: SuspectTrialsOptions) {}

    /** Asking again for a trial that was granted has the same result. */
    public start({ entry, fingerprint, parts, trial, lifeMs }: TrialRequest): TrialDecision {
        const features = [fingerprint, ...parts];
        const { barred, suspected } = this.options.book().match(features);
        if (barred !== undefined) {
            return "rejected";
        }
        this.removeExpired();
        const isOccupied = suspected.some(listed => (this.running.get(listed.fingerprint)?.trial ?? trial) !== trial);
        const isByChance = suspected.length > 0 && suspected.every(wasOncePresent);
        const isTakingOver = !isByChance && steadyNow() - this.createdAt < takeoverMs;
        if (isOccupied || isTakingOver || this.options.hasUndecidedCrash(features)) {
            return "wait";
        }
        if (suspected.length > 0) {
            const endsAt = steadyNow() + Math.min(lifeMs, maxTrialMs);
            suspected.forEach(listed => this.running.set(listed.fingerprint, { trial, endsAt }));
            this.options.log.info("trial.granted", {
                entry,
                fingerprint,
                suspected: suspected.slice(0, maxLoggedFeatures).map(listed => listed.fingerprint),
                trial,
                lifeMs,
            });
        }
        return "granted";
    }

    /** Unknown trials are ignored. */
    public end(trial: string): void {
        for (const [fingerprint, running] of this.running) {
            if (running.trial === trial) {
                this.running.delete(fingerprint);
            }
        }
    }

    private removeExpired(): void {
        const now = steadyNow();
        for (const [fingerprint, { endsAt }] of this.running) {
            if (endsAt <= now) {
                this.running.delete(fingerprint);
            }
        }
    }
}

/** Whether a listed feature is a part that was present at one crash only. */
export function wasOncePresent({ fingerprint, occasions }: ListedRequest): boolean {
    return isPart(fingerprint) && occasions < occasionsToList;
}
