/** Reports requests during which upstreams crashed, refuses quarantined ones, and lets suspected ones run one at a time. */
import { newId, sleep, steadyNow } from "@winchpath/core";
import { type CrashReporter, type FleetView, type RequestFeatures, type RetryDecision } from "@winchpath/fleet";
import {
    featuresOf,
    isPart,
    type ListedRequest,
    type ListingMatch,
    maxCrashesPerRequest,
    maxTrialMs,
    occasionsToBar,
    occasionsToList,
    RecentSuccesses,
    type TrialDecision,
    wasOncePresent,
} from "@winchpath/quarantine";
import { type Refusal } from "./admissioncontrollers.js";
import { type AttemptOutcome } from "./attemptoutcomes.js";
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
/** Bound on the harmless parts of prompts that are remembered. */
const maxHarmlessParts = 8192;
/**
 * Once an upstream has written output for this long, in milliseconds, no part of the prompt crashes it: five times the
 * longest time that a crash was seen to take.
 */
const harmlessAfterMs = 500;

/** Intervals at which the leader is asked about a held request, in milliseconds; each is twice as long as the one before. */
const minHoldCheckMs = 25;
const maxHoldCheckMs = 200;
/** Time without an answer from a leader after which a held request is decided by what this entry knows, in milliseconds. */
const maxLeaderWaitMs = 2000;
/**
 * The same for the first retry of a request, and where only parts of the prompt are suspected that were present at one
 * crash, nearly all of them by chance.
 */
const maxLeaderWaitForPartsMs = 300;
/** Retry-After of a refused suspected request, in milliseconds. */
const suspectedRetryMs = 1000;

/** The entry's reports about crashes, and the leader's decisions about them. */
export type CrashReports = Pick<
    CrashReporter,
    | "lost"
    | "succeeded"
    | "lossCount"
    | "hasLosses"
    | "hasLossOfSize"
    | "hasRepeatedLoss"
    | "hasReported"
    | "tryRetry"
    | "startTrial"
    | "endTrial"
>;

/** Follows the output of an attempt. */
export interface OutputTracker {
    /** Records that more output came some milliseconds after the one before. */
    readonly continued: (ms: number) => void;
}

/** Timing of an attempt. */
interface AttemptTiming {
    /** Monotonic time. */
    readonly sentAt: number;
    /** Time from the start of the response to its end, in milliseconds; undefined if there was no response. */
    readonly ranMs: number | undefined;
}

export class Quarantine {
    private readonly recentSuccesses = new RecentSuccesses();
    private readonly harmlessParts = new RecentSuccesses(maxHarmlessParts);
    /** Position of the list when harmless parts on it were last reported. */
    private reportedPosition = 0;

    public constructor(
        private readonly view: Pick<FleetView<unknown>, "quarantine">,
        private readonly reporter: CrashReports,
    ) {}

    /** Reports listed parts that this entry knows to be harmless: they may be rare at the entries that lost upstreams. */
    public refresh(): void {
        const { quarantine } = this.view;
        if (quarantine.position !== this.reportedPosition) {
            this.reportedPosition = quarantine.position;
            this.reportHarmless(quarantine.all());
        }
    }

    private reportHarmless(listed: readonly ListedRequest[]): void {
        const features = new Set(listed.flatMap(({ fingerprint }) => featuresOf(fingerprint)));
        [...features].filter(feature => this.harmlessParts.has(feature))
            .forEach(feature => this.reporter.succeeded(feature));
    }

    /** Returns the refusal of a quarantined request; undefined if it may be forwarded. */
    public refusal(request: InboundRequest): Refusal | undefined {
        const { barred, suspected } = this.match(request);
        if (barred !== undefined) {
            return this.barredRefusal(barred);
        }
        return suspected.length > 0 && hasExpiredTrial(request)
            ? suspectedRefusal("trial-expired", suspected[0].fingerprint)
            : undefined;
    }

    private barredRefusal({ fingerprint, occasions }: Pick<ListedRequest, "fingerprint" | "occasions">): Refusal {
        const details = { fingerprint, occasions, quarantinePosition: this.view.quarantine.position };
        return { kind: "refused", response: LocalResponse.barred, retryAfterMs: undefined, details };
    }

