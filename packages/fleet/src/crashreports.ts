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
/**
 * Minimum interval at which the leader is asked for its decision on reported crashes, which usually takes 100 to 200 ms. It
 * grows with the age of the crash: when a rack loses power, all entries wait for seconds.
 */
const decisionPollMs = 100;
const decisionPollShareOfAge = 0.5;
/** Crashes that no leader has accepted within this time are dropped; longer than any election. */
const retainMs = 10_000;
/**
 * Requests that ran during a crash are held for at most this long without the leader's decision, in milliseconds. Longer
 * than the default interval of announcements, which tell a restarted upstream from one whose connection was reset.
 */
export const maxHoldMs = 2000;
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
    /** Requests that were retried before the leader had decided. */
    readonly retried: Set<string>;
    /** Whether its address refuses connections; undefined while it is being probed. */
    refused: boolean | undefined;
    /** Epoch of the leader that has accepted all suspects; undefined if there is none. */
    acceptedEpoch: string | undefined;
    /** Position of the quarantine that includes the leader's decision; undefined until it has decided. */
    decidedAtPosition: number | undefined;
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

interface EndedTrial {
    readonly trial: string;
    /** Upstream whose crash must be reported first. */
    readonly crashedUpstream: string | undefined;
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
    private endedTrials: EndedTrial[] = [];
    private connection: LeaderConnection | undefined;

    /** `appliedPosition`: position of the quarantine list that this entry acts on. */
    public constructor(
        private readonly probe: AddressProbe,
        private readonly log: EventLog,
        private readonly appliedPosition: () => number = () => Number.POSITIVE_INFINITY,
    ) {}

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
            acceptedEpoch: undefined,
            decidedAtPosition: undefined,
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

    /**
     * Whether a request ran during crashes whose decision by the leader is not in force here yet. Another attempt could
     * crash a further upstream in the meantime.
     */
    public isUndecided(fingerprint: string): boolean {
        return this.undecidedCrashes(fingerprint).length > 0;
    }

    /** Whether {@link isUndecided} may be true of a request with this body size; saves computing its fingerprint. */
    public holdsSize(size: number): boolean {
        return this.observations.some(observation =>
            this.isHolding(observation) && [...observation.suspects.values()].some(suspect => suspect.size === size)
        );
    }

    /**
     * Takes the one retry that is allowed before the leader has decided about a crash, so that requests that ran beside
     * the cause are not delayed. Returns false if it was taken, or if there was more than one crash.
     */
    public tryRetry(fingerprint: string): boolean {
        const undecided = this.undecidedCrashes(fingerprint);
        if (undecided.length !== 1 || undecided[0].retried.has(fingerprint)) {
            return undecided.length === 0;
        }
        undecided[0].retried.add(fingerprint);
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

    /** `crashedUpstream`: the upstream that crashed during the trial, if one did. */
    public endTrial(trial: string, crashedUpstream?: string): void {
        this.endedTrials.push({ trial, crashedUpstream });
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
            await this.wake.wait(this.nextReportMs());
            await sleep(batchMs, signal);
            this.dropExpired();
            const { url } = leader();
            if ((this.hasUnreported || this.hasUndecided) && url !== "" && !signal.aborted) {
                await this.report(this.connection);
            }
        }
    }

