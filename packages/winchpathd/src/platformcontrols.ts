/** What a host with a disk does for control on the platform: configuration, upstreams, orders to engines. */
import { AccountLimitCoordinator, type EntryCounts } from "@winchpath/accounts";
import { type AvailabilityTracker, RateLimitCoordinator, type RateReport } from "@winchpath/availability";
import {
    ComposedMachine,
    ConsensusService,
    consensusService,
    encodeCommand,
    FileLogStore,
    type Replica,
    ReplicaKeeper,
    RpcPeerConnector,
} from "@winchpath/consensus";
import {
    type EventLog,
    Failure,
    FailureCode,
    listenBacklog,
    messageOf,
    type Metrics,
    steadyNow,
} from "@winchpath/core";
import {
    type Configuration,
    type ConfigurationDocument,
    type DocumentResult,
    Documents,
} from "@winchpath/declarations";
import {
    type Announcement,
    type AnnouncementControl,
    AnnouncementReceiver,
    createFleetService,
    type DemandRequest,
    DemandTracker,
    Feed,
    type FeedControl,
    type Fence,
    FleetService,
    type Incarnation,
    OrderLease,
    OutlierMonitor,
    type PlacementContext,
    PlacementController,
    Registry,
    UpstreamState,
} from "@winchpath/fleet";
import {
    type ControlCalls,
    controlServer,
    peerUrl,
    PlatformEngineCalls,
    readCheckedDocument,
} from "@winchpath/platform";
import {
    CrashMonitor,
    type QuarantineCommand,
    type QuarantineResult,
    QuarantineState,
    type UpstreamPresence,
} from "@winchpath/quarantine";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { type LiveSettings } from "./platformsettings.js";

/** Heartbeats cost processor time at every control host; three fit into an election time. */
const heartbeatMs = 300;
/** A failed leader is replaced after one to two of these; acknowledgements are due within a few seconds. */
const electionMs = 1000;
/** Documents may be large: the log is kept short. */
const snapshotEvery = 64;
const trailing = 16;
/** Within this time of its last quorum no other leader can have been elected: orders may be given. */
const orderQuorumMs = 700;
/** An operator tries elsewhere after a second without an answer. */
const callMs = 900;
const handOverMs = 1500;
const rpcGraceMs = 300;
/** Events that are kept in memory; the log has them all. */
const timelineEvents = 200;
/** Stands for "not known" where an age is told, in milliseconds. */
const longestAgeMs = 3_600_000;
const lookMs = 1000;
const expireMs = 1000;
/** A new leader has heard of every upstream by then, in milliseconds: three announcements at the usual 1.2 s. */
const heardMs = 4000;
/** All upstreams are looked at this often at most, in milliseconds; a failure that is reported is looked at at once. */
const reviewMs = 200;

export class PlatformControl implements ControlCalls, FeedControl, AnnouncementControl, PlacementContext {
    private readonly stopping = new AbortController();
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private documents = new Documents();
    private crashes = new QuarantineState();
    private readonly registry: Registry;
    private readonly feed: Feed;
    private readonly desk: AnnouncementReceiver;
    private readonly engines: PlatformEngineCalls;
    private readonly server;
    private readonly lease: OrderLease;
    private demand: DemandTracker;
    private limits: AccountLimitCoordinator;
    private rates: RateLimitCoordinator;
    private readonly keeper: ReplicaKeeper;
    private keeping: Promise<void> = Promise.resolve();
    private rpc!: RpcServer;
    private leadership:
        | {
            readonly epoch: string;
            readonly end: AbortController;
            readonly placement: PlacementController;
            readonly healths: OutlierMonitor;
            readonly crashes: CrashMonitor;
        }
        | undefined;
    private parsed: { readonly version: number; readonly configuration: Configuration | undefined; } | undefined;
    private followed = "";
    private followedConfiguration: Configuration | undefined;

