/** Reports requests during which upstreams crashed, refuses quarantined ones, and lets suspected ones run one at a time. */
import { newId, sleep, steadyNow } from "@winchpath/core";
import { type CrashReporter, type FleetView } from "@winchpath/fleet";
import {
    type ListedRequest,
    maxCrashesPerRequest,
    maxTrialMs,
    occasionsToBar,
    RecentSuccesses,
    type TrialDecision,
} from "@winchpath/quarantine";
import { type Refusal } from "./admissioncontrollers.js";
import { type AttemptOutcome } from "./attempts.js";
import { identityOf, type InboundRequest, remainingMs } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { minAttemptMs } from "./waitpolicies.js";

/**
 * An upstream that crashes this long after the start of a response, in milliseconds, was not crashed by that request.
 * Keeps concurrent requests from being suspected; those that crash an upstream were seen to take 37 to 113 ms.
 */
const maxCrashDelayMs = 2000;

/**
 * Maximum body size of successful requests that are remembered, in bytes, which limits the cost of hashing: a digest
 * takes 13 µs for 5 KB and 74 µs for this size.
 */
const maxRememberedBodyBytes = 64 * 1024;

/** Intervals at which the leader is asked about a held request, in milliseconds; each is twice as long as the one before. */
const minHoldCheckMs = 25;
const maxHoldCheckMs = 200;
/** Time without an answer from a leader after which a held request is decided by what this entry knows, in milliseconds. */
const maxLeaderWaitMs = 2000;
/** Retry-After of a refused suspected request, in milliseconds. */
const suspectedRetryMs = 1000;

/** The entry's reports about crashes, and the leader's decisions about them. */
export type CrashReports = Pick<
    CrashReporter,
    "lost" | "succeeded" | "lossCount" | "hasLossOfSize" | "hasReported" | "tryRetry" | "startTrial" | "endTrial"
>;

/** Timing of an attempt. */
interface AttemptTiming {
    /** Monotonic time. */
    readonly sentAt: number;
    /** Time from the start of the response to its end, in milliseconds; undefined if there was no response. */
    readonly ranMs: number | undefined;
}

export class Quarantine {
    private readonly recentSuccesses = new RecentSuccesses();

    public constructor(
        private readonly view: Pick<FleetView<unknown>, "quarantine">,
        private readonly reporter: CrashReports,
    ) {}

    /** Returns the refusal of a quarantined request; undefined if it may be forwarded. */
    public refusal(request: InboundRequest): Refusal | undefined {
        const entry = this.quarantineEntry(request);
        switch (entry?.standing) {
            case "barred":
                return this.barredRefusal(entry);
            case "suspected":
                return hasExpiredTrial(request) ? suspectedRefusal("trial-expired", entry.fingerprint) : undefined;
            case undefined:
                return undefined;
        }
    }

    private barredRefusal({ fingerprint, occasions }: Pick<ListedRequest, "fingerprint" | "occasions">): Refusal {
        const details = { fingerprint, occasions, quarantinePosition: this.view.quarantine.position };
        return { kind: "refused", response: LocalResponse.barred, retryAfterMs: undefined, details };
    }

    /** Whether {@link admit} may have to wait; false for nearly all requests, at no cost. */
    public needsAdmission(request: InboundRequest): boolean {
        return this.reporter.hasLossOfSize(request.body.length) || this.quarantineEntry(request) !== undefined;
    }

    /**
     * Waits until another attempt can't crash an upstream before the previous crash under the request is known. The leader is
     * asked, since this entry's list may be older than its decision, about suspected requests and those under which this
     * entry has recently lost an upstream. Returns why the request must not run.
     */
    public async admit(request: InboundRequest): Promise<Refusal | undefined> {
        const unansweredUntil = steadyNow() + maxLeaderWaitMs;
        const fingerprint = this.fingerprint(request);
        if (fingerprint === undefined) {
            return undefined;
        }
        for (
            let checkMs = minHoldCheckMs;
            !request.abortSignal.aborted;
            checkMs = Math.min(maxHoldCheckMs, checkMs * 2)
        ) {
            const entry = this.quarantineEntry(request);
            if (entry?.standing === "barred") {
                return this.barredRefusal(entry);
            }
            if (entry === undefined && this.mayRunUnasked(request, fingerprint)) {
                return undefined;
            }
            switch (await this.startTrial(request, fingerprint)) {
                case "granted":
                    return undefined;
                case "rejected":
                    return this.barredRefusal({ fingerprint, occasions: entry?.occasions ?? occasionsToBar });
                case "wait":
                    break;
                case undefined:
                    if (steadyNow() >= unansweredUntil) {
                        return this.decideAlone(fingerprint, entry);
                    }
            }
            if (remainingMs(request) - checkMs <= minAttemptMs) {
                return suspectedRefusal("held", fingerprint);
            }
            await sleep(checkMs, request.abortSignal);
        }
        return undefined;
    }