    private async probeAddress(observation: CrashObservation, address: string): Promise<void> {
        observation.refused = await this.probe(address);
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

    private undecidedCrashes(fingerprint: string): CrashObservation[] {
        return this.observations.filter(observation =>
            observation.suspects.has(fingerprint) && this.isHolding(observation)
        );
    }

    private isHolding(observation: CrashObservation): boolean {
        return steadyNow() - observation.endedAt < maxHoldMs && !this.isInForce(observation);
    }

    /** Whether this entry acts on the leader's decision. */
    private isInForce({ decidedAtPosition, acceptedEpoch }: CrashObservation): boolean {
        const isFollowed = this.connection?.leader().epoch === acceptedEpoch;
        return decidedAtPosition !== undefined && (!isFollowed || this.appliedPosition() >= decidedAtPosition);
    }

    private get hasUnreported(): boolean {
        return this.succeededFingerprints.size > 0 || this.endedTrials.length > 0
            || this.observations.some(observation => this.isUnreported(observation));
    }

    private get hasUndecided(): boolean {
        return this.awaitedDecisions().length > 0;
    }

    /** Crashes that the leader knows of, and for whose decision requests may be held. */
    private awaitedDecisions(): CrashObservation[] {
        const now = steadyNow();
        return this.observations.filter(({ acceptedEpoch, decidedAtPosition, endedAt }) =>
            decidedAtPosition === undefined && acceptedEpoch !== undefined && now - endedAt < maxHoldMs
        );
    }

    private nextReportMs(): number {
        if (this.hasUnreported) {
            return retryMs;
        }
        const now = steadyNow();
        const ages = this.awaitedDecisions().map(({ endedAt }) => now - endedAt);
        return Math.min(idleMs, ...ages.map(age => Math.max(decisionPollMs, age * decisionPollShareOfAge)));
    }

    /** Whether the followed leader lacks suspects of a crash that has been probed. */
    private isUnreported({ refused, acceptedEpoch, decidedAtPosition }: CrashObservation): boolean {
        const isAccepted = acceptedEpoch !== undefined
            && (decidedAtPosition !== undefined || acceptedEpoch === this.connection?.leader().epoch);
        return refused !== undefined && !isAccepted;
    }

    private async report({ entry, clients, leader }: LeaderConnection): Promise<void> {
        const { url, epoch } = leader();
        const sent = this.observations.filter(observation => this.isUnreported(observation));
        const awaited = this.awaitedDecisions().filter(({ acceptedEpoch }) => acceptedEpoch === epoch);
        const { succeededFingerprints } = this;
        const endedTrials = this.endedTrials.filter(({ crashedUpstream }) => !this.isBeingProbed(crashedUpstream));
        this.succeededFingerprints = new Set();
        this.endedTrials = this.endedTrials.filter(ended => !endedTrials.includes(ended));
        // Suspects that are added while the call is under way have to be reported again.
        sent.forEach(observation => observation.acceptedEpoch = epoch);
        const sentAt = steadyNow();
        try {
            const req = {
                entry,
                sights: sent.map(encodeObservation),
                endedWell: [...succeededFingerprints],
                undecided: awaited.map(({ upstream }) => upstream),
                endedTrials: endedTrials.map(({ trial }) => trial),
            };
            const res = await clients.client(FleetService, url).reportCrashes(req, { timeoutMs: reportTimeoutMs });
            this.recordDecisions([...sent, ...awaited], epoch, new Set(res.undecided), Number(res.quarantinePosition));
            this.logReport(sent, url, sentAt);
        }
        catch (err) {
            this.log.warn("crashes.untold", { leader: url, sights: sent.length, error: messageOf(err) });
            sent.forEach(observation => observation.acceptedEpoch = undefined);
            succeededFingerprints.forEach(fingerprint => this.succeededFingerprints.add(fingerprint));
            this.endedTrials.push(...endedTrials);
        }
    }

    private isBeingProbed(upstream: string | undefined): boolean {
        return this.observations.some(observation =>
            observation.upstream === upstream && observation.refused === undefined
        );
    }

    private recordDecisions(
        reported: readonly CrashObservation[],
        epoch: string,
        undecided: ReadonlySet<string>,
        position: number,
    ): void {
        for (const observation of reported) {
            if (observation.acceptedEpoch === epoch && !undecided.has(observation.upstream)) {
                observation.decidedAtPosition = position;
            }
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
        observation.acceptedEpoch = undefined;
        observation.decidedAtPosition = undefined;
    }
}

function encodeObservation({ upstream, refused, endedAt, suspects }: CrashObservation) {
    const now = steadyNow();
    return {
        upstream,
        refused,
        agoMs: now - endedAt,
        suspects: [...suspects.values()].map(({ fingerprint, size, sentAt, sentAfter }) => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
            sentAfter: [...sentAfter],
        })),
    };
}