    public constructor(
        private readonly settings: LiveSettings,
        availability: AvailabilityTracker,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
    ) {
        const { host, dataCentre, control } = settings.current;
        this.timeline = new Timeline({ process: `control/${host}`, host, dataCentre }, timelineEvents, log);
        this.clients = new RpcClients({ key: undefined, timeline: this.timeline });
        this.registry = new Registry(log, service => this.serves(service));
        this.lease = new OrderLease(() => settings.current.orderLeaseMs, log);
        this.demand = new DemandTracker(log);
        this.limits = new AccountLimitCoordinator(settings.current.limitTolerance, log);
        this.rates = this.makeRates();
        this.feed = new Feed(this.registry, this, log);
        this.desk = new AnnouncementReceiver(this.registry, this.feed, this, this.clients, log);
        this.engines = new PlatformEngineCalls(availability, {
            leaving: id => this.registry.markDraining(id, host),
            limited: (upstream, perSecond) => {
                this.rates.processReports(host, [{
                    kind: "limited",
                    upstream,
                    perSecond,
                    ageMs: 0,
                    wanted: 0,
                    held: 0,
                }]);
            },
        }, log);
        this.server = controlServer(this, control!.port, log);
        this.keeper = this.makeKeeper();
    }

    public async start(): Promise<void> {
        const { current: cfg } = this.settings;
        this.rpc = await RpcServer.listen(cfg.peers, router => {
            router.service(ConsensusService, consensusService(() => this.keeper.require()));
            router.service(FleetService, createFleetService(this.fleetParts()));
        }, { key: undefined, timeline: this.timeline });
        this.keeping = this.keeper.run(this.stopping.signal);
        void this.followReplica();
        void this.followRegistry();
        void this.desk.run(this.stopping.signal);
        await this.server.listen({ ...cfg.control!, backlog: listenBacklog });
    }

    /** Leadership goes to another host; this one stays a voter until it stops. */
    public async prepareStop(): Promise<void> {
        await this.replica?.handOver(handOverMs);
    }

    public async stop(): Promise<void> {
        await this.replica?.handOver(handOverMs);
        this.endLeadership();
        await this.server.close();
        this.stopping.abort();
        await this.keeping;
        this.clients.close();
        await this.engines.close();
        await this.rpc.close(rpcGraceMs);
    }

    /** Undefined while the disk can't be used. */
    private get replica(): Replica | undefined {
        return this.keeper.current;
    }

    private makeKeeper(): ReplicaKeeper {
        const { current: cfg } = this.settings;
        return new ReplicaKeeper({
            identity: { host: cfg.host, url: peerUrl(cfg.peers.host, cfg.peers.port) },
            store: () => new FileLogStore(cfg.dataFolder!),
            machine: () =>
                new ComposedMachine([this.documents = new Documents(), this.crashes = new QuarantineState()]),
            peers: new RpcPeerConnector(this.clients),
            seeds: () => this.settings.current.seeds,
            timeline: this.timeline,
            options: {
                heartbeatMs,
                electionMs,
                snapshotEvery,
                trailing,
                maxVoters: 2 * cfg.tolerated + 1,
                mayForm: cfg.firstStart,
            },
            log: this.log,
        });
    }

    public async putDocument(document: ConfigurationDocument): Promise<DocumentResult> {
        const startedAt = performance.now();
        const { result } = await this.keeper.require().propose(encodeCommand("documents", document), callMs);
        this.metrics.histogram("document_commit").record(performance.now() - startedAt);
        return JSON.parse(Buffer.from(result).toString()) as DocumentResult;
    }

    public async readDocument(): Promise<ConfigurationDocument | undefined> {
        await this.barrier();
        return this.documents.current;
    }

    public announce(announcement: Announcement): Promise<void> {
        return this.desk.receive(announcement);
    }

    public leave(incarnation: Incarnation): Promise<void> {
        return this.desk.leave(incarnation);
    }

    public leaderHost(): string | undefined {
        const leaderUrl = this.replica?.state.leaderUrl ?? "";
        return leaderUrl === "" ? undefined : new URL(leaderUrl).hostname;
    }

    /** Announcements are spread over all hosts that follow the leader, which would drown in them alone. */
    public announcementHost(): string | undefined {
        return this.leaderHost() === undefined ? undefined : this.settings.current.control!.host;
    }