    /** Whether {@link admit} may have to wait; false for nearly all requests, at no cost. */
    public needsAdmission(request: InboundRequest): boolean {
        const { barred, suspected } = this.match(request);
        return barred !== undefined || suspected.length > 0 || this.mayHaveLoss(request);
    }

    private mayHaveLoss(request: InboundRequest): boolean {
        return this.reporter.hasLosses && (
            this.reporter.hasLossOfSize(request.body.length)
            || this.suspectParts(request).some(part => this.reporter.lossCount(part) > 0)
        );
    }

    /**
     * Waits until another attempt can't crash an upstream before the previous crash under one of the request's features is
     * known. The leader is asked, since this entry's list may be older than its decision, about requests with suspected
     * features and those under which this entry has recently lost an upstream. Returns why the request must not run.
     */
    public async admit(request: InboundRequest): Promise<Refusal | undefined> {
        const startedAt = steadyNow();
        const fingerprint = this.fingerprint(request);
        if (fingerprint === undefined) {
            return undefined;
        }
        for (
            let checkMs = minHoldCheckMs;
            !request.abortSignal.aborted;
            checkMs = Math.min(maxHoldCheckMs, checkMs * 2)
        ) {
            const { barred, suspected } = this.match(request);
            if (barred !== undefined) {
                return this.barredRefusal(barred);
            }
            if (request.lostConnections > 0 && isCrashLikely(suspected)) {
                // Listed since the retry was allowed.
                return suspectedRefusal("not-retried", fingerprint);
            }
            const features = { fingerprint, parts: this.suspectParts(request) };
            const unasked = suspected.length === 0 ? this.decideUnasked(request, features) : "denied";
            switch (unasked === "denied" ? await this.startTrial(request, features) : unasked) {
                case "granted":
                    return undefined;
                case "rejected":
                    return this.barredRefusal({ fingerprint, occasions: suspected[0]?.occasions ?? occasionsToBar });
                case "wait":
                case "probing":
                    break;
                case undefined:
                    if (steadyNow() - startedAt >= this.leaderWaitMs(request, fingerprint, suspected)) {
                        return this.decideAlone(request, features, suspected);
                    }
            }
            if (remainingMs(request) - checkMs <= minAttemptMs) {
                return suspectedRefusal("held", fingerprint);
            }
            await sleep(checkMs, request.abortSignal);
        }
        return undefined;
    }

    /**
     * Granted if no upstream was lost here under one of the features, or the request may be retried after the only loss;
     * if denied, the leader has to be asked.
     */
    private decideUnasked(request: InboundRequest, features: RequestFeatures): RetryDecision {
        if ([features.fingerprint, ...features.parts].every(feature => this.reporter.lossCount(feature) === 0)) {
            return "granted";
        }
        return request.lostConnections === 1 ? this.reporter.tryRetry(features) : "denied";
    }

    private leaderWaitMs(
        { lostConnections }: InboundRequest,
        fingerprint: string,
        suspected: readonly ListedRequest[],
    ): number {
        const losses = this.reporter.lossCount(fingerprint);
        const isFirstRetry = losses === 1 && lostConnections === 1;
        return (losses === 0 || isFirstRetry) && suspected.every(wasOncePresent)
            ? maxLeaderWaitForPartsMs
            : maxLeaderWaitMs;
    }

    /** Without a leader, a request is refused if it is suspected, or would be by the losses that this entry has seen. */
    private decideAlone(
        request: InboundRequest,
        { fingerprint, parts }: RequestFeatures,
        suspected: readonly ListedRequest[],
    ): Refusal | undefined {
        const features = [fingerprint, ...this.view.quarantine.partFeatures(identityOf(request))];
        return isCrashLikely(suspected) || this.reporter.hasRepeatedLoss([fingerprint, ...parts], features)
            ? suspectedRefusal("no-leader", fingerprint)
            : undefined;
    }

    /** Ends the trial of a request that will not run, or whose attempt has ended. */
    public endTrial(request: InboundRequest): void {
        if (request.trial !== undefined) {
            this.reporter.endTrial(request.trial.id);
            request.trial = undefined;
        }
    }

