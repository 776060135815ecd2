/** The process of an entry or control host: wires the slices together. */
import { create } from "@bufbuild/protobuf";
import {
    ComposedMachine,
    type ConsensusOptions,
    ConsensusService,
    consensusService,
    encodeCommand,
    FileLogStore,
    MemoryLogStore,
    Replica,
    RpcPeerConnector,
} from "@winchpath/consensus";
import { type EventValues, logger, Metrics, sleep, steadyNow } from "@winchpath/core";
import { CatalogueCache, Declarations, type Model } from "@winchpath/declarations";
import { operatorServer } from "@winchpath/operators";
import {
    acceleratorViews,
    DemandBook,
    IncrementalPlacer,
    Ledger,
    type LedgerResult,
    ModelDemandSchema,
    PlacementController,
    placementReason,
    PlacementService,
    placementService,
    RpcOrderSender,
} from "@winchpath/placement";
import { type QuarantineResult, QuarantineState } from "@winchpath/quarantine";
import {
    callerServer,
    type ClaimResult,
    Claims,
    RequestHandler,
    RequestQuarantine,
    RpcAgentConnector,
} from "@winchpath/requests";
import { Router, RoutingTable } from "@winchpath/routing";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { type Settings } from "@winchpath/settings";
import { Timeline, TimelineService, timelineService } from "@winchpath/timeline";
import { Registrar, RegistrarService, registrarService } from "@winchpath/upstream";
import { DrainBook } from "./drains.js";
import { reportAnswer } from "./reports.js";

const joinTimeoutMs = 60_000;
const demandMs = 1000;
const glueMs = 1000;
/** Time for the platform's balancer to see that an entry is not ready, before it stops to listen. */
const balancerMs = 1000;
const handOverMs = 5000;
/** An end of an upstream is written within this time, or tried again, in milliseconds. */
const quarantineMs = 1000;
/** How often a stopping entry looks whether all requests have ended. */
const drainPollMs = 50;
/** A host that has heard no leader for this long is not ready: it may act on old declarations. */
const cutOffMs = 3000;

/** A process that can be stopped gracefully. */
export interface RunningProcess {
    /** One line for whoever started the process. */
    readonly description: string;
    stop(): Promise<void>;
}

export class ControlProcess implements RunningProcess {
    private readonly log = logger("winchpathd");
    private readonly stopping = new AbortController();
    private readonly metrics = new Metrics();
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private readonly declarations = new Declarations();
    private readonly ledger = new Ledger();
    private readonly claims = new Claims();
    private readonly crashes = new QuarantineState();
    private readonly quarantine = new RequestQuarantine({
        book: () => this.crashes,
        propose: command => this.propose<QuarantineResult>("quarantine", command, quarantineMs),
        metrics: this.metrics,
        log: {
            info: (event, values) => this.tellQuarantine(event, values),
            warn: (event, values) => this.tellQuarantine(event, values),
        },
    });
    private readonly demand = new DemandBook();
    private readonly catalogues = new CatalogueCache(this.declarations);
    private readonly drains = new DrainBook(() => this.catalogues.current.drained);
    private readonly registrar: Registrar;
    private readonly handler: RequestHandler;
    private replica!: Replica;
    private controller!: PlacementController;
    private rpc!: RpcServer;
    private callers: ReturnType<typeof callerServer> | undefined;
    private operators!: ReturnType<typeof operatorServer>;
    private ready = false;

