/** Takes announcements of upstreams, at the leader itself or on their way to it. */
import { Failure, FailureCode } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { type Feed } from "./feeds.js";
import { type Announcement, FleetService, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type Registry } from "./registries.js";

/**
 * How long an acknowledgement waits for the entries to confirm that they send
 * nothing more there. Callers give up after a second.
 */
const spreadMs = 500;
/** How long the leader may take when another host passes something on to it. */
const relayMs = 800;

export interface DeskControl {
    readonly leads: boolean;
    /** URL of the leader; empty where none is known. */
    readonly leaderUrl: string;
}

/** Passes announcements on to the leader. */
export class AnnouncementRelay {
    public constructor(
        private readonly control: Pick<DeskControl, "leaderUrl">,
        private readonly clients: RpcClients,
    ) {}

    public async announce(announcement: Announcement): Promise<void> {
        await this.leader().announce({ announcement }, { timeoutMs: relayMs });
    }

    public async leave(id: string): Promise<void> {
        await this.leader().leave({ id }, { timeoutMs: relayMs });
    }

    private leader() {
        const { leaderUrl } = this.control;
        if (leaderUrl === "") {
            throw Failure.of(FailureCode.noLeader, "no leader is known");
        }
        return this.clients.client(FleetService, leaderUrl);
    }
}

export class AnnouncementDesk {
    private readonly relay: AnnouncementRelay;

    public constructor(
        private readonly registry: Registry,
        private readonly feed: Feed,
        private readonly control: DeskControl,
        clients: RpcClients,
    ) {
        this.relay = new AnnouncementRelay(control, clients);
    }

    /** Returns once the leader knows it and, where the upstream drains, the entries in reach do. */
    public async announce(announcement: Announcement): Promise<void> {
        if (this.control.leads) {
            return this.announceHere(announcement);
        }
        await this.relay.announce(announcement);
    }

    public async leave(id: string): Promise<void> {
        if (this.control.leads) {
            return this.leaveHere(id);
        }
        await this.relay.leave(id);
    }

    public async announceHere(announcement: Announcement): Promise<void> {
        const { upstream } = announcement;
        const position = this.registry.announce(announcement);
        this.feed.wake();
        if (upstream?.state === UpstreamState.DRAINING) {
            await this.feed.spread(position, spreadMs);
        }
    }

    public async leaveHere(id: string): Promise<void> {
        await this.feed.spread(this.registry.leave(id), spreadMs);
    }
}
