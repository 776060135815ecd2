/** Reports suspected upstream crashes, and the requests that ran there, from an entry to the leader. */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import {
    commonFeatures,
    featuresOf,
    hasFeature,
    maxCrashesPerRequest,
    maxPartFeatures,
    maxPrecedingCrashes,
    type TrialDecision,
    type TrialRequest,
} from "@winchpath/quarantine";
import { type PeerClients } from "@winchpath/rpc";
import { decodeTrialDecision } from "./encodings.js";
import { FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type FollowedLeader } from "./meters.js";

/** Crashes within this time are reported together. */
const batchMs = 5;
const reportTimeoutMs = 500;
const retryMs = 100;
/** Crashes are dropped after this time, also if no leader has accepted them; longer than any election. */
const retainMs = 10_000;
/** Crashes are reported to a new leader again within this time, in milliseconds; a leader records them within 200 ms. */
const repeatToNewLeaderMs = 2000;
const idleMs = 1000;
/** Maximum number of successes waiting to be reported. */
const maxSucceeded = 2000;
/** Bound on the upstreams in one log line. */
const maxLoggedUpstreams = 16;

interface CrashObservation {
    readonly upstream: string;
    /** Monotonic time. */
    readonly endedAt: number;
    /** Requests that ran there, by fingerprint. */
    readonly suspects: Map<string, ObservedSuspect>;
    /** All features of the suspects. */
    readonly features: Set<string>;
    /** Requests that were retried without asking the leader. */
    readonly retried: Set<string>;
    /** Whether its address refuses connections; undefined while it is being probed. */
    refused: boolean | undefined;
    /** Incremented whenever there is something to report. */
    version: number;
    /** Epoch of the leader that has accepted the latest version; undefined if there is none. */
    acceptedEpoch: string | undefined;
}

interface ObservedSuspect extends InterruptedRequest {
    /** Upstreams that had crashed under it before it was sent, as far as this entry knew. */
    readonly sentAfter: readonly string[];
}

/** The features of a request by which crashes are counted. */
export interface RequestFeatures {
    readonly fingerprint: string;
    /** Features of its prompt that this entry doesn't know to be harmless. */
    readonly parts: readonly string[];
}

/** A request that was running when a connection was lost. */
export interface InterruptedRequest extends RequestFeatures {
    /** Size of the body in bytes. */
    readonly size: number;
    /** Monotonic time. */
    readonly sentAt: number;
    /** Whether it ran in a trial. */
    readonly isTrial: boolean;
}

/**
 * Whether a request may be retried without asking the leader. `probing`: it is not known yet whether the upstream has
 * crashed.
 */
export type RetryDecision = "granted" | "probing" | "denied";

/** Resolves to whether an address refuses connections. */
export type AddressProbe = (address: string) => Promise<boolean>;

/** How to reach the leader. */
interface LeaderConnection {
    readonly entry: string;
    readonly clients: PeerClients;
    readonly leader: () => FollowedLeader;
}

export class CrashReporter {
    private readonly wake = new Notifier();
    private observations: CrashObservation[] = [];
    private succeededFeatures = new Set<string>();
    private endedTrials: string[] = [];
    private connection: LeaderConnection | undefined;

    public constructor(private readonly probe: AddressProbe, private readonly log: EventLog) {}

    /** Records that the connection to an upstream was lost during a request. */
    public lost(upstream: { readonly id: string; readonly address: string; }, request: InterruptedRequest): void {
        this.dropExpired();
        const suspect = { ...request, sentAfter: this.precedingCrashes(upstream.id, request) };
        // An upstream that accepted connections after an earlier loss may have crashed since then, so it is probed again.
        const existing = this.observations.find(observation =>
            observation.upstream === upstream.id && observation.refused !== false
        );
        if (existing !== undefined) {
            addSuspect(existing, suspect);
            this.wake.notify();
            return;
        }
        const observation: CrashObservation = {
            upstream: upstream.id,
            endedAt: steadyNow(),
            suspects: new Map([[request.fingerprint, suspect]]),
            features: new Set(allFeatures(request)),
            retried: new Set(),
            refused: undefined,
            version: 0,
            acceptedEpoch: undefined,
        };
        this.observations.push(observation);
        void this.probeAddress(observation, upstream.address);
    }

    /** Records that a request with a quarantined feature has completed normally. */
    public succeeded(feature: string): void {
        if (this.succeededFeatures.size < maxSucceeded) {
            this.succeededFeatures.add(feature);
            this.wake.notify();
        }
    }

