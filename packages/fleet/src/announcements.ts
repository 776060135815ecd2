/** Receives announcements of upstreams, and applies them at the leader or forwards them to it. */
import { type EventLog, Failure, FailureCode, type Metrics, steadyNow } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { AnnouncementBatcher, type AnnouncementLeader, type UpstreamHeartbeat } from "./announcementbatchers.js";
import { DepartureRecorder } from "./departurerecorders.js";
import { type Departure } from "./departures.js";
import { type DepartureState } from "./departurestates.js";
import { type Feed } from "./feeds.js";
import { type Announcement, FleetService, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type NamedStart } from "./incarnations.js";
import { type Registry } from "./registries.js";
import { type DepartureResult } from "./registrychanges.js";

/** Maximum time to wait for entries to confirm a departure; callers time out after one second. */
const confirmationTimeoutMs = 500;
const relayTimeoutMs = 800;
/** Replaces the leader's URL if this host is the leader. */
const selfUrl = "self";

/** A departure that isn't committed within this time, in milliseconds, fails; the upstream asks another host. */
const commitTimeoutMs = 700;

export interface AnnouncementControl {
    readonly isLeader: boolean;
    readonly leadershipAgeMs: number;
    /** The replicated departures. */
    readonly departures: Pick<DepartureState, "includes">;
    /** Resolves once the departures are committed and applied here; rejects after the timeout. */
    commitDepartures(departures: readonly Departure[], timeoutMs: number): Promise<void>;
    /** URL of the leader; empty if unknown. */
    readonly leaderUrl: string;
}

/** Forwards announcements to the leader. */
export class AnnouncementRelay implements AnnouncementLeader {
    public constructor(
        private readonly control: Pick<AnnouncementControl, "leaderUrl">,
        private readonly clients: RpcClients,
    ) {}

    public get leaderUrl(): string {
        return this.control.leaderUrl;
    }

    public async announce(announcement: Announcement): Promise<void> {
        await this.leader().announce({ announcement }, { timeoutMs: relayTimeoutMs });
    }

    public async reaffirm(upstreams: readonly UpstreamHeartbeat[]): Promise<readonly string[]> {
        const { unknown } = await this.leader().reaffirm({ upstreams: [...upstreams] }, { timeoutMs: relayTimeoutMs });
        return unknown;
    }

    public async leave(incarnation: NamedStart): Promise<void> {
        await this.leader().leave(incarnation, { timeoutMs: relayTimeoutMs });
    }

    private leader() {
        const { leaderUrl } = this.control;
        if (leaderUrl === "") {
            throw Failure.of(FailureCode.noLeader, "no leader is known");
        }
        return this.clients.client(FleetService, leaderUrl);
    }
}

/** Receives announcements on a control host. */
export class AnnouncementReceiver implements AnnouncementLeader {
    private readonly relay: AnnouncementRelay;
    private readonly batcher: AnnouncementBatcher;
    private readonly recorder: DepartureRecorder;

    public constructor(
        private readonly registry: Registry,
        private readonly feed: Feed,
        private readonly control: AnnouncementControl,
        clients: RpcClients,
        private readonly observers: { readonly log: EventLog; readonly metrics: Metrics; },
    ) {
        this.recorder = new DepartureRecorder(
            () => this.control.departures,
            departures => this.control.commitDepartures(departures, commitTimeoutMs),
        );
        this.relay = new AnnouncementRelay(control, clients);
        this.batcher = new AnnouncementBatcher(this, observers.log);
    }

    /** Sends batched reaffirmations to the leader until the signal is aborted. */
    public run(signal: AbortSignal): Promise<void> {
        return this.batcher.run(signal);
    }

    /** Resolves once the leader has applied it and, if the upstream drains, live entries have confirmed it. */
    public receive(announcement: Announcement): Promise<void> {
        return this.batcher.announce(announcement);
    }

    public get leaderUrl(): string {
        return this.control.isLeader ? selfUrl : this.control.leaderUrl;
    }

    public async announce(announcement: Announcement): Promise<void> {
        if (this.control.isLeader) {
            return this.announceLocally(announcement);
        }
        await this.relay.announce(announcement);
    }

    public async reaffirm(upstreams: readonly UpstreamHeartbeat[]): Promise<readonly string[]> {
        return this.control.isLeader ? this.reaffirmLocally(upstreams) : this.relay.reaffirm(upstreams);
    }

    /** Returns the ids that the registry doesn't know. */
    public reaffirmLocally(upstreams: readonly UpstreamHeartbeat[]): string[] {
        return upstreams.filter(({ id, sequence }) => !this.registry.reaffirm(id, sequence)).map(({ id }) => id);
    }

    public async leave(incarnation: NamedStart): Promise<void> {
        this.batcher.forget(incarnation);
        if (this.control.isLeader) {
            return this.leaveLocally(incarnation);
        }
        await this.relay.leave(incarnation);
    }

    public async announceLocally(announcement: Announcement): Promise<void> {
        const upstream = announcement.upstream!;
        const isKnown = this.registry.get(upstream.id) !== undefined;
        const position = this.registry.announce(announcement);
        this.feed.wakePolls();
        if (upstream.state === UpstreamState.DRAINING) {
            await this.confirmDeparture({ departure: this.registry.departureOf(upstream), position }, isKnown);
        }
    }

    public async leaveLocally({ name, born }: NamedStart): Promise<void> {
        const isKnown = this.registry.knowsName(name);
        await this.confirmDeparture(this.registry.leave(name, born), isKnown);
    }

    /**
     * Resolves once the departure is committed, so that every later leader knows it, and live entries have seen it. Entries
     * that this leader hasn't heard of yet are told by its first response. Rejects if the departure may be lost with this
     * leader; the upstream tries again elsewhere.
     */
    private async confirmDeparture({ departure, position }: DepartureResult, isKnown: boolean): Promise<void> {
        const startedAt = steadyNow();
        const [unconfirmed] = await Promise.all([
            this.feed.awaitConfirmation(position, confirmationTimeoutMs),
            this.recorder.record(departure),
        ]);
        const { name, born, softwareVersion, hasLeft: left } = departure;
        const tookMs = Math.round(steadyNow() - startedAt);
        const { log, metrics } = this.observers;
        metrics.count("departures_acknowledged_total", { known: String(isKnown) });
        metrics.histogram("departure_acknowledgement").record(tookMs);
        log.info("departure.acknowledged", {
            upstream: name,
            born: Number(born),
            softwareVersion,
            left,
            known: isKnown,
            leadershipAgeMs: Math.round(this.control.leadershipAgeMs),
            position,
            unconfirmed,
            tookMs,
        });
    }
}