    /** Whether no upstream was lost here under the request, or it may be retried after the only loss. */
    private mayRunUnasked(request: InboundRequest, fingerprint: string): boolean {
        return this.reporter.lossCount(fingerprint) === 0
            || (request.lostConnections === 1 && this.reporter.tryRetry(fingerprint));
    }

    /** Without a leader, a request is refused if it is suspected, or would be by the losses that this entry has seen. */
    private decideAlone(fingerprint: string, entry: ListedRequest | undefined): Refusal | undefined {
        const isSuspected = entry !== undefined || this.reporter.lossCount(fingerprint) >= maxCrashesPerRequest;
        return isSuspected ? suspectedRefusal("no-leader", fingerprint) : undefined;
    }

    /** Ends the trial of a request that will not run, or whose attempt has ended. */
    public endTrial(request: InboundRequest): void {
        if (request.trial !== undefined) {
            this.reporter.endTrial(request.trial.id);
            request.trial = undefined;
        }
    }

    /** Asks the leader whether the request may run; undefined if no leader answers that knows of all losses seen here. */
    private async startTrial(request: InboundRequest, fingerprint: string): Promise<TrialDecision | undefined> {
        if (!this.reporter.hasReported(fingerprint)) {
            return undefined;
        }
        const lifeMs = Math.min(maxTrialMs, remainingMs(request));
        const trial = { id: newId(), expiresAt: steadyNow() + lifeMs };
        const decision = await this.reporter.startTrial({ fingerprint, trial: trial.id, lifeMs });
        if (decision === "granted") {
            request.trial = trial;
        }
        else if (decision === undefined) {
            // The leader may have granted it.
            this.reporter.endTrial(trial.id);
        }
        return decision;
    }

    /**
     * Whether a request may be retried after its connection was lost. Not if this happened twice, or if the request is
     * listed as a suspect; the client may still retry.
     */
    public isRetryAllowed(request: InboundRequest): boolean {
        return request.lostConnections < maxCrashesPerRequest && this.quarantineEntry(request) === undefined;
    }

    /** Records the outcome of an attempt and reports suspected crashes. */
    public recordOutcome(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        outcome: AttemptOutcome,
        { sentAt, ranMs }: AttemptTiming,
    ): void {
        if (outcome.kind === "answered") {
            this.recordSuccess(request);
        }
        else if (isConnectionLost(outcome)) {
            this.recordLostConnection(request, endpoint, { sentAt, ranMs });
        }
        this.endTrial(request);
    }

    private recordLostConnection(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        { sentAt, ranMs }: AttemptTiming,
    ): void {
        request.lostConnections += 1;
        if ((ranMs ?? 0) > maxCrashDelayMs) {
            return;
        }
        const fingerprint = this.fingerprint(request);
        if (fingerprint !== undefined && !this.recentSuccesses.has(fingerprint)) {
            this.reporter.lost(endpoint.description, { fingerprint, size: request.body.length, sentAt });
        }
    }

    public fingerprint(request: InboundRequest): string | undefined {
        return this.view.quarantine.fingerprint(identityOf(request));
    }

    private recordSuccess(request: InboundRequest): void {
        if (request.body.length <= maxRememberedBodyBytes) {
            const fingerprint = this.fingerprint(request);
            if (fingerprint !== undefined) {
                this.recentSuccesses.record(fingerprint);
            }
        }
        const entry = this.quarantineEntry(request);
        if (entry !== undefined) {
            this.reporter.succeeded(entry.fingerprint);
        }
    }

    private quarantineEntry(request: InboundRequest): ListedRequest | undefined {
        return this.view.quarantine.find(identityOf(request));
    }
}

/** Whether another copy may run by now, as far as the leader knows. */
function hasExpiredTrial({ trial }: InboundRequest): boolean {
    return trial !== undefined && trial.expiresAt <= steadyNow();
}

/** Why a suspected request is refused: it was held too long, no leader answered, or its trial expired before it was sent. */
type HoldEnd = "held" | "no-leader" | "trial-expired";

function suspectedRefusal(holdEnd: HoldEnd, fingerprint: string): Refusal {
    const details = { holdEnd, fingerprint };
    return { kind: "refused", response: LocalResponse.suspected, retryAfterMs: suspectedRetryMs, details };
}

/** Whether the connection to the upstream was lost during the attempt. */
export function isConnectionLost(outcome: AttemptOutcome): boolean {
    return (outcome.kind === "unknown" || outcome.kind === "broken") && outcome.lost;
}
