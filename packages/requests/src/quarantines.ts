/** Requests under which upstreams end, at our own interface. Each process there holds the log's state itself. */
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

export interface RequestQuarantineParts {
    readonly book: () => QuarantineState;
    /** Writes a command into the log; returns once it is applied here. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
}

/** A run of a job under which an upstream ended. */
export interface LostRun {
    /** Name of that end, as the agent beside the upstream tells it. */
    readonly upstreamEnd: string;
    /** Steady time. */
    readonly sentAt: number;
}

export class RequestQuarantine {
    private readonly watch: CrashMonitor;
    private readonly goodEnds = new RecentSuccesses();

    public constructor(private readonly parts: RequestQuarantineParts) {
        // The agent has made sure of the end.
        this.watch = new CrashMonitor({ ...parts, presence: () => "replaced" });
    }

    /** Writes what ended until the signal is aborted. */
    public run(signal: AbortSignal): Promise<void> {
        return this.watch.run(signal);
    }

    /** Why a job goes to no upstream any more; undefined where it may. */
    public refusal(job: Job, mayHaveRun: boolean): RequestFailure | undefined {
        const listed = this.listed(job);
        if (listed?.standing !== "barred") {
            return undefined;
        }
        const detail = `${listed.occasions} upstreams ended when they ran this request (${listed.fingerprint})`;
        return new RequestFailure(ProblemCode.endsUpstreams, mayHaveRun ? "ran" : "not-run", detail);
    }

    /** Whether a job whose run was lost goes to no further upstream by itself. */
    public isSuspected(job: Job): boolean {
        return this.listed(job) !== undefined;
    }

    public lost(job: Job, { upstreamEnd, sentAt }: LostRun): void {
        const fingerprint = this.fingerprint(job);
        if (fingerprint === undefined || this.goodEnds.has(fingerprint)) {
            return;
        }
        const suspect = { fingerprint, size: bodyOf(job).length, sentAgoMs: steadyNow() - sentAt };
        this.watch.addReports("", [{ upstream: upstreamEnd, refused: true, agoMs: 0, suspects: [suspect] }], []);
    }

    public succeeded(job: Job): void {
        const fingerprint = this.fingerprint(job);
        if (fingerprint === undefined) {
            return;
        }
        this.goodEnds.record(fingerprint);
        if (this.parts.book().find(fingerprint) !== undefined) {
            this.watch.addReports("", [], [fingerprint]);
        }
    }

    private listed(job: Job) {
        const fingerprint = this.parts.book().isEmpty ? undefined : this.fingerprint(job);
        return fingerprint === undefined ? undefined : this.parts.book().find(fingerprint);
    }

    private fingerprint(job: Job): string | undefined {
        const { key } = this.parts.book();
        const { method, resource, path, caller } = job;
        return key === undefined
            ? undefined
            : fingerprintOf(key, { method, host: resource, url: path, account: caller, body: bodyOf(job) });
    }
}

/** The body as it is for no replica in particular. */
function bodyOf(job: Job): Uint8Array {
    return job.bodyFor("");
}