    /** Number of upstreams that this entry has recently lost while they ran requests with a feature. */
    public lossCount(feature: string): number {
        return this.losses([feature]).length;
    }

    /** Whether this entry has recently lost an upstream; saves computing features. */
    public get hasLosses(): boolean {
        return this.recentObservations().length > 0;
    }

    /** Whether {@link lossCount} may be above 0 for a request with this body size; saves computing its fingerprint. */
    public hasLossOfSize(size: number): boolean {
        return this.recentObservations().some(({ suspects }) =>
            [...suspects.values()].some(suspect => suspect.size === size)
        );
    }

    /** Whether the leader knows of all losses under requests with one of the features that this entry has observed. */
    public hasReported(request: RequestFeatures): boolean {
        return this.leaderEpoch !== ""
            && this.losses(allFeatures(request)).every(observation => this.isAccepted(observation));
    }

    /**
     * Takes the one retry that may go out without asking the leader, so that requests that ran beside the cause of a crash
     * are not delayed. Denied if it was taken, or if there was another crash under one of its features. A request with
     * parts that may be the cause gets it only if the upstream has not crashed: its retry could crash the next one before
     * the leader knows of the first.
     */
    public tryRetry(request: RequestFeatures): RetryDecision {
        const [loss, ...others] = this.losses(allFeatures(request));
        if (loss === undefined) {
            return "granted";
        }
        if (others.length > 0 || loss.retried.has(request.fingerprint)) {
            return "denied";
        }
        if (request.parts.length > 0 && loss.refused !== false) {
            return loss.refused === undefined ? "probing" : "denied";
        }
        loss.retried.add(request.fingerprint);
        return "granted";
    }

    /**
     * Whether one of the candidates was present at two losses here, in requests whose common features are all among
     * `features`.
     */
    public hasRepeatedLoss(candidates: readonly string[], features: readonly string[]): boolean {
        return candidates.some(candidate => {
            const losses = this.losses([candidate]);
            const requests = losses
                .flatMap(({ suspects }) => [...suspects.values()])
                .filter(suspect => hasFeature(suspect, candidate));
            return losses.length >= maxCrashesPerRequest
                && featuresOf(commonFeatures(requests)).every(feature => features.includes(feature));
        });
    }

    /** Asks the leader whether a suspected request may run; returns undefined if no leader answers. */
    public async startTrial(request: Omit<TrialRequest, "entry">): Promise<TrialDecision | undefined> {
        const { connection } = this;
        const url = connection?.leader().url ?? "";
        if (connection === undefined || url === "") {
            return undefined;
        }
        const { entry, clients } = connection;
        try {
            const req = { ...request, parts: [...request.parts], entry, lifeMs: Math.round(request.lifeMs) };
            const { decision } = await clients.client(FleetService, url).startTrial(req, {
                timeoutMs: reportTimeoutMs,
            });
            return decodeTrialDecision(decision);
        }
        catch (err) {
            this.log.warn("trial.unanswered", { leader: url, trial: request.trial, error: messageOf(err) });
            return undefined;
        }
    }

    /** Reports the end of a trial, together with the loss of an upstream under it if that was recorded before. */
    public endTrial(trial: string): void {
        this.endedTrials.push(trial);
        this.wake.notify();
    }

    /** Sends reports to the leader until the signal is aborted. */
    public async run(
        entry: string,
        clients: PeerClients,
        leader: () => FollowedLeader,
        signal: AbortSignal,
    ): Promise<void> {
        this.connection = { entry, clients, leader };
        while (!signal.aborted) {
            await this.wake.wait(this.hasUnreported ? retryMs : idleMs);
            await sleep(batchMs, signal);
            this.dropExpired();
            const { url } = leader();
            if (this.hasUnreported && url !== "" && !signal.aborted) {
                await this.report(this.connection);
            }
        }
    }

    /** A loss is reported at once, so that the leader holds copies of the request, and again if the address refuses. */
    private async probeAddress(observation: CrashObservation, address: string): Promise<void> {
        this.wake.notify();
        observation.refused = await this.probe(address);
        if (observation.refused) {
            requireReport(observation);
        }
        this.log.info("crash.probed", {
            upstream: observation.upstream,
            refused: observation.refused,
            ageMs: Math.round(steadyNow() - observation.endedAt),
        });
        this.wake.notify();
    }

    /** Crashes under a request with one of the features that this entry had observed before it sent the request. */
    private precedingCrashes(upstream: string, { sentAt, ...request }: InterruptedRequest): string[] {
        const features = allFeatures(request);
        return this.observations
            .filter(observation => observation.upstream !== upstream && observation.endedAt <= sentAt)
            .filter(observation => hasAny(observation, features))
            .map(observation => observation.upstream)
            .slice(-maxPrecedingCrashes);
    }

