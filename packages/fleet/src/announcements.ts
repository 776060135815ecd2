/** Receives announcements of upstreams, and applies them at the leader or forwards them to it. */
import { type EventLog, Failure, FailureCode } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { AnnouncementBatcher, type AnnouncementLeader, type UpstreamHeartbeat } from "./announcementbatchers.js";
import { type Feed } from "./feeds.js";
import { type Announcement, FleetService, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type NamedStart } from "./incarnations.js";
import { type Registry } from "./registries.js";

/** Maximum time to wait for entries to confirm a departure; callers time out after one second. */
const confirmationTimeoutMs = 500;
const relayTimeoutMs = 800;
/** Replaces the leader's URL if this host is the leader. */
const selfUrl = "self";

/**
 * Departures fail if the leader can't confirm its leadership within this time, in milliseconds. A host that had lost its
 * majority 0.4 s before acknowledged a departure of which the next leader never heard; the upstream asks another host.
 */
const leadershipTimeoutMs = 700;

export interface AnnouncementControl {
    readonly isLeader: boolean;
    /** Resolves once a majority has confirmed that this host is still the leader; rejects after the timeout. */
    confirmLeadership(timeoutMs: number): Promise<void>;
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

    public constructor(
        private readonly registry: Registry,
        private readonly feed: Feed,
        private readonly control: AnnouncementControl,
        clients: RpcClients,
        log: EventLog,
    ) {
        this.relay = new AnnouncementRelay(control, clients);
        this.batcher = new AnnouncementBatcher(this, log);
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
        const { upstream } = announcement;
        const position = this.registry.announce(announcement);
        this.feed.wakePolls();
        if (upstream?.state === UpstreamState.DRAINING) {
            await this.confirmDeparture(position);
        }
    }

    public async leaveLocally({ name, born }: NamedStart): Promise<void> {
        await this.confirmDeparture(this.registry.leave(name, born));
    }

    /**
     * Resolves once live entries have seen the change and a majority has confirmed this leader. Guards against
     * a deposed leader acknowledging a departure that its successor never learns of; callers retry elsewhere.
     */
    private async confirmDeparture(position: number): Promise<void> {
        await Promise.all([
            this.feed.awaitConfirmation(position, confirmationTimeoutMs),
            this.control.confirmLeadership(leadershipTimeoutMs),
        ]);
    }
}