    /** Asks the leader whether the request may run; undefined if no leader answers that knows of all losses seen here. */
    private async startTrial(
        request: InboundRequest,
        features: RequestFeatures,
    ): Promise<TrialDecision | undefined> {
        if (!this.reporter.hasReported(features)) {
            return undefined;
        }
        const lifeMs = Math.min(maxTrialMs, remainingMs(request));
        const trial = { id: newId(), expiresAt: steadyNow() + lifeMs };
        const decision = await this.reporter.startTrial({ ...features, trial: trial.id, lifeMs });
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
     * Whether a request may be retried after its connection was lost. Not if this happened twice, or if another crash may
     * bar it; the client may still retry.
     */
    public isRetryAllowed(request: InboundRequest): boolean {
        const { barred, suspected } = this.match(request);
        return request.lostConnections < maxCrashesPerRequest && barred === undefined && !isCrashLikely(suspected);
    }

    /** Follows the output of an attempt, which shows in time that the parts of the prompt are harmless. */
    public trackOutput(request: InboundRequest): OutputTracker {
        let outputMs = 0;
        return {
            continued: ms => {
                const isKnown = outputMs >= harmlessAfterMs;
                outputMs += ms;
                if (!isKnown && outputMs >= harmlessAfterMs) {
                    this.recordHarmlessParts(request);
                }
            },
        };
    }

    private recordHarmlessParts(request: InboundRequest): void {
        const { suspected } = this.match(request);
        this.view.quarantine.partFeatures(identityOf(request)).forEach(part => this.harmlessParts.record(part));
        this.reportHarmless(suspected);
        if (suspected.every(({ fingerprint }) => featuresOf(fingerprint).every(isPart))) {
            // Others that have the part need not wait for the end of the response.
            this.endTrial(request);
        }
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
            this.reporter.lost(endpoint.description, {
                fingerprint,
                parts: this.suspectParts(request),
                size: request.body.length,
                sentAt,
                isTrial: request.trial !== undefined,
            });
        }
    }

    /** Features of the prompt that were not seen to be harmless lately. */
    public suspectParts(request: InboundRequest): string[] {
        return this.view.quarantine.partFeatures(identityOf(request)).filter(part => !this.harmlessParts.has(part));
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
        const { quarantine } = this.view;
        const identity = identityOf(request);
        quarantine.partFeatures(identity).forEach(part => this.harmlessParts.record(part));
        const { barred, suspected } = quarantine.match(identity);
        const listed = barred === undefined ? suspected : [barred, ...suspected];
        new Set(listed.flatMap(({ fingerprint }) => featuresOf(fingerprint)))
            .forEach(feature => this.reporter.succeeded(feature));
    }

    /** What is listed about the request, without parts that this entry knows to be harmless. */
    private match(request: InboundRequest): ListingMatch {
        const { barred, suspected } = this.view.quarantine.match(identityOf(request));
        return suspected.length === 0
            ? { barred, suspected }
            : { barred, suspected: suspected.filter(({ fingerprint }) => !this.harmlessParts.has(fingerprint)) };
    }
}

/** Whether the next crash may bar one of the listed features. */
function isCrashLikely(suspected: readonly ListedRequest[]): boolean {
    return suspected.some(({ occasions }) => occasions >= occasionsToList);
}

/** Whether another copy may run by now, as far as the leader knows. */
function hasExpiredTrial({ trial }: InboundRequest): boolean {
    return trial !== undefined && trial.expiresAt <= steadyNow();
}

/**
 * Why a suspected request is refused: it was held too long, no leader answered, its trial expired before it was sent, or a
 * retry of it may crash another upstream.
 */
type HoldEnd = "held" | "no-leader" | "trial-expired" | "not-retried";

function suspectedRefusal(holdEnd: HoldEnd, fingerprint: string): Refusal {
    const details = { holdEnd, fingerprint };
    return { kind: "refused", response: LocalResponse.suspected, retryAfterMs: suspectedRetryMs, details };
}

/** Whether the connection to the upstream was lost during the attempt. */
export function isConnectionLost(outcome: AttemptOutcome): boolean {
    return (outcome.kind === "unknown" || outcome.kind === "broken") && outcome.lost;
}
