/** Quarantine of requests that crash upstreams, for the project's own HTTP interface; the state is replicated to every process. */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import {
    CrashMonitor,
    fingerprintOf,
    type QuarantineCommand,
    type QuarantineResult,
    type QuarantineState,
    RecentSuccesses,
} from "@winchpath/quarantine";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

export interface RequestQuarantineDependencies {
    readonly book: () => QuarantineState;
    /** Commits a command; resolves once it is applied in this process. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
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