    private constructor(private readonly cfg: Settings, private readonly onFatal: (err: Error) => void) {
        const { host, dataCentre, key, role } = cfg;
        this.timeline = new Timeline({ process: `${role}/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key, timeline: this.timeline });
        this.registrar = new Registrar(this.timeline);
        this.handler = new RequestHandler({
            entry: host,
            agents: new RpcAgentConnector(this.clients),
            router: new Router(),
            registrar: this.registrar,
            log: { propose: (command, timeoutMs) => this.propose<ClaimResult>("claims", command, timeoutMs) },
            quarantine: this.quarantine,
            timeline: this.timeline,
            metrics: this.metrics,
            queueLimit: cfg.limits.queue,
            retryShare: cfg.limits.retryShare,
            claimWindowMs: cfg.limits.claimWindow,
        });
    }

    /** Starts the process; returns once it serves. */
    public static async start(cfg: Settings, onFatal: (err: Error) => void): Promise<ControlProcess> {
        const control = new ControlProcess(cfg, onFatal);
        await control.openControl();
        await control.openListeners();
        void control.runTasks();
        await control.becomeReady();
        return control;
    }

    public get description(): string {
        const { role, host, listen } = this.cfg;
        const callers = listen.callers === undefined ? "" : ` callers=${listen.callers.host}:${listen.callers.port}`;
        return `${role} ${host} is ready: peers=${this.cfg.peerUrl}${callers}`;
    }

    public async stop(): Promise<void> {
        const deadline = Date.now() + this.cfg.limits.drain;
        this.ready = false;
        this.timeline.record("process.stopping");
        await this.replica.handOver(handOverMs);
        await sleep(balancerMs);
        await this.closeCallers(deadline);
        this.handler.close();
        this.stopping.abort();
        await this.replica.stop();
        await this.operators.close();
        this.clients.close();
        await this.rpc.close(balancerMs);
    }

    /** Takes no new connections, and lets what runs end until the deadline. */
    private async closeCallers(deadline: number): Promise<void> {
        if (this.callers === undefined) {
            return;
        }
        const { server } = this.callers;
        let open = true;
        const closed = this.callers.close().then(() => {
            open = false;
        });
        while (open && Date.now() < deadline) {
            // What ended after the listener was closed has left its connection open for another request.
            server.closeIdleConnections();
            await Promise.race([closed, sleep(drainPollMs)]);
        }
        server.closeAllConnections();
        await closed;
    }

    private async openControl(): Promise<void> {
        const { cfg, clients, timeline } = this;
        const options: Partial<ConsensusOptions> = {
            heartbeatMs: cfg.control.heartbeat,
            electionMs: cfg.control.election,
            snapshotEvery: cfg.control.snapshotEvery,
        };
        this.replica = await Replica.open({
            identity: { host: cfg.host, url: cfg.peerUrl },
            store: cfg.dataFolder === undefined ? new MemoryLogStore() : new FileLogStore(cfg.dataFolder),
            machine: new ComposedMachine([this.declarations, this.ledger, this.claims, this.crashes]),
            peers: new RpcPeerConnector(clients),
            seeds: cfg.control.seeds,
            timeline,
            options,
            onFatal: this.onFatal,
        });
        this.controller = this.newController();
    }

    private newController(): PlacementController {
        const { cfg, replica, ledger, registrar, demand, timeline } = this;
        const { moveCost, storeRate, storeConcurrency } = cfg.placement;
        return new PlacementController({
            log: {
                get leadingTerm() {
                    return replica.leading === undefined ? undefined : Number(replica.leading.term);
                },
                propose: async command => {
                    const { result } = await replica.proposeHere(encodeCommand("ledger", command));
                    return JSON.parse(Buffer.from(result).toString()) as LedgerResult;
                },
            },
            ledger,
            registrar,
            orders: new RpcOrderSender(this.clients),
            placer: new IncrementalPlacer(cfg.placement.sparePatience),
            demand,
            catalogue: () => this.catalogues.current,
            timeline,
            moveCost,
            storeRate,
            storeConcurrency,
        });
    }

    private async openListeners(): Promise<void> {
        const { cfg, replica, clients, timeline, registrar, declarations, metrics } = this;
        const answer = reportAnswer(replica, declarations);
        this.rpc = await RpcServer.listen(cfg.listen.peers, router => {
            router.service(ConsensusService, consensusService(() => replica));
            router.service(RegistrarService, registrarService(registrar, answer));
            router.service(PlacementService, placementService(this.demand));
            router.service(TimelineService, timelineService(timeline));
        }, { key: cfg.key, timeline });
        this.operators = operatorServer({
            replica,
            peers: new RpcPeerConnector(clients),
            registrar,
            ledger: this.ledger,
            catalogue: () => this.catalogues.current,
            declarations,
            clients,
            metrics,
            key: cfg.key,
            unready: () => this.unready(),
        });
        await this.operators.listen(cfg.listen.operators!);
        replica.start();
    }

    /** Old declarations are never acted on: the first answer waits for a read through a majority. */
    private async becomeReady(): Promise<void> {
        const { cfg } = this;
        await this.replica.joined(joinTimeoutMs);
        await this.replica.barrier(joinTimeoutMs);
        if (cfg.listen.callers !== undefined) {
            this.callers = callerServer({
                handler: this.handler,
                catalogue: () => this.catalogues.current,
                table: new RoutingTable({
                    registrar: this.registrar,
                    catalogue: () => this.catalogues.current,
                    drainedSince: () => this.drains.current(),
                }),
                unplaceable: model => this.unplaceable(model),
                requestMs: cfg.limits.request,
                firstTokenMs: cfg.limits.firstToken,
                bodyBytes: cfg.limits.body,
                headerBytes: cfg.limits.header,
                connections: cfg.limits.connections,
            });
            await this.callers.listen(cfg.listen.callers);
        }
        this.ready = true;
        this.timeline.record("process.ready", { revision: this.declarations.revision });
    }

    private async runTasks(): Promise<void> {
        const { signal } = this.stopping;
        await Promise.all([
            this.registrar.run(signal),
            this.controller.run(signal),
            this.glueUpstreams(signal),
            this.glueDeclarations(signal),
            this.reportDemand(signal),
            this.quarantine.run(signal),
        ]);
    }

    private async glueUpstreams(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.registrar.changed.wait(glueMs);
            this.handler.upstreamsChanged();
            this.controller.wake.notify();
        }
    }

    private async glueDeclarations(signal: AbortSignal): Promise<void> {
        let shown = 0;
        while (!signal.aborted) {
            await this.declarations.changed.wait(glueMs);
            const { revision } = this.declarations;
            if (revision !== shown) {
                shown = revision;
                this.timeline.record("revision.in-force", { revision });
                this.handler.upstreamsChanged();
                this.controller.wake.notify();
            }
        }
    }

    /** Tells the leader once a second what callers ask for. */
    private async reportDemand(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(demandMs, signal);
            const models = this.handler.meter.read().map(sample => create(ModelDemandSchema, sample));
            const { leaderUrl } = this.replica.state;
            if (leaderUrl === "" || this.cfg.role !== "entry") {
                continue;
            }
            const report = { entry: this.cfg.host, intervalMs: demandMs, models };
            await this.clients.client(PlacementService, leaderUrl).reportDemand(report, { timeoutMs: demandMs })
                .catch((err: Error) => this.log("demand not reported", { error: err.message }));
        }
    }

    private unplaceable(model: Model): string | undefined {
        const { current } = this.catalogues;
        const views = acceleratorViews(this.ledger, this.registrar.live(), current.drained, () => true);
        const reason = placementReason(model, views, 0);
        return reason.lasting ? reason.text : undefined;
    }

    private unready(): string {
        const { state } = this.replica;
        if (!this.ready) {
            return this.stopping.signal.aborted ? "stopping" : "starting or stopping";
        }
        const cutOff = state.role !== "leader" && steadyNow() - state.lastHeard > cutOffMs;
        return cutOff ? "cut off from the control group" : "";
    }

    private tellQuarantine(event: string, values: EventValues = {}): void {
        this.timeline.record(event, { detail: JSON.stringify(values) });
    }

    private async propose<T>(slice: string, command: unknown, timeoutMs: number): Promise<T> {
        const { result } = await this.replica.propose(encodeCommand(slice, command), timeoutMs);
        return JSON.parse(Buffer.from(result).toString()) as T;
    }
}
