/** The process of an entry or control host: consensus, placement, routing and its listeners. */
import { create } from "@bufbuild/protobuf";
import { ConnectionPool } from "@winchpath/connections";
import {
    CompositeStateMachine,
    type ConsensusOptions,
    ConsensusService,
    consensusService,
    encodeCommand,
    FileLogStore,
    MemoryLogStore,
    Replica,
    RpcPeerConnector,
} from "@winchpath/consensus";
import { type EventFields, eventLoop, type LogFields, logger, Metrics, sleep } from "@winchpath/core";
import { CatalogueCache, Declarations, type Model } from "@winchpath/declarations";
import { closeOperatorServer, createOperatorServer } from "@winchpath/operators";
import {
    acceleratorViews,
    DemandTracker,
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
    type ClaimResult,
    ClientServer,
    IdempotencyClaims,
    RequestHandler,
    RequestQuarantine,
    RpcAgentConnector,
} from "@winchpath/requests";
import { type RetryBound, RetryBudgetTable, RetrySlotService, retrySlotService, SlotRenewal } from "@winchpath/retries";
import { Router, RoutingTable } from "@winchpath/routing";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { type Settings } from "@winchpath/settings";
import { Timeline, TimelineService, timelineService } from "@winchpath/timeline";
import { createRegistrarService, Registrar, RegistrarService } from "@winchpath/upstream";
import { DrainTracker } from "./draintrackers.js";
import { createReportAnswer } from "./reports.js";
import { SlotGranter } from "./slotgranters.js";

const joinTimeoutMs = 60_000;
/** Retries in a window beyond the share of requests, over all entries. */
const retrySlack = 100;
const retryWindowMs = 10_000;
/** Retries of all resources share one budget. */
const retryService = "all";
const demandIntervalMs = 1000;
const changePollMs = 1000;
/** Delay between failing the readiness check and closing the listener, so that load balancers stop routing here. */
const loadBalancerDelayMs = 1000;
const leadershipTransferTimeoutMs = 5000;
/** Timeout for committing a quarantine command before it is retried. */
const quarantineTimeoutMs = 1000;
/** Time for requests of operators to end; watches never do. */
const operatorCloseTimeoutMs = 1000;
/** A host without contact to a leader for this long reports not ready, since its declarations may be stale. */
const leaderTimeoutMs = 3000;
/** Connections of operators and peers beside those of clients. */
const otherConnections = 128;

/** A process that can be stopped gracefully. */
export interface RunningProcess {
    /** Startup line printed to standard output. */
    readonly description: string;
    stop(): Promise<void>;
}

export class ControlProcess implements RunningProcess {
    private readonly log = logger("winchpathd");
    private readonly logEvent = (event: string, values: EventFields = {}) => this.log(event, values as LogFields);
    private readonly stopping = new AbortController();
    private readonly metrics = new Metrics();
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private readonly declarations = new Declarations();
    private readonly ledger = new Ledger();
    private readonly claims = new IdempotencyClaims();
    private readonly quarantineState = new QuarantineState();
    private readonly quarantine = new RequestQuarantine({
        book: () => this.quarantineState,
        propose: command => this.propose<QuarantineResult>("quarantine", command, quarantineTimeoutMs),
        metrics: this.metrics,
        log: {
            info: (event, values) => this.recordQuarantineEvent(event, values),
            warn: (event, values) => this.recordQuarantineEvent(event, values),
        },
    });
    private readonly demandTracker = new DemandTracker();
    private readonly catalogues = new CatalogueCache(this.declarations);
    private readonly drainTracker = new DrainTracker(() => this.catalogues.current.drained);
    private readonly registrar: Registrar;
    private readonly handler: RequestHandler;
    private readonly retryBudgets: RetryBudgetTable;
    private readonly slotRenewal: SlotRenewal;
    private replica!: Replica;
    /** Connections of all listeners. */
    private readonly connectionPool: ConnectionPool;
    private placementController!: PlacementController;
    private rpcServer!: RpcServer;
    private clientServer: ClientServer | undefined;
    private operatorListener!: ReturnType<typeof createOperatorServer>;
    private isReady = false;