    private losses(features: readonly string[]): CrashObservation[] {
        return this.recentObservations().filter(observation => hasAny(observation, features));
    }

    private recentObservations(): CrashObservation[] {
        const now = steadyNow();
        return this.observations.filter(({ endedAt }) => now - endedAt < retainMs);
    }

    private get hasUnreported(): boolean {
        return this.succeededFeatures.size > 0 || this.endedTrials.length > 0
            || this.observations.some(observation => !this.isAccepted(observation));
    }

    /**
     * Whether the followed leader knows all about a crash. A new one needs the latest crashes again: the previous leader may
     * not have recorded them.
     */
    private isAccepted({ acceptedEpoch, endedAt }: CrashObservation): boolean {
        return acceptedEpoch !== undefined
            && (acceptedEpoch === this.leaderEpoch || steadyNow() - endedAt >= repeatToNewLeaderMs);
    }

    private get leaderEpoch(): string {
        return this.connection?.leader().epoch ?? "";
    }

    private async report({ entry, clients, leader }: LeaderConnection): Promise<void> {
        const { url, epoch } = leader();
        const sent = this.observations.filter(observation => !this.isAccepted(observation));
        const { succeededFeatures, endedTrials } = this;
        this.succeededFeatures = new Set();
        this.endedTrials = [];
        const versions = sent.map(({ version }) => version);
        const sentAt = steadyNow();
        try {
            const req = {
                entry,
                sights: sent.map(encodeObservation),
                endedWell: [...succeededFeatures],
                endedTrials,
            };
            await clients.client(FleetService, url).reportCrashes(req, { timeoutMs: reportTimeoutMs });
            sent.forEach((observation, index) => acceptIfUnchanged(observation, versions[index], epoch));
            this.logReport(sent, url, sentAt);
        }
        catch (err) {
            this.log.warn("crashes.untold", { leader: url, sights: sent.length, error: messageOf(err) });
            succeededFeatures.forEach(feature => this.succeededFeatures.add(feature));
            this.endedTrials.push(...endedTrials);
        }
    }

    private logReport(sent: readonly CrashObservation[], leader: string, sentAt: number): void {
        if (sent.length > 0) {
            this.log.info("crashes.reported", {
                leader,
                upstreams: sent.slice(0, maxLoggedUpstreams).map(({ upstream }) => upstream),
                upstreamCount: sent.length,
                agoMs: Math.round(Math.max(...sent.map(({ endedAt }) => sentAt - endedAt))),
                tookMs: Math.round(steadyNow() - sentAt),
            });
        }
    }

    private dropExpired(): void {
        const now = steadyNow();
        if (this.observations.some(({ endedAt }) => now - endedAt >= retainMs)) {
            this.observations = this.observations.filter(({ endedAt }) => now - endedAt < retainMs);
        }
    }
}

/** Of several copies of a request, the one that was sent last counts. */
function addSuspect(observation: CrashObservation, suspect: ObservedSuspect): void {
    const before = observation.suspects.get(suspect.fingerprint);
    if (before === undefined || before.sentAt < suspect.sentAt) {
        observation.suspects.set(suspect.fingerprint, suspect);
        allFeatures(suspect).forEach(feature => observation.features.add(feature));
        requireReport(observation);
    }
}

function allFeatures({ fingerprint, parts }: RequestFeatures): string[] {
    return [fingerprint, ...parts];
}

/** Whether a request with one of the features ran at the upstream. */
function hasAny(observation: CrashObservation, features: readonly string[]): boolean {
    return features.some(feature => observation.features.has(feature));
}

function requireReport(observation: CrashObservation): void {
    observation.acceptedEpoch = undefined;
    observation.version += 1;
}

/** What was added while the report was under way has to be reported again. */
function acceptIfUnchanged(observation: CrashObservation, version: number, epoch: string): void {
    if (observation.version === version) {
        observation.acceptedEpoch = epoch;
    }
}

function encodeObservation({ upstream, refused, endedAt, suspects }: CrashObservation) {
    const now = steadyNow();
    return {
        upstream,
        refused: refused ?? false,
        agoMs: now - endedAt,
        suspects: [...suspects.values()].map(({ fingerprint, size, sentAt, sentAfter, parts, isTrial }) => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
            sentAfter: [...sentAfter],
            parts: parts.slice(0, maxPartFeatures),
            isTrial,
        })),
    };
}