    public get isLeader(): boolean {
        return this.epoch !== undefined;
    }

    public get leadershipAgeMs(): number {
        return this.replica?.leading?.ledMs ?? 0;
    }

    public get quorumAgeMs(): number {
        return Math.min(longestAgeMs, this.replica?.leading?.majorityAgeMs ?? longestAgeMs);
    }

    /** URL of another host that leads; empty where none is known. */
    public get leaderUrl(): string {
        const state = this.replica?.state;
        return state === undefined || state.role === "leader" ? "" : state.leaderUrl;
    }

    public get controlUrls(): readonly string[] {
        return this.replica?.state.membership?.members.map(member => member.url) ?? [];
    }

    public get document(): ConfigurationDocument | undefined {
        return this.documents.current;
    }

    public get quarantine(): QuarantineState {
        return this.crashes;
    }

    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.demand.awaitedModels(entry);
    }

    public async barrier(): Promise<void> {
        await this.keeper.require().barrier(callMs);
    }

    public async confirmLeadership(timeoutMs: number): Promise<void> {
        const { epoch } = this;
        await this.keeper.require().barrier(timeoutMs);
        // A host that has been deposed meanwhile passes the barrier by asking the next leader.
        if (epoch === undefined || this.epoch !== epoch) {
            throw Failure.of(FailureCode.noLeader, "another leader has followed");
        }
    }

    public get epoch(): string | undefined {
        const leading = this.replica?.leading;
        // A leader that is cut off finds out within an election time; until then it tells nobody anything new.
        const valid = leading !== undefined && leading.quorumAgeMs < electionMs;
        return valid ? `${leading.term}/${this.replica!.state.memberId}` : undefined;
    }

    public get configuration(): Configuration | undefined {
        const { current } = this.documents;
        if (current !== undefined && current.version !== this.parsed?.version) {
            const parsed = readCheckedDocument(current.text);
            if (parsed.err) {
                this.log.warn("configuration.unreadable", { version: current.version, error: parsed.val.message });
            }
            const configuration = parsed.err ? undefined : parsed.val as Configuration;
            this.parsed = { version: current.version, configuration };
        }
        return this.parsed?.configuration;
    }

    private fleetParts() {
        return {
            feed: this.feed,
            announcements: this.desk,
            demand: { take: (report: Parameters<DemandTracker["take"]>[0]) => this.demand.take(report) },
            isLeader: () => this.isLeader,
            lease: this.lease,
            limits: { processCounts: (told: EntryCounts) => this.limits.processCounts(told) },
            rates: {
                processReports: (from: string, reports: readonly RateReport[]) =>
                    this.rates.processReports(from, reports),
            },
            crashWatch: () => this.isLeader ? this.leadership?.crashes : undefined,
            onDemandReport: (report: DemandRequest) => {
                report.mismatches.forEach(mismatch => this.leadership?.placement.resyncAfterMismatch(mismatch));
                report.unreachable.forEach(id => this.registry.reportUnreachable(id, report.entry));
                report.leaving.forEach(id => this.registry.markDraining(id, report.entry));
                this.leadership?.healths.record(report);
                this.leadership?.placement.notify();
            },
        };
    }

    private async followReplica(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await (this.replica ?? this.keeper).changed.wait(lookMs);
            this.tellLeader();
            this.followLeadership();
            this.followConfiguration();
            this.feed.wakePolls();
            this.leadership?.placement.notify();
        }
    }

    private followConfiguration(): void {
        const { configuration } = this;
        if (configuration !== undefined && configuration !== this.followedConfiguration) {
            this.followedConfiguration = configuration;
            this.limits.setAccounts(configuration.accounts ?? []);
            this.registry.admitPending();
        }
    }

    /** Before the first configuration any service may be named by it. */
    private serves(service: string): boolean {
        return this.configuration?.services.some(({ name }) => name === service) ?? true;
    }

    private tellLeader(): void {
        if (this.replica === undefined) {
            return;
        }
        const { role, term, leaderUrl } = this.replica.state;
        const now = `${term} ${role} ${leaderUrl}`;
        if (now !== this.followed) {
            this.followed = now;
            this.metrics.count("leader_changes_total");
            this.log.info("control.leader", { term: Number(term), role, leader: leaderUrl });
        }
    }

    private followLeadership(): void {
        const leading = this.replica?.leading;
        const epoch = leading === undefined ? undefined : `${leading.term}/${this.replica!.state.memberId}`;
        if (epoch === this.leadership?.epoch) {
            return;
        }
        this.endLeadership();
        if (epoch !== undefined) {
            this.beginLeadership(epoch);
        }
    }

    /** What an earlier leadership knew of upstreams may be old by now. */
    private beginLeadership(epoch: string): void {
        this.registry.clear();
        this.demand = new DemandTracker(this.log);
        this.limits = new AccountLimitCoordinator(this.settings.current.limitTolerance, this.log);
        this.limits.setAccounts(this.configuration?.accounts ?? []);
        this.rates = this.makeRates();
        const end = new AbortController();
        const placement = new PlacementController(this, this.registry, this.demand, this.engines, this.log);
        const crashes = this.crashWatch();
        this.leadership = { epoch, end, placement, healths: new OutlierMonitor(this.registry), crashes };
        this.log.info("leadership.begun", { epoch });
        void this.lease.acquire(Number(this.replica!.leading!.term), this.otherUrls(), this.clients, end.signal);
        void crashes.run(end.signal);
        placement.run(end.signal).catch(err => this.log.warn("placement.failed", { error: messageOf(err) }));
    }

    private makeRates(): RateLimitCoordinator {
        return new RateLimitCoordinator(this.log, (id, limited) => this.registry.setRateLimited(id, limited));
    }

    private crashWatch(): CrashMonitor {
        return new CrashMonitor({
            book: () => this.crashes,
            presence: upstream => this.presenceOf(upstream),
            propose: command => this.proposeQuarantine(command),
            log: this.log,
            metrics: this.metrics,
        });
    }

    private presenceOf(upstream: string): UpstreamPresence {
        const known = this.registry.get(upstream)?.upstream;
        if (known !== undefined) {
            return known.state === UpstreamState.DRAINING ? "leaving" : "serving";
        }
        if (this.registry.wasReplaced(upstream)) {
            return "replaced";
        }
        return this.leadershipAgeMs < heardMs ? "unheard" : "gone";
    }

    private async proposeQuarantine(command: QuarantineCommand): Promise<QuarantineResult> {
        const { result } = await this.keeper.require().propose(encodeCommand("quarantine", command), callMs);
        this.feed.wakePolls();
        return JSON.parse(Buffer.from(result).toString()) as QuarantineResult;
    }

    private otherUrls(): string[] {
        const { current: cfg } = this.settings;
        const own = peerUrl(cfg.peers.host, cfg.peers.port);
        return this.controlUrls.filter(url => url !== own);
    }

    private endLeadership(): void {
        if (this.leadership !== undefined) {
            this.log.info("leadership.ended", { epoch: this.leadership.epoch });
            this.leadership.end.abort();
            this.leadership = undefined;
        }
    }

    /** How often upstreams announce themselves, in milliseconds. */
    public get announceMs(): number {
        return this.settings.current.announceMs;
    }

    public orderSent(): void {
        this.lease.recordOrder();
    }

    /** Orders wait until the earlier leader's lease is over, and need a majority that was heard just now. */
    public fence(): Fence | undefined {
        const leading = this.replica?.leading;
        if (leading === undefined || leading.quorumAgeMs > orderQuorumMs) {
            return undefined;
        }
        const token = Number(leading.term);
        return this.lease.isGranted(token) ? { holder: this.settings.current.host, token } : undefined;
    }

    private async followRegistry(): Promise<void> {
        let reviewedAt = Number.NEGATIVE_INFINITY;
        while (!this.stopping.signal.aborted) {
            await this.registry.changed.wait(expireMs);
            if (steadyNow() - reviewedAt >= reviewMs) {
                reviewedAt = steadyNow();
                this.registry.removeExpired();
                this.leadership?.healths.evaluate();
            }
            this.feed.wakePolls();
            this.leadership?.placement.notify();
        }
    }
}
