/** Control component of a platform host with a disk: configuration, upstream registry and engine placement. */
import { AccountLimitCoordinator } from "@winchpath/accounts";
import { type AvailabilityTracker, RateLimitCoordinator, type RateReport } from "@winchpath/availability";
import { type ConnectionPool, guardHttpServer } from "@winchpath/connections";
import { ConsensusService, consensusService, type Replica, type ReplicaSupervisor } from "@winchpath/consensus";
import { type EventLog, listenBacklog, messageOf, type Metrics, steadyNow } from "@winchpath/core";
import {
    type Configuration,
    type ConfigurationDocument,
    type ConfigurationState,
    type DocumentResult,
    type ProposedDocument,
} from "@winchpath/declarations";
import {
    type Announcement,
    type AnnouncementControl,
    AnnouncementReceiver,
    type CrashDecisions,
    createFleetService,
    type DemandRequest,
    DemandTracker,
    type Departure,
    type DepartureState,
    Feed,
    type FeedControl,
    type Fence,
    FleetService,
    maxQuorumAgeMs,
    type NamedStart,
    OrderLease,
    OutlierMonitor,
    type PlacementContext,
    PlacementController,
    Registry,
    type SoftwareVersionCommand,
    type SoftwareVersionState,
    VersionAdmission,
    type VersionKey,
} from "@winchpath/fleet";
import { type ControlHandler, createControlServer, peerUrl, PlatformEngineClient } from "@winchpath/platform";
import { type QuarantineCommand, type QuarantineResult, type QuarantineState } from "@winchpath/quarantine";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { OriginRecordStore, StreamOriginService, streamOriginService } from "@winchpath/streamorigins";
import { Timeline } from "@winchpath/timeline";
import { LeaderCrashDecisions } from "./crashdecisions.js";
import { controlListener } from "./listeneroptions.js";
import { ParsedDocument } from "./parseddocuments.js";
import { createPlatformReplica, handOverLeadership, handOverVote } from "./platformreplicas.js";
import { type ReloadableSettings } from "./platformsettings.js";
import { Proposals } from "./proposals.js";
import { ReplicatedState } from "./replicatedstates.js";
import { SlotGranter } from "./slotgranters.js";

/** Orders may be sent within this time of the last quorum contact: no other leader can have been elected yet. */
const maxOrderQuorumAgeMs = 700;
/** Shorter than the one second after which operators' clients try another host. */
const callTimeoutMs = 900;
const rpcCloseTimeoutMs = 300;
/** Events kept in memory; the structured log has all of them. */
const timelineCapacity = 200;
/** Reported as the quorum age when it is unknown. */
const unknownAgeMs = 3_600_000;
const replicaPollMs = 1000;
const registryPollMs = 1000;
/** Limits how often the whole registry is evaluated; reported failures are evaluated immediately. */
const minEvaluationIntervalMs = 200;

/** State that lives as long as a leadership of this host. */
interface Leadership {
    readonly epoch: string;
    readonly abort: AbortController;
    readonly placement: PlacementController;
    readonly outlierMonitor: OutlierMonitor;
    readonly crashes: CrashDecisions;
    readonly versions: VersionAdmission;
    /** Revision of the departures that the registry has received. */
    departureRevision: number;
}

export class PlatformControl implements ControlHandler, FeedControl, AnnouncementControl, PlacementContext {
    private readonly stopping = new AbortController();
    private readonly timeline: Timeline;
    private readonly clients: RpcClients;
    private state = new ReplicatedState();
    private readonly proposals = new Proposals(() => this.keeper, callTimeoutMs);
    private readonly registry: Registry;
    private readonly feed: Feed;
    private readonly announcementReceiver: AnnouncementReceiver;
    private readonly originRecords: OriginRecordStore;
    private readonly engines: PlatformEngineClient;
    private readonly httpServer;
    private readonly orderLease: OrderLease;
    private demand: DemandTracker;
    private accountLimits: AccountLimitCoordinator;
    private rateLimits: RateLimitCoordinator;
    private readonly slotGranter: SlotGranter;
    private readonly keeper: ReplicaSupervisor;
    private keeperStopped: Promise<void> = Promise.resolve();
    private rpcServer!: RpcServer;
    private leadership: Leadership | undefined;
    private lastLoggedLeader = "";
    private appliedConfiguration: Configuration | undefined;
    private readonly parsedDocument: ParsedDocument;

