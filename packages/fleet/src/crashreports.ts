/** Reports suspected upstream crashes, and the requests that ran there, from an entry to the leader. */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { maxPrecedingCrashes, type TrialDecision, type TrialRequest } from "@winchpath/quarantine";
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

/** A request that was running when a connection was lost. */
export interface InterruptedRequest {
    readonly fingerprint: string;
    /** Size of the body in bytes. */
    readonly size: number;
    /** Monotonic time. */
    readonly sentAt: number;
}

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
    private succeededFingerprints = new Set<string>();
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
            retried: new Set(),
            refused: undefined,
            version: 0,
            acceptedEpoch: undefined,
        };
        this.observations.push(observation);
        void this.probeAddress(observation, upstream.address);
    }

    /** Records that a quarantined request has completed normally. */
    public succeeded(fingerprint: string): void {
        if (this.succeededFingerprints.size < maxSucceeded) {
            this.succeededFingerprints.add(fingerprint);
            this.wake.notify();
        }
    }

    /** Number of upstreams that this entry has recently lost while they ran a request. */
    public lossCount(fingerprint: string): number {
        return this.losses(fingerprint).length;
    }

    /** Whether {@link lossCount} may be above 0 for a request with this body size; saves computing its fingerprint. */
    public hasLossOfSize(size: number): boolean {
        return this.recentObservations().some(({ suspects }) =>
            [...suspects.values()].some(suspect => suspect.size === size)
        );
    }

    /** Whether the leader knows of all losses under a request that this entry has observed. */
    public hasReported(fingerprint: string): boolean {
        return this.leaderEpoch !== "" && this.losses(fingerprint).every(observation => this.isAccepted(observation));
    }

    /**
     * Takes the one retry that may go out without asking the leader, so that requests that ran beside the cause of a crash
     * are not delayed. Returns false if it was taken, or if there was another crash under the request.
     */
    public tryRetry(fingerprint: string): boolean {
        const [loss, ...others] = this.losses(fingerprint);
        if (loss === undefined) {
            return true;
        }
        if (others.length > 0 || loss.retried.has(fingerprint)) {
            return false;
        }
        loss.retried.add(fingerprint);
        return true;
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
            const req = { ...request, entry, lifeMs: Math.round(request.lifeMs) };
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

    /** Crashes under a request that this entry had observed before it sent the request. */
    private precedingCrashes(upstream: string, { fingerprint, sentAt }: InterruptedRequest): string[] {
        return this.observations
            .filter(observation => observation.upstream !== upstream)
            .filter(({ suspects, endedAt }) => suspects.has(fingerprint) && endedAt <= sentAt)
            .map(observation => observation.upstream)
            .slice(-maxPrecedingCrashes);
    }

    private losses(fingerprint: string): CrashObservation[] {
        return this.recentObservations().filter(({ suspects }) => suspects.has(fingerprint));
    }

    private recentObservations(): CrashObservation[] {
        const now = steadyNow();
        return this.observations.filter(({ endedAt }) => now - endedAt < retainMs);
    }

    private get hasUnreported(): boolean {
        return this.succeededFingerprints.size > 0 || this.endedTrials.length > 0
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
        const { succeededFingerprints, endedTrials } = this;
        this.succeededFingerprints = new Set();
        this.endedTrials = [];
        const versions = sent.map(({ version }) => version);
        const sentAt = steadyNow();
        try {
            const req = {
                entry,
                sights: sent.map(encodeObservation),
                endedWell: [...succeededFingerprints],
                endedTrials,
            };
            await clients.client(FleetService, url).reportCrashes(req, { timeoutMs: reportTimeoutMs });
            sent.forEach((observation, index) => acceptIfUnchanged(observation, versions[index], epoch));
            this.logReport(sent, url, sentAt);
        }
        catch (err) {
            this.log.warn("crashes.untold", { leader: url, sights: sent.length, error: messageOf(err) });
            succeededFingerprints.forEach(fingerprint => this.succeededFingerprints.add(fingerprint));
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
        requireReport(observation);
    }
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
        suspects: [...suspects.values()].map(({ fingerprint, size, sentAt, sentAfter }) => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
            sentAfter: [...sentAfter],
        })),
    };
}
