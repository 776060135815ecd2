/** Takes announcements of upstreams, at the leader itself or on their way to it. */
import { type EventLog, Failure, FailureCode } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { type Feed } from "./feeds.js";
import { AnnouncementGatherer, type AnnouncementLeader, type Reaffirmed } from "./gatherers.js";
import { type Announcement, FleetService, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type Incarnation, incarnationId } from "./incarnations.js";
import { type Registry } from "./registries.js";

/**
 * How long an acknowledgement waits for the entries to confirm that they send
 * nothing more there. Callers give up after a second.
 */
const spreadMs = 500;
/** How long the leader may take when another host passes something on to it. */
const relayMs = 800;
/** Stands for the leader's URL where this host leads itself. */
const ownUrl = "self";

/** A leader that can't confirm by then that it still is one acknowledges no departure, in milliseconds. */
const confirmMs = 700;

export interface DeskControl {
    readonly leads: boolean;
    /** Returns once a majority has confirmed that this host leads still; fails where none has in time. */
    confirmLeadership(timeoutMs: number): Promise<void>;
    /** URL of the leader; empty where none is known. */
    readonly leaderUrl: string;
}

/** Passes announcements on to the leader. */
export class AnnouncementRelay implements AnnouncementLeader {
    public constructor(
        private readonly control: Pick<DeskControl, "leaderUrl">,
        private readonly clients: RpcClients,
    ) {}

    public get leaderUrl(): string {
        return this.control.leaderUrl;
    }

    public async announce(announcement: Announcement): Promise<void> {
        await this.leader().announce({ announcement }, { timeoutMs: relayMs });
    }

    public async reaffirm(upstreams: readonly Reaffirmed[]): Promise<readonly string[]> {
        const { unknown } = await this.leader().reaffirm({ upstreams: [...upstreams] }, { timeoutMs: relayMs });
        return unknown;
    }

    public async leave(incarnation: Incarnation): Promise<void> {
        await this.leader().leave(incarnation, { timeoutMs: relayMs });
    }

    private leader() {
        const { leaderUrl } = this.control;
        if (leaderUrl === "") {
            throw Failure.of(FailureCode.noLeader, "no leader is known");
        }
        return this.clients.client(FleetService, leaderUrl);
    }
}

/** Takes announcements at a host that may lead. */
export class AnnouncementDesk implements AnnouncementLeader {
    private readonly relay: AnnouncementRelay;
    private readonly gatherer: AnnouncementGatherer;

    public constructor(
        private readonly registry: Registry,
        private readonly feed: Feed,
        private readonly control: DeskControl,
        clients: RpcClients,
        log: EventLog,
    ) {
        this.relay = new AnnouncementRelay(control, clients);
        this.gatherer = new AnnouncementGatherer(this, log);
    }

    /** Tells the leader of upstreams that say nothing new, until the signal is aborted. */
    public run(signal: AbortSignal): Promise<void> {
        return this.gatherer.run(signal);
    }

    /** Returns once the leader knows it and, where the upstream drains, the entries in reach do. */
    public take(announcement: Announcement): Promise<void> {
        return this.gatherer.announce(announcement);
    }

    public get leaderUrl(): string {
        return this.control.leads ? ownUrl : this.control.leaderUrl;
    }

    public async announce(announcement: Announcement): Promise<void> {
        if (this.control.leads) {
            return this.announceHere(announcement);
        }
        await this.relay.announce(announcement);
    }

    public async reaffirm(upstreams: readonly Reaffirmed[]): Promise<readonly string[]> {
        return this.control.leads ? this.reaffirmHere(upstreams) : this.relay.reaffirm(upstreams);
    }

    /** Ids among them that are not known here. */
    public reaffirmHere(upstreams: readonly Reaffirmed[]): string[] {
        return upstreams.filter(({ id, sequence }) => !this.registry.reaffirm(id, sequence)).map(({ id }) => id);
    }

    public async leave(incarnation: Incarnation): Promise<void> {
        this.gatherer.forget(incarnationId(incarnation));
        if (this.control.leads) {
            return this.leaveHere(incarnation);
        }
        await this.relay.leave(incarnation);
    }

    public async announceHere(announcement: Announcement): Promise<void> {
        const { upstream } = announcement;
        const position = this.registry.announce(announcement);
        this.feed.wake();
        if (upstream?.state === UpstreamState.DRAINING) {
            await this.settleDeparture(position);
        }
    }

    public async leaveHere({ name, born }: Incarnation): Promise<void> {
        await this.settleDeparture(this.registry.leave(name, born));
    }

    /**
     * Returns once entries know it and this host has shown that it leads. One that had lost its majority 0.4 s before
     * acknowledged a departure that the next leader never heard of; the upstream asks another host where this fails.
     */
    private async settleDeparture(position: number): Promise<void> {
        await Promise.all([this.feed.spread(position, spreadMs), this.control.confirmLeadership(confirmMs)]);
    }
}
