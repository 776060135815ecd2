/** The entry's side of the quarantine: tells the leader what ran at an upstream that seems to have ended. */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type FollowedLeader } from "./meters.js";

/** What ended together is told together, in milliseconds. */
const gatherMs = 5;
/** A report without an answer is sent again after this long, and its pause, in milliseconds. */
const reportTimeoutMs = 500;
const retryMs = 100;
/** What no leader has taken by then is given up, in milliseconds: an election takes two seconds at most. */
const keptMs = 10_000;
/** An address isn't probed again within this time, in milliseconds. */
const probedMs = 500;
const idleMs = 1000;
/** Good ends that wait to be told; there are no more listed requests. */
const mostEndedWell = 2000;

interface Sight {
    readonly upstream: string;
    /** Steady time. */
    readonly endedAt: number;
    /** By fingerprint; `sentAt` is a steady time. */
    readonly suspects: Map<string, LostRequest>;
    /** Undefined while its address is probed. */
    refused: boolean | undefined;
}

/** A request under which a connection was lost. */
export interface LostRequest {
    readonly fingerprint: string;
    /** Of its body, in bytes. */
    readonly size: number;
    /** Steady time. */
    readonly sentAt: number;
}

interface Probe {
    readonly at: number;
    readonly refused: Promise<boolean>;
}

/** Whether an address refuses connections. */
export type AddressProbe = (address: string) => Promise<boolean>;

export class CrashReporter {
    private readonly wake = new Notifier();
    private sights: Sight[] = [];
    private readonly probes = new Map<string, Probe>();
    private endedWell = new Set<string>();

    public constructor(private readonly probe: AddressProbe, private readonly log: EventLog) {}

    /** The connection to an upstream was lost under a request. */
    public lost(upstream: { readonly id: string; readonly address: string; }, request: LostRequest): void {
        const open = this.sights.find(sight => sight.upstream === upstream.id);
        if (open !== undefined) {
            noteLatest(open, request);
            return;
        }
        const sight: Sight = {
            upstream: upstream.id,
            endedAt: steadyNow(),
            suspects: new Map([[request.fingerprint, request]]),
            refused: undefined,
        };
        this.sights.push(sight);
        void this.probeOnce(upstream.address).then(refused => {
            sight.refused = refused;
            this.wake.notify();
        });
    }

    /** A listed request came to a good end. */
    public succeeded(fingerprint: string): void {
        if (this.endedWell.size < mostEndedWell) {
            this.endedWell.add(fingerprint);
            this.wake.notify();
        }
    }

    /** Tells the leader until the signal is aborted. */
    public async run(
        entry: string,
        clients: PeerClients,
        leader: () => FollowedLeader,
        signal: AbortSignal,
    ): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(this.hasNews ? retryMs : idleMs);
            await sleep(gatherMs, signal);
            const { url } = leader();
            if (this.hasNews && url !== "" && !signal.aborted) {
                await this.report(entry, clients, url);
            }
        }
    }

    private get hasNews(): boolean {
        return this.endedWell.size > 0 || this.sights.some(({ refused }) => refused !== undefined);
    }

    private async report(entry: string, clients: PeerClients, url: string): Promise<void> {
        const told = this.sights.filter(({ refused }) => refused !== undefined);
        const { endedWell } = this;
        this.sights = this.sights.filter(({ refused }) => refused === undefined);
        this.endedWell = new Set();
        try {
            const req = { entry, sights: told.map(encodeSight), endedWell: [...endedWell] };
            await clients.client(FleetService, url).reportCrashes(req, { timeoutMs: reportTimeoutMs });
        }
        catch (err) {
            this.log.warn("crashes.untold", { leader: url, sights: told.length, error: messageOf(err) });
            this.sights.push(...told.filter(({ endedAt }) => steadyNow() - endedAt < keptMs));
            endedWell.forEach(fingerprint => this.endedWell.add(fingerprint));
        }
    }

    private probeOnce(address: string): Promise<boolean> {
        const now = steadyNow();
        const last = this.probes.get(address);
        if (last !== undefined && now - last.at < probedMs) {
            return last.refused;
        }
        for (const [other, { at }] of this.probes) {
            if (now - at >= probedMs) {
                this.probes.delete(other);
            }
        }
        const refused = this.probe(address);
        this.probes.set(address, { at: now, refused });
        return refused;
    }
}

function noteLatest({ suspects }: Sight, request: LostRequest): void {
    const before = suspects.get(request.fingerprint);
    if (before === undefined || before.sentAt < request.sentAt) {
        suspects.set(request.fingerprint, request);
    }
}

function encodeSight({ upstream, refused, endedAt, suspects }: Sight) {
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
