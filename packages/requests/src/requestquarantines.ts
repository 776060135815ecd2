/** Quarantine of requests that crash upstreams, for the project's own HTTP interface; the state is replicated to every process. */
import { type EventLog, type Metrics, sleep, steadyNow } from "@winchpath/core";
import {
    CrashMonitor,
    fingerprintOf,
    maxTrialMs,
    type QuarantineCommand,
    type QuarantineResult,
    type QuarantineState,
    RecentSuccesses,
} from "@winchpath/quarantine";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

/**
 * A request is held for at most this long until a crash under it is decided, in milliseconds; a decision takes 100 to 200 ms
 * while the control group has a leader.
 */
const maxHoldMs = 2000;
/** Interval at which held requests are checked, in milliseconds. */
const holdCheckMs = 25;

export interface RequestQuarantineDependencies {
    readonly book: () => QuarantineState;
    /** Commits a command; resolves once it is applied in this process. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
}

interface RunningTrial {
    readonly requestId: string;
    /** Monotonic time. */
    readonly endsAt: number;
}

/** A run of a request during which the upstream crashed. */
export interface CrashedRun {
    /** Crash identifier reported by the agent. */
    readonly upstreamEnd: string;
    /** Monotonic time. */
    readonly sentAt: number;
}

export class RequestQuarantine {
    private readonly crashMonitor: CrashMonitor;
    private readonly recentSuccesses = new RecentSuccesses();
    /** Requests that were retried before a crash under them was decided. */
    private readonly retried = new Set<string>();
    /** Running attempts of suspected requests, by fingerprint. */
    private readonly trials = new Map<string, RunningTrial>();

    public constructor(private readonly dependencies: RequestQuarantineDependencies) {
        // The agent has already confirmed the crash.
        this.crashMonitor = new CrashMonitor({ ...dependencies, presence: () => "replaced" });
    }

    /** Writes observed crashes to the log until the signal is aborted. */
    public run(signal: AbortSignal): Promise<void> {
        return this.crashMonitor.run(signal);
    }

    /** Returns the failure for a quarantined request, or undefined if it may run. */
    public rejectionFor(job: Job, mayHaveRun: boolean): RequestFailure | undefined {
        const listed = this.findListed(job);
        if (listed?.standing !== "barred") {
            return undefined;
        }
        const detail = `${listed.occasions} upstreams ended when they ran this request (${listed.fingerprint})`;
        return new RequestFailure(ProblemCode.endsUpstreams, mayHaveRun ? "ran" : "not-run", detail);
    }

    /** Whether the request is suspected of crashing upstreams and must not be retried automatically. */
    public isSuspected(job: Job): boolean {
        return this.findListed(job) !== undefined;
    }

    /**
     * Waits until another attempt can't crash an upstream before the previous crash is known: until the crashes that this
     * process has observed under the request are decided, and while another copy runs here if it is suspected. One retry
     * doesn't wait for a decision, for the sake of requests that ran beside the cause. `crashes`: number of upstreams that
     * have crashed under this job.
     */
    public async admit(job: Job, crashes: number): Promise<void> {
        if (this.crashMonitor.isIdle) {
            this.retried.clear();
            if (this.dependencies.book().isEmpty) {
                return;
            }
        }
        const fingerprint = this.fingerprint(job);
        if (fingerprint === undefined || this.takeRetry(fingerprint, crashes)) {
            return;
        }
        const until = steadyNow() + Math.min(maxHoldMs, job.deadline - Date.now());
        while (this.mustWait(fingerprint) && steadyNow() < until && !job.signal.aborted) {
            await sleep(holdCheckMs, job.signal);
        }
        if (this.standing(fingerprint) === "suspected") {
            this.trials.set(fingerprint, { requestId: job.requestId, endsAt: steadyNow() + maxTrialMs });
        }
    }

    /** Ends the trial of a suspected request, after its outcome was recorded. */
    public endTrial({ requestId }: Job): void {
        for (const [fingerprint, trial] of this.trials) {
            if (trial.requestId === requestId) {
                this.trials.delete(fingerprint);
            }
        }
    }

    /** Takes the one retry that is allowed before the crash under it is decided. */
    private takeRetry(fingerprint: string, crashes: number): boolean {
        const isAllowed = crashes === 1 && this.crashMonitor.hasUndecidedCrash([fingerprint])
            && !this.retried.has(fingerprint) && this.standing(fingerprint) === undefined;
        if (isAllowed) {
            this.retried.add(fingerprint);
        }
        return isAllowed;
    }

    private mustWait(fingerprint: string): boolean {
        const trial = this.trials.get(fingerprint);
        return this.crashMonitor.hasUndecidedCrash([fingerprint])
            || (this.standing(fingerprint) === "suspected" && trial !== undefined && trial.endsAt > steadyNow());
    }

    private standing(fingerprint: string) {
        return this.dependencies.book().find(fingerprint)?.standing;
    }

    public recordCrash(job: Job, { upstreamEnd, sentAt }: CrashedRun): void {
        const fingerprint = this.fingerprint(job);
        if (fingerprint === undefined || this.recentSuccesses.has(fingerprint)) {
            return;
        }
        const suspect = { fingerprint, size: bodyOf(job).length, sentAgoMs: steadyNow() - sentAt };
        this.crashMonitor.addReports("", [{ upstream: upstreamEnd, refused: true, agoMs: 0, suspects: [suspect] }], []);
    }

    public recordSuccess(job: Job): void {
        const fingerprint = this.fingerprint(job);
        if (fingerprint === undefined) {
            return;
        }
        this.recentSuccesses.record(fingerprint);
        if (this.dependencies.book().find(fingerprint) !== undefined) {
            this.crashMonitor.addReports("", [], [fingerprint]);
        }
    }

    private findListed(job: Job) {
        const fingerprint = this.dependencies.book().isEmpty ? undefined : this.fingerprint(job);
        return fingerprint === undefined ? undefined : this.dependencies.book().find(fingerprint);
    }

    private fingerprint(job: Job): string | undefined {
        const { key } = this.dependencies.book();
        const { method, resource, path, caller } = job;
        return key === undefined
            ? undefined
            : fingerprintOf(key, { method, host: resource, url: path, account: caller, body: bodyOf(job) });
    }
}

/** The body without a replica-specific model name. */
function bodyOf(job: Job): Uint8Array {
    return job.bodyFor("");
}
