/** What a host without a disk does for control on the platform: it leads everyone on to the leader. */
import { ConsensusRelay, ConsensusService } from "@winchpath/consensus";
import { type EventLog, listenBacklog } from "@winchpath/core";
import { AnnouncementBatcher, AnnouncementRelay, FleetService, incarnationId } from "@winchpath/fleet";
import { relayServer } from "@winchpath/platform";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { type LiveSettings } from "./platformsettings.js";

const rpcGraceMs = 300;

/** Where the leader is, as far as the host's entry knows. */
export interface LeaderKnowledge {
    /** Empty where none is known. */
    readonly leaderUrl: string;
    readonly controlUrls: readonly string[];
}

export class PlatformRelay {
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private readonly server;
    private readonly gatherer: AnnouncementBatcher;
    private readonly stopping = new AbortController();
    private rpc: RpcServer | undefined;

    public constructor(
        private readonly settings: LiveSettings,
        private readonly known: LeaderKnowledge,
        log: EventLog,
    ) {
        const { host, dataCentre, control } = settings.current;
        this.timeline = new Timeline({ process: `relay/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key: undefined, timeline: this.timeline });
        const announcements = new AnnouncementRelay(known, this.clients);
        this.gatherer = new AnnouncementBatcher(announcements, log);
        this.server = relayServer(
            {
                announce: announcement => this.gatherer.announce(announcement),
                leave: incarnation => {
                    this.gatherer.forget(incarnationId(incarnation));
                    return announcements.leave(incarnation);
                },
                announcementHost: () => known.leaderUrl === "" ? undefined : control!.host,
                leaderHost: () => known.leaderUrl === "" ? undefined : new URL(known.leaderUrl).hostname,
            },
            control!.port,
            log,
        );
    }

    public async start(): Promise<void> {
        const { peers, control, host } = this.settings.current;
        const { known } = this;
        const relay = new ConsensusRelay({
            host,
            leaderUrl: () => known.leaderUrl,
            memberUrls: () => known.controlUrls,
            mayForm: () => this.settings.current.firstStart,
        });
        this.rpc = await RpcServer.listen(peers, router => {
            router.service(ConsensusService, relay.service());
            router.service(FleetService, {
                // Entries that are told of no other hosts find the leader through these.
                poll: () => ({ notLeader: true, leaderUrl: known.leaderUrl, controlUrls: [...relay.knownUrls] }),
            });
        }, { key: undefined, timeline: this.timeline });
        void this.gatherer.run(this.stopping.signal);
        await this.server.listen({ ...control!, backlog: listenBacklog });
    }

    /** Nothing is to be handed over. */
    public async prepareStop(): Promise<void> {}

    public async stop(): Promise<void> {
        this.stopping.abort();
        await this.server.close();
        this.clients.close();
        await this.rpc?.close(rpcGraceMs);
    }
}