    public constructor(
        private readonly settings: ReloadableSettings,
        availability: AvailabilityTracker,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
        private readonly connectionPool: ConnectionPool,
    ) {
        const { host, dataCentre, controlAddress: control } = settings.current;
        this.timeline = new Timeline({ process: `control/${host}`, host, dataCentre }, timelineCapacity, log);
        this.clients = new RpcClients({ key: undefined, timeline: this.timeline });
        this.registry = new Registry(log, service => this.isKnownService(service), version => this.isAdmitted(version));
        this.orderLease = new OrderLease(() => settings.current.orderLeaseMs, log);
        this.demand = new DemandTracker(log);
        this.accountLimits = new AccountLimitCoordinator(settings.current.limitTolerance, log);
        this.rateLimits = this.createRateLimits();
        this.slotGranter = new SlotGranter(() => this.replica, () => settings.current.retryBudget, log);
        this.parsedDocument = new ParsedDocument(log);
        this.feed = new Feed(this.registry, this, log);
        this.announcementReceiver = new AnnouncementReceiver(this.registry, this.feed, this, this.clients, {
            log,
            metrics,
        });
        this.originRecords = new OriginRecordStore(log, metrics);
        this.engines = new PlatformEngineClient(availability, {
            onLeaving: id => this.registry.markDraining(id, host),
            onRateLimit: (upstream, perSecond) => {
                const report: RateReport = { kind: "limited", upstream, perSecond, ageMs: 0, wanted: 0, held: 0 };
                this.rateLimits.processReports(host, [report]);
            },
        }, log);
        this.httpServer = createControlServer(this, control!.port, log);
        guardHttpServer(this.httpServer.server, connectionPool, controlListener);
        this.keeper = this.createKeeper();
    }

    public async start(): Promise<void> {
        const { current: cfg } = this.settings;
        this.rpcServer = await RpcServer.listen(
            cfg.peerAddress,
            router => {
                router.service(ConsensusService, consensusService(() => this.keeper.require()));
                router.service(FleetService, createFleetService(this.fleetServiceDependencies()));
                router.service(StreamOriginService, streamOriginService(this.originRecords));
            },
            { key: undefined, timeline: this.timeline },
            this.connectionPool,
        );
        this.keeperStopped = this.keeper.run(this.stopping.signal);
        void this.watchReplica();
        void this.watchRegistry();
        void this.announcementReceiver.run(this.stopping.signal);
        await this.httpServer.listen({ ...cfg.controlAddress!, backlog: listenBacklog });
    }

    /** Transfers leadership to another host; this one keeps its vote until `stop`. */
    public async prepareStop(): Promise<void> {
        await handOverLeadership(this.replica);
    }

    public async stop(): Promise<void> {
        await handOverLeadership(this.replica);
        await handOverVote(this.replica);
        this.endLeadership();
        await this.httpServer.close();
        this.stopping.abort();
        await this.keeperStopped;
        this.clients.close();
        await this.engines.close();
        await this.rpcServer.close(rpcCloseTimeoutMs);
    }

    /** Undefined while the data folder is unusable. */
    private get replica(): Replica | undefined {
        return this.keeper.current;
    }

    private createKeeper(): ReplicaSupervisor {
        return createPlatformReplica({
            settings: this.settings,
            machine: () => (this.state = new ReplicatedState()).createMachine(),
            clients: this.clients,
            timeline: this.timeline,
            log: this.log,
        });
    }

    public async putDocument(document: ProposedDocument): Promise<DocumentResult> {
        const startedAt = performance.now();
        const result = await this.proposals.document(document);
        this.metrics.histogram("document_commit").record(performance.now() - startedAt);
        return result;
    }

    public async readDocument(): Promise<ConfigurationDocument | undefined> {
        await this.barrier();
        return this.documents.current;
    }

    public announce(announcement: Announcement): Promise<void> {
        return this.announcementReceiver.receive(announcement);
    }

    public leave(incarnation: NamedStart): Promise<void> {
        return this.announcementReceiver.leave(incarnation);
    }

    public leaderHost(): string | undefined {
        const leaderUrl = this.replica?.state.leaderUrl ?? "";
        return leaderUrl === "" ? undefined : new URL(leaderUrl).hostname;
    }

    /** Upstreams announce to any host with a known leader, to keep the load of announcements off the leader. */
    public announcementHost(): string | undefined {
        return this.leaderHost() === undefined ? undefined : this.settings.current.controlAddress!.host;
    }

    public get isLeader(): boolean {
        return this.epoch !== undefined;
    }

    public get term(): number {
        return Number(this.replica?.readyLeadership?.term ?? 0);
    }

    public get leadershipAgeMs(): number {
        return this.replica?.readyLeadership?.leadershipAgeMs ?? 0;
    }

