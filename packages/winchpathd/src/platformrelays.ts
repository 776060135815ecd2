/** Control component of a platform host without a disk: redirects clients to the leader. */
import { type ConnectionPool, guardHttpServer } from "@winchpath/connections";
import { ConsensusService, PeerDiscovery } from "@winchpath/consensus";
import { type EventLog, listenBacklog } from "@winchpath/core";
import { AnnouncementBatcher, AnnouncementRelay, FleetService } from "@winchpath/fleet";
import { createRelayServer } from "@winchpath/platform";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { controlListener } from "./listeneroptions.js";
import { type ReloadableSettings } from "./platformsettings.js";

const rpcCloseTimeoutMs = 300;

/** The leader as known to this host's entry. */
export interface LeaderInfo {
    /** Empty if unknown. */
    readonly leaderUrl: string;
    readonly controlUrls: readonly string[];
}

export class PlatformRelay {
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private readonly httpServer;
    private readonly announcementBatcher: AnnouncementBatcher;
    private readonly stopping = new AbortController();
    private rpcServer: RpcServer | undefined;

    public constructor(
        private readonly settings: ReloadableSettings,
        private readonly leaderInfo: LeaderInfo,
        log: EventLog,
        private readonly connectionPool: ConnectionPool,
    ) {
        const { host, dataCentre, controlAddress: control } = settings.current;
        this.timeline = new Timeline({ process: `relay/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key: undefined, timeline: this.timeline });
        const announcements = new AnnouncementRelay(leaderInfo, this.clients);
        this.announcementBatcher = new AnnouncementBatcher(announcements, log);
        this.httpServer = createRelayServer(
            {
                announce: announcement => this.announcementBatcher.announce(announcement),
                leave: incarnation => {
                    this.announcementBatcher.forget(incarnation);
                    return announcements.leave(incarnation);
                },
                announcementHost: () => leaderInfo.leaderUrl === "" ? undefined : control!.host,
                leaderHost: () => leaderInfo.leaderUrl === "" ? undefined : new URL(leaderInfo.leaderUrl).hostname,
            },
            control!.port,
            log,
        );
        guardHttpServer(this.httpServer.server, connectionPool, controlListener);
    }

    public async start(): Promise<void> {
        const { peerAddress: peers, controlAddress: control, host } = this.settings.current;
        const { leaderInfo } = this;
        const relay = new PeerDiscovery({
            host,
            leaderUrl: () => leaderInfo.leaderUrl,
            memberUrls: () => leaderInfo.controlUrls,
            mayFormGroup: () => this.settings.current.firstStart,
        });
        this.rpcServer = await RpcServer.listen(
            peers,
            router => {
                router.service(ConsensusService, relay.service());
                router.service(FleetService, {
                    // Lets entries that have only this host as a seed find the leader.
                    poll: () => ({
                        notLeader: true,
                        leaderUrl: leaderInfo.leaderUrl,
                        controlUrls: [...relay.knownUrls],
                    }),
                });
            },
            { key: undefined, timeline: this.timeline },
            this.connectionPool,
        );
        void this.announcementBatcher.run(this.stopping.signal);
        await this.httpServer.listen({ ...control!, backlog: listenBacklog });
    }

    /** A relay has no leadership to transfer. */
    public async prepareStop(): Promise<void> {}

    public async stop(): Promise<void> {
        this.stopping.abort();
        await this.httpServer.close();
        this.clients.close();
        await this.rpcServer?.close(rpcCloseTimeoutMs);
    }
}
