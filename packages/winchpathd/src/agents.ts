/** The agent process: registers one upstream with the control group and serves its RPC interface. */
import { eventLoop, Metrics, silentLog } from "@winchpath/core";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { type Settings } from "@winchpath/settings";
import { Timeline, TimelineService, timelineService } from "@winchpath/timeline";
import { Agent, AgentService, createAgentService, HttpUpstream } from "@winchpath/upstream";
import { type RunningProcess } from "./controls.js";

const rpcCloseTimeoutMs = 500;

export class AgentProcess implements RunningProcess {
    private constructor(
        private readonly cfg: Settings,
        private readonly agent: Agent,
        private readonly clients: RpcClients,
        private readonly rpc: RpcServer,
    ) {}

    public static async start(cfg: Settings): Promise<AgentProcess> {
        const { host, dataCentre, key } = cfg;
        eventLoop.start(silentLog, new Metrics());
        const upstream = cfg.upstream!;
        const timeline = new Timeline({ process: `agent/${host}`, host, dataCentre });
        const clients = new RpcClients({ key, timeline });
        const agent = new Agent({
            cfg,
            upstream: new HttpUpstream(upstream.url, upstream.kind === "engine"),
            clients,
            timeline,
        });
        const rpc = await RpcServer.listen(cfg.listen.peers, router => {
            router.service(AgentService, createAgentService(agent));
            router.service(TimelineService, timelineService(timeline));
        }, { key, timeline });
        agent.start();
        return new AgentProcess(cfg, agent, clients, rpc);
    }

    public get description(): string {
        return `agent ${this.cfg.host} is ready: peers=${this.cfg.peerUrl} upstream=${this.cfg.upstream!.url}`;
    }

    public async stop(): Promise<void> {
        await this.agent.leave(this.cfg.limits.drain);
        await this.agent.stop();
        this.clients.close();
        await this.rpc.close(rpcCloseTimeoutMs);
    }
}