    public get quorumAgeMs(): number {
        return Math.min(unknownAgeMs, this.replica?.readyLeadership?.quorumAgeMs ?? unknownAgeMs);
    }

    public get hasLeaderContact(): boolean {
        return this.replica?.hasLeaderContact ?? false;
    }

    /** URL of the leader; empty if it is this host or unknown. */
    public get leaderUrl(): string {
        const state = this.replica?.state;
        return state === undefined || state.role === "leader" ? "" : state.leaderUrl;
    }

    public get controlUrls(): readonly string[] {
        return this.replica?.state.membership?.members.map(member => member.url) ?? [];
    }

    public get documents(): ConfigurationState {
        return this.state.documents;
    }

    public get quarantine(): QuarantineState {
        return this.state.quarantine;
    }

    /** Undefined unless this host leads and has applied the log of earlier leaders. */
    public get softwareVersions(): SoftwareVersionState | undefined {
        return this.replica?.readyLeadership === undefined ? undefined : this.state.softwareVersions;
    }

    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.demand.awaitedModels(entry);
    }

    public async barrier(timeoutMs = callTimeoutMs): Promise<void> {
        await this.keeper.require().barrier(timeoutMs);
    }

    public get departures(): DepartureState {
        return this.state.departures;
    }

    public async commitDepartures(departures: readonly Departure[], timeoutMs: number): Promise<void> {
        await this.proposals.departures(departures, timeoutMs);
        this.applyDepartures();
    }

    public get epoch(): string | undefined {
        const leading = this.replica?.readyLeadership;
        // A leader without quorum contact may have been replaced, so it publishes nothing.
        const valid = leading !== undefined && leading.quorumAgeMs < maxQuorumAgeMs;
        return valid ? `${leading.term}/${this.replica!.state.memberId}` : undefined;
    }

    public get configuration(): Configuration | undefined {
        return this.parsedDocument.configurationOf(this.documents.current);
    }

    private fleetServiceDependencies() {
        return {
            feed: this.feed,
            announcements: this.announcementReceiver,
            demand: { take: (report: Parameters<DemandTracker["take"]>[0]) => this.demand.take(report) },
            isLeader: () => this.isLeader,
            lease: this.orderLease,
            limits: () => this.accountLimits,
            rates: {
                processReports: (from: string, reports: readonly RateReport[]) =>
                    this.rateLimits.processReports(from, reports),
            },
            crashes: () => this.isLeader ? this.leadership?.crashes : undefined,
            retries: this.slotGranter,
            onDemandReport: (report: DemandRequest) => {
                report.mismatches.forEach(mismatch => this.leadership?.placement.resyncAfterMismatch(mismatch));
                report.unreachable.forEach(id => this.registry.reportUnreachable(id, report.entry));
                report.leaving.forEach(id => this.registry.markDraining(id, report.entry));
                this.leadership?.outlierMonitor.record(report);
                this.leadership?.placement.notify();
            },
        };
    }

    private async watchReplica(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await (this.replica ?? this.keeper).changed.wait(replicaPollMs);
            this.logLeaderChange();
            this.updateLeadership();
            this.applyConfiguration();
            this.applyDepartures();
            this.feed.wakePolls();
            this.leadership?.placement.notify();
        }
    }

    private applyConfiguration(): void {
        const { configuration } = this;
        if (configuration !== undefined && configuration !== this.appliedConfiguration) {
            this.appliedConfiguration = configuration;
            this.accountLimits.setAccounts(configuration.accounts ?? []);
            this.registry.admitPending();
        }
    }

    /** Tells entries of departures that another host has committed, which may have led before. */
    private applyDepartures(): void {
        const { revision } = this.departures;
        if (this.leadership !== undefined && this.leadership.departureRevision !== revision) {
            this.leadership.departureRevision = revision;
            this.departures.recent().forEach(departure => this.registry.recordDeparture(departure));
        }
    }

    /** Every service counts as known until the first configuration arrives. */
    private isKnownService(service: string): boolean {
        return this.configuration?.services.some(({ name }) => name === service) ?? true;
    }

    private logLeaderChange(): void {
        if (this.replica === undefined) {
            return;
        }
        const { role, term, leaderUrl } = this.replica.state;
        const leader = `${term} ${role} ${leaderUrl}`;
        if (leader !== this.lastLoggedLeader) {
            this.lastLoggedLeader = leader;
            this.metrics.count("leader_changes_total");
            this.log.info("control.leader", { term: Number(term), role, leader: leaderUrl });
        }
    }

    private updateLeadership(): void {
        const leading = this.replica?.readyLeadership;
        const epoch = leading === undefined ? undefined : `${leading.term}/${this.replica!.state.memberId}`;
        if (epoch === this.leadership?.epoch) {
            return;
        }
        this.endLeadership();
        if (epoch !== undefined) {
            this.beginLeadership(epoch);
        }
    }

    /** Discards state from an earlier leadership of this host, which may be stale. */
    private beginLeadership(epoch: string): void {
        const { revision: departureRevision } = this.departures;
        this.registry.clear({ term: this.term, departures: this.departures.recent() });
        this.demand = new DemandTracker(this.log);
        this.accountLimits = new AccountLimitCoordinator(this.settings.current.limitTolerance, this.log);
        this.accountLimits.setAccounts(this.configuration?.accounts ?? []);
        this.rateLimits = this.createRateLimits();
        const abort = new AbortController();
        const placement = new PlacementController(this, this.registry, this.demand, this.engines, this.log);
        const crashes = this.createCrashDecisions();
        const versions = this.createVersionAdmission(Number(this.replica!.readyLeadership!.term));
        const outlierMonitor = new OutlierMonitor(this.registry);
        this.leadership = { epoch, abort, placement, outlierMonitor, crashes, versions, departureRevision };
        this.log.info("leadership.begun", { epoch });
        void this.orderLease.acquire(
            Number(this.replica!.readyLeadership!.term),
            this.otherControlUrls(),
            this.clients,
            abort.signal,
        );
        void crashes.run(abort.signal);
        versions.run(abort.signal).catch(err => this.log.warn("software-versions.failed", { error: messageOf(err) }));
        placement.run(abort.signal).catch(err => this.log.warn("placement.failed", { error: messageOf(err) }));
    }

    private createRateLimits(): RateLimitCoordinator {
        return new RateLimitCoordinator(this.log, (id, limited) => this.registry.setRateLimited(id, limited));
    }

    private createCrashDecisions(): LeaderCrashDecisions {
        return new LeaderCrashDecisions({
            book: () => this.state.quarantine,
            registry: this.registry,
            leadershipAgeMs: () => this.leadershipAgeMs,
            propose: command => this.proposeQuarantine(command),
            log: this.log,
            metrics: this.metrics,
        });
    }

    private createVersionAdmission(term: number): VersionAdmission {
        return new VersionAdmission({
            state: () => this.state.softwareVersions,
            registry: this.registry,
            term,
            propose: command => this.proposeVersions(command),
            log: this.log,
        });
    }

    /** Nothing is admitted between leaderships; the registry is cleared when the next one begins. */
    private isAdmitted(version: VersionKey): boolean {
        return this.leadership?.versions.isAdmitted(version) ?? false;
    }

    private async proposeVersions(command: SoftwareVersionCommand): Promise<void> {
        await this.proposals.softwareVersions(command);
        this.feed.wakePolls();
    }

    private async proposeQuarantine(command: QuarantineCommand): Promise<QuarantineResult> {
        const result = await this.proposals.quarantine(command);
        this.feed.wakePolls();
        return result;
    }

    private otherControlUrls(): string[] {
        const { current: cfg } = this.settings;
        const own = peerUrl(cfg.peerAddress.host, cfg.peerAddress.port);
        return this.controlUrls.filter(url => url !== own);
    }

    private endLeadership(): void {
        if (this.leadership !== undefined) {
            this.log.info("leadership.ended", { epoch: this.leadership.epoch });
            this.leadership.abort.abort();
            this.leadership = undefined;
        }
    }

    /** Interval of upstream announcements, in milliseconds. */
    public get announceMs(): number {
        return this.settings.current.heartbeatIntervalMs;
    }

    public orderSent(): void {
        this.orderLease.recordOrder();
    }

    /** Undefined unless this leader has recent quorum contact and the previous leader's order lease has expired. */
    public fence(): Fence | undefined {
        const leading = this.replica?.readyLeadership;
        if (leading === undefined || leading.quorumAgeMs > maxOrderQuorumAgeMs) {
            return undefined;
        }
        const token = Number(leading.term);
        return this.orderLease.isGranted(token) ? { holder: this.settings.current.host, token } : undefined;
    }

    private async watchRegistry(): Promise<void> {
        let evaluatedAt = Number.NEGATIVE_INFINITY;
        while (!this.stopping.signal.aborted) {
            await this.registry.changed.wait(registryPollMs);
            if (steadyNow() - evaluatedAt >= minEvaluationIntervalMs) {
                evaluatedAt = steadyNow();
                this.registry.removeExpired();
                this.leadership?.outlierMonitor.evaluate();
            }
            this.feed.wakePolls();
            this.leadership?.placement.notify();
        }
    }
}
