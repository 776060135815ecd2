/** Reports suspected upstream crashes, and the requests that ran there, from an entry to the leader. */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type FollowedLeader } from "./meters.js";

/** Crashes within this time are reported together. */
const batchMs = 5;
const reportTimeoutMs = 500;
const retryMs = 100;
/** Crashes that no leader has accepted within this time are dropped; longer than any election. */
const retainMs = 10_000;
/** How long the result of an address probe is reused. */
const probeCacheMs = 500;
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
    readonly suspects: Map<string, InterruptedRequest>;
    /** Whether its address refuses connections; undefined while it is being probed. */
    refused: boolean | undefined;
}

/** A request that was running when a connection was lost. */
export interface InterruptedRequest {
    readonly fingerprint: string;
    /** Size of the body in bytes. */
    readonly size: number;
    /** Monotonic time. */
    readonly sentAt: number;
}

interface Probe {
    readonly at: number;
    readonly refused: Promise<boolean>;
}

/** Resolves to whether an address refuses connections. */
export type AddressProbe = (address: string) => Promise<boolean>;

export class CrashReporter {
    private readonly wake = new Notifier();
    private observations: CrashObservation[] = [];
    private readonly probes = new Map<string, Probe>();
    private succeededFingerprints = new Set<string>();

    public constructor(private readonly probe: AddressProbe, private readonly log: EventLog) {}

    /** Records that the connection to an upstream was lost during a request. */
    public lost(upstream: { readonly id: string; readonly address: string; }, request: InterruptedRequest): void {
        const existing = this.observations.find(observation => observation.upstream === upstream.id);
        if (existing !== undefined) {
            keepLatest(existing, request);
            return;
        }
        const observation: CrashObservation = {
            upstream: upstream.id,
            endedAt: steadyNow(),
            suspects: new Map([[request.fingerprint, request]]),
            refused: undefined,
        };
        this.observations.push(observation);
        void this.probeOnce(upstream.address).then(refused => {
            observation.refused = refused;
            this.log.info("crash.probed", {
                upstream: upstream.id,
                refused,
                ageMs: Math.round(steadyNow() - observation.endedAt),
            });
            this.wake.notify();
        });
    }

    /** Records that a quarantined request has completed normally. */
    public succeeded(fingerprint: string): void {
        if (this.succeededFingerprints.size < maxSucceeded) {
            this.succeededFingerprints.add(fingerprint);
            this.wake.notify();
        }
    }

    /** Sends reports to the leader until the signal is aborted. */
    public async run(
        entry: string,
        clients: PeerClients,
        leader: () => FollowedLeader,
        signal: AbortSignal,
    ): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(this.hasReports ? retryMs : idleMs);
            await sleep(batchMs, signal);
            const { url } = leader();
            if (this.hasReports && url !== "" && !signal.aborted) {
                await this.report(entry, clients, url);
            }
        }
    }

    private get hasReports(): boolean {
        return this.succeededFingerprints.size > 0 || this.observations.some(({ refused }) => refused !== undefined);
    }

    private async report(entry: string, clients: PeerClients, url: string): Promise<void> {
        const sent = this.observations.filter(({ refused }) => refused !== undefined);
        const { succeededFingerprints } = this;
        this.observations = this.observations.filter(({ refused }) => refused === undefined);
        this.succeededFingerprints = new Set();
        try {
            const req = { entry, sights: sent.map(encodeObservation), endedWell: [...succeededFingerprints] };
            const sentAt = steadyNow();
            await clients.client(FleetService, url).reportCrashes(req, { timeoutMs: reportTimeoutMs });
            this.log.info("crashes.reported", {
                leader: url,
                upstreams: sent.slice(0, maxLoggedUpstreams).map(({ upstream }) => upstream),
                upstreamCount: sent.length,
                agoMs: Math.round(Math.max(0, ...sent.map(({ endedAt }) => sentAt - endedAt))),
                tookMs: Math.round(steadyNow() - sentAt),
            });
        }
        catch (err) {
            this.log.warn("crashes.untold", { leader: url, sights: sent.length, error: messageOf(err) });
            this.observations.push(...sent.filter(({ endedAt }) => steadyNow() - endedAt < retainMs));
            succeededFingerprints.forEach(fingerprint => this.succeededFingerprints.add(fingerprint));
        }
    }

    private probeOnce(address: string): Promise<boolean> {
        const now = steadyNow();
        const last = this.probes.get(address);
        if (last !== undefined && now - last.at < probeCacheMs) {
            return last.refused;
        }
        for (const [other, { at }] of this.probes) {
            if (now - at >= probeCacheMs) {
                this.probes.delete(other);
            }
        }
        const refused = this.probe(address);
        this.probes.set(address, { at: now, refused });
        return refused;
    }
}

function keepLatest({ suspects }: CrashObservation, request: InterruptedRequest): void {
    const before = suspects.get(request.fingerprint);
    if (before === undefined || before.sentAt < request.sentAt) {
        suspects.set(request.fingerprint, request);
    }
}

function encodeObservation({ upstream, refused, endedAt, suspects }: CrashObservation) {
    const now = steadyNow();
    return {
        upstream,
        refused,
        agoMs: now - endedAt,
        suspects: [...suspects.values()].map(({ fingerprint, size, sentAt }) => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
        })),
    };
}
