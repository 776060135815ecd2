/** What an entry does about requests under which upstreams end. */
import { type CrashReporter, type FleetView } from "@winchpath/fleet";
import { GoodEnds, type ListedRequest, mostEndsOfOneRequest } from "@winchpath/quarantine";
import { type Refusal } from "./admissions.js";
import { OwnAnswer } from "./answers.js";
import { type AttemptOutcome } from "./attempts.js";
import { identityOf, type Job } from "./jobs.js";
import { type UpstreamLink } from "./links.js";

/**
 * A request whose answer had begun this long before its upstream ended, in milliseconds, did not end it: one that
 * does has been seen to take 37 to 113 ms. It spares most of those that run beside it the suspicion.
 */
const longestFuseMs = 2000;

/**
 * Good ends of larger bodies aren't remembered, in bytes: a digest takes 13 µs for 5 KB and 74 µs for this much.
 */
const mostRememberedBytes = 64 * 1024;

/** A try of a request. */
interface Run {
    /** Steady time. */
    readonly sentAt: number;
    /** For how long its answer had run, in milliseconds; undefined where none had begun. */
    readonly ranMs: number | undefined;
}

export class Quarantine {
    private readonly goodEnds = new GoodEnds();

    public constructor(
        private readonly view: Pick<FleetView<unknown>, "quarantine">,
        private readonly reporter: Pick<CrashReporter, "lost" | "succeeded">,
    ) {}

    /** Why a request goes to no upstream any more; undefined where it may. */
    public refusal(job: Job): Refusal | undefined {
        const listed = this.listed(job);
        if (listed?.standing !== "barred") {
            return undefined;
        }
        const { fingerprint, occasions } = listed;
        const details = { fingerprint, occasions, quarantinePosition: this.view.quarantine.position };
        return { kind: "refused", answer: OwnAnswer.barred, retryAfterMs: undefined, details };
    }

    /**
     * Whether a request whose try was lost may go to another upstream by itself; not where two have ended under it,
     * now or before. Its caller may send it again.
     */
    public mayTryAgain(job: Job): boolean {
        return job.lost < mostEndsOfOneRequest && this.listed(job) === undefined;
    }

    /** Takes in how a try ended. */
    public take(job: Job, link: UpstreamLink, outcome: AttemptOutcome, { sentAt, ranMs }: Run): void {
        if (outcome.kind === "answered") {
            this.noteGoodEnd(job);
            return;
        }
        if (!isLost(outcome)) {
            return;
        }
        job.lost += 1;
        if ((ranMs ?? 0) > longestFuseMs) {
            return;
        }
        const fingerprint = this.fingerprint(job);
        if (fingerprint !== undefined && !this.goodEnds.has(fingerprint)) {
            this.reporter.lost(link.description, { fingerprint, size: job.body.length, sentAt });
        }
    }

    public fingerprint(job: Job): string | undefined {
        return this.view.quarantine.fingerprint(identityOf(job));
    }

    private noteGoodEnd(job: Job): void {
        if (job.body.length <= mostRememberedBytes) {
            const fingerprint = this.fingerprint(job);
            if (fingerprint !== undefined) {
                this.goodEnds.note(fingerprint);
            }
        }
        const listed = this.listed(job);
        if (listed !== undefined) {
            this.reporter.succeeded(listed.fingerprint);
        }
    }

    private listed(job: Job): ListedRequest | undefined {
        return this.view.quarantine.standingOf(identityOf(job));
    }
}

/** Whether the upstream, or the way to it, was lost under the request. */
export function isLost(outcome: AttemptOutcome): boolean {
    return (outcome.kind === "unknown" || outcome.kind === "broken") && outcome.lost;
}