    private constructor(private readonly cfg: Settings, private readonly onFatal: (err: Error) => void) {
        const { host, dataCentre, key, role } = cfg;
        this.timeline = new Timeline({ process: `${role}/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key, timeline: this.timeline });
        this.registrar = new Registrar(this.timeline);
        const log = { info: this.logEvent, warn: this.logEvent };
        const { connections, clientMemory } = cfg.limits;
        this.connectionPool = new ConnectionPool(
            { connections: connections + otherConnections, heldBytes: clientMemory },
            log,
            this.metrics,
        );
        this.slotRenewal = new SlotRenewal({
            entry: host,
            clients: this.clients,
            leaderUrl: () => this.replica.state.leaderUrl,
            log,
        });
        this.retryBudgets = new RetryBudgetTable({
            bound: () => this.retryBound,
            services: () => [retryService],
            requestReport: () => this.slotRenewal.reportSoon(),
            log,
            metrics: this.metrics,
        });
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
            retryBudget: this.retryBudgets.of(retryService),
            claimWindowMs: cfg.limits.claimWindow,
        });
    }

    /** Starts the process and resolves once it serves requests. */
    public static async start(cfg: Settings, onFatal: (err: Error) => void): Promise<ControlProcess> {
        const control = new ControlProcess(cfg, onFatal);
        eventLoop.start({ info: control.logEvent, warn: control.logEvent }, control.metrics);
        control.stopping.signal.addEventListener("abort", control.connectionPool.start(), { once: true });
        await control.openReplica();
        await control.openListeners();
        void control.runBackgroundTasks();
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
        this.isReady = false;
        this.timeline.record("process.stopping");
        this.clientServer?.prepareClose();
        await this.replica.transferLeadership(leadershipTransferTimeoutMs);
        await sleep(loadBalancerDelayMs);
        const cut = await this.clientServer?.close(Math.max(0, deadline - Date.now()));
        if (cut !== undefined && cut > 0) {
            this.log("responses cut off at the deadline", { count: cut });
        }
        this.handler.close();
        this.stopping.abort();
        await this.replica.stop();
        await closeOperatorServer(this.operatorListener, operatorCloseTimeoutMs);
        this.clients.close();
        await this.rpcServer.close(loadBalancerDelayMs);
    }

    private get retryBound(): RetryBound {
        return { ratio: this.cfg.limits.retryShare, slack: retrySlack, windowMs: retryWindowMs };
    }

    private async openReplica(): Promise<void> {
        const { cfg, clients, timeline } = this;
        const options: Partial<ConsensusOptions> = {
            heartbeatMs: cfg.control.heartbeat,
            electionMs: cfg.control.election,
            snapshotEvery: cfg.control.snapshotEvery,
        };
        this.replica = await Replica.open({
            identity: { host: cfg.host, url: cfg.peerUrl },
            store: cfg.dataFolder === undefined ? new MemoryLogStore() : new FileLogStore(cfg.dataFolder),
            machine: new CompositeStateMachine([this.declarations, this.ledger, this.claims, this.quarantineState]),
            peers: new RpcPeerConnector(clients),
            seeds: cfg.control.seeds,
            timeline,
            options,
            onFatal: this.onFatal,
        });
        this.placementController = this.createPlacementController();
    }

    private createPlacementController(): PlacementController {
        const { cfg, replica, ledger, registrar, demandTracker, timeline } = this;
        const { moveCost, storeRate, storeConcurrency } = cfg.placement;
        return new PlacementController({
            log: {
                get leadingTerm() {
                    return replica.readyLeadership === undefined ? undefined : Number(replica.readyLeadership.term);
                },
                propose: async command => {
                    const { result } = await replica.proposeAsLeader(encodeCommand("ledger", command));
                    return JSON.parse(Buffer.from(result).toString()) as LedgerResult;
                },
            },
            ledger,
            registrar,
            orders: new RpcOrderSender(this.clients),
            placer: new IncrementalPlacer(cfg.placement.sparePatience),
            demand: demandTracker,
            catalogue: () => this.catalogues.current,
            timeline,
            moveCost,
            storeRate,
            storeConcurrency,
        });
    }

    private async openListeners(): Promise<void> {
        const { cfg, replica, clients, timeline, registrar, declarations, metrics } = this;
        const reportAnswer = createReportAnswer(replica, declarations);
        const slotGranter = new SlotGranter(() => replica, () => this.retryBound, {
            info: this.logEvent,
            warn: this.logEvent,
        });
        this.rpcServer = await RpcServer.listen(
            cfg.listen.peers,
            router => {
                router.service(ConsensusService, consensusService(() => replica));
                router.service(RegistrarService, createRegistrarService(registrar, reportAnswer));
                router.service(PlacementService, placementService(this.demandTracker));
                router.service(TimelineService, timelineService(timeline));
                router.service(RetrySlotService, retrySlotService(slotGranter));
            },
            { key: cfg.key, timeline },
            this.connectionPool,
        );
        this.operatorListener = createOperatorServer({
            replica,
            peers: new RpcPeerConnector(clients),
            registrar,
            ledger: this.ledger,
            catalogue: () => this.catalogues.current,
            declarations,
            clients,
            metrics,
            key: cfg.key,
            unready: () => this.notReadyReason(),
            connectionPool: this.connectionPool,
        });
        await this.operatorListener.listen(cfg.listen.operators!);
        replica.start();
    }

    /** Opens the caller listener only after a linearizable read, so that stale declarations are never served. */
    private async becomeReady(): Promise<void> {
        const { cfg } = this;
        await this.replica.waitUntilJoined(joinTimeoutMs);
        await this.replica.barrier(joinTimeoutMs);
        if (cfg.listen.callers !== undefined) {
            this.clientServer = new ClientServer({
                handler: this.handler,
                catalogue: () => this.catalogues.current,
                table: new RoutingTable({
                    registrar: this.registrar,
                    catalogue: () => this.catalogues.current,
                    drainedSince: () => this.drainTracker.startTimes(),
                }),
                unplaceableReason: model => this.unplaceableReason(model),
                requestMs: cfg.limits.request,
                firstTokenMs: cfg.limits.firstToken,
                bodyBytes: cfg.limits.body,
                headerBytes: cfg.limits.header,
                connectionPool: this.connectionPool,
                unreadMs: cfg.limits.unread,
            });
            await this.clientServer.listen(cfg.listen.callers);
        }
        this.isReady = true;
        this.timeline.record("process.ready", { revision: this.declarations.revision });
    }

    private async runBackgroundTasks(): Promise<void> {
        const { signal } = this.stopping;
        await Promise.all([
            this.registrar.run(signal),
            this.placementController.run(signal),
            this.watchUpstreams(signal),
            this.watchDeclarations(signal),
            this.reportDemand(signal),
            this.cfg.role === "entry" ? this.slotRenewal.run(this.retryBudgets, signal) : undefined,
            this.quarantine.run(signal),
        ]);
    }

    private async watchUpstreams(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.registrar.changed.wait(changePollMs);
            this.handler.upstreamsChanged();
            this.placementController.wake.notify();
        }
    }

    private async watchDeclarations(signal: AbortSignal): Promise<void> {
        let recordedRevision = 0;
        while (!signal.aborted) {
            await this.declarations.changed.wait(changePollMs);
            const { revision } = this.declarations;
            if (revision !== recordedRevision) {
                recordedRevision = revision;
                this.timeline.record("revision.in-force", { revision });
                this.handler.upstreamsChanged();
                this.placementController.wake.notify();
            }
        }
    }

    /** Reports request demand to the leader periodically. */
    private async reportDemand(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(demandIntervalMs, signal);
            const models = this.handler.meter.read().map(sample => create(ModelDemandSchema, sample));
            const { leaderUrl } = this.replica.state;
            if (leaderUrl === "" || this.cfg.role !== "entry") {
                continue;
            }
            const report = { entry: this.cfg.host, intervalMs: demandIntervalMs, models };
            await this.clients.client(PlacementService, leaderUrl).reportDemand(report, { timeoutMs: demandIntervalMs })
                .catch((err: Error) => this.log("demand report failed", { error: err.message }));
        }
    }

    private unplaceableReason(model: Model): string | undefined {
        const { current } = this.catalogues;
        const accelerators = acceleratorViews(this.ledger, this.registrar.live(), current.drained, () => true);
        const reason = placementReason(model, accelerators, 0);
        return reason.isPermanent ? reason.text : undefined;
    }

    private notReadyReason(): string {
        const { state } = this.replica;
        if (!this.isReady) {
            return this.stopping.signal.aborted ? "stopping" : "starting or stopping";
        }
        const isCutOff = state.role !== "leader" && state.silentMs > leaderTimeoutMs;
        return isCutOff ? "cut off from the control group" : "";
    }

    private recordQuarantineEvent(event: string, values: EventFields = {}): void {
        this.timeline.record(event, { detail: JSON.stringify(values) });
    }

    private async propose<T>(slice: string, command: unknown, timeoutMs: number): Promise<T> {
        const { result } = await this.replica.propose(encodeCommand(slice, command), timeoutMs);
        return JSON.parse(Buffer.from(result).toString()) as T;
    }
}
