/** What a host without a disk does for control on the platform: it leads everyone on to the leader. */
import { ConsensusRelay, ConsensusService } from "@winchpath/consensus";
import { type EventLog } from "@winchpath/core";
import { AnnouncementRelay, FleetService } from "@winchpath/fleet";
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
        this.server = relayServer(
            {
                announce: announcement => announcements.announce(announcement),
                leave: id => announcements.leave(id),
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
        await this.server.listen(control!);
    }

    /** Nothing is to be handed over. */
    public async prepareStop(): Promise<void> {}

    public async stop(): Promise<void> {
        await this.server.close();
        this.clients.close();
        await this.rpc?.close(rpcGraceMs);
    }
}
