/**
 * The leader's side of trials. An entry that has seen an upstream crash under a request, or that knows the request as
 * suspected, asks before it sends another copy: its list may be older than the leader's decision. The request waits while
 * a crash under it is undecided, and a suspected one runs at one upstream at a time, over all entries.
 */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type QuarantineState } from "./quarantinestates.js";

/** Maximum duration of a trial in milliseconds, so that an entry that has ended doesn't block other copies for long. */
export const maxTrialMs = 10_000;
/**
 * A new leader grants no trials for this time, in milliseconds: trials granted by the previous leader may still run, and
 * entries take about a second to follow the new one.
 */
const takeoverMs = 1000;

/** `wait`: another copy is running, or a crash under the request is undecided. `rejected`: the request is barred. */
export type TrialDecision = "granted" | "wait" | "rejected";

export interface TrialRequest {
    readonly entry: string;
    readonly fingerprint: string;
    /** Unique id of the trial, chosen by the entry. */
    readonly trial: string;
    /** Time after which the trial ends, in milliseconds. */
    readonly lifeMs: number;
}

export interface SuspectTrialsOptions {
    readonly book: () => Pick<QuarantineState, "find">;
    /** Whether a request was running during a crash that is not recorded yet. */
    readonly hasUndecidedCrash: (fingerprint: string) => boolean;
    readonly log: EventLog;
}

interface RunningTrial {
    readonly trial: string;
    /** Monotonic time. */
    readonly endsAt: number;
}

export class SuspectTrials {
    /** By fingerprint. */
    private readonly running = new Map<string, RunningTrial>();
    private readonly createdAt = steadyNow();

    public constructor(private readonly options: SuspectTrialsOptions) {}

    /** Asking again for a trial that was granted has the same result. */
    public start({ entry, fingerprint, trial, lifeMs }: TrialRequest): TrialDecision {
        const standing = this.options.book().find(fingerprint)?.standing;
        if (standing === "barred") {
            return "rejected";
        }
        this.removeExpired();
        const other = this.running.get(fingerprint);
        const isOccupied = other !== undefined && other.trial !== trial;
        if (isOccupied || this.options.hasUndecidedCrash(fingerprint) || steadyNow() - this.createdAt < takeoverMs) {
            return "wait";
        }
        if (standing === "suspected") {
            this.running.set(fingerprint, { trial, endsAt: steadyNow() + Math.min(lifeMs, maxTrialMs) });
            this.options.log.info("trial.granted", { entry, fingerprint, trial, lifeMs });
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
