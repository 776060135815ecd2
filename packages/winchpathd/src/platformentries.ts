/** Entry component of a platform host: accepts requests from callers and forwards them to upstreams. */
import { AccountLimiter, AccountShares, Authenticator } from "@winchpath/accounts";
import { type AvailabilityTracker } from "@winchpath/availability";
import { type ConnectionPool, guardHttpServer } from "@winchpath/connections";
import { type EventLog, eventLoop, type Metrics, sleep, steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { ConfigurationConfirmer, CrashReporter, DemandMeter, FeedFollower, FleetView } from "@winchpath/fleet";
import { AdmissionController, ClientListener, ConfirmationPolicy, Forwarder, HostGuard } from "@winchpath/forwarding";
import {
    createReadinessServer,
    parseCommittedDocument,
    peerUrl,
    PlatformRequestCodec,
    type PlatformSettings,
} from "@winchpath/platform";
import { refusesConnections } from "@winchpath/quarantine";
import { RetryBudgetTable } from "@winchpath/retries";
import { RpcClients } from "@winchpath/rpc";
import { StreamOriginClient } from "@winchpath/streamorigins";
import { Timeline } from "@winchpath/timeline";
import { smallListener } from "./listeneroptions.js";
import { type ReloadableSettings } from "./platformsettings.js";

/** Share of the time to put a configuration in force after which the control group is asked to confirm it. */
const askAfterShare = 0.55;
/** Time until the load balancer stops routing here: it checks readiness every second and needs two failures. */
const loadBalancerDelayMs = 2500;
/** Part of the grace period reserved for closing down after requests have drained. */
const shutdownReserveMs = 700;
const viewPollMs = 1000;

export class PlatformEntry {
    private readonly stopping = new AbortController();
    private readonly clients: RpcClients;
    private readonly fleetView: FleetView<Configuration>;
    private readonly feedFollower: FeedFollower<Configuration>;
    private readonly confirmer: ConfigurationConfirmer<Configuration>;
    private readonly demandMeter: DemandMeter;
    private readonly crashReporter: CrashReporter;
    private readonly hostGuard: HostGuard;
    private readonly streamOrigins: StreamOriginClient;
    private readonly retryBudgets: RetryBudgetTable;
    private readonly forwarder: Forwarder;
    private readonly clientListener: ClientListener;
    private readonly authenticator: Authenticator;
    private readonly accountLimiter: AccountLimiter;
    private readonly readinessListener = createReadinessServer(() => this.isReady());
    private isStopping = false;
    private wasReady = false;

    public constructor(
        private readonly settings: ReloadableSettings,
        availability: AvailabilityTracker,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
        connectionPool: ConnectionPool,
    ) {
        guardHttpServer(this.readinessListener.server, connectionPool, smallListener("readiness"));
        const { host, dataCentre } = settings.current;
        const timeline = new Timeline({ process: `entry/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key: undefined, timeline });
        this.fleetView = new FleetView((text, version) => this.readDocument(text, version), log, availability, metrics);
        this.feedFollower = new FeedFollower(this.fleetView, this.clients, {
            entry: host,
            dataCentre,
            seeds: () => leaderSeeds(settings.current),
            capacity: () => this.hostGuard.capacity(),
        }, log);
        this.hostGuard = new HostGuard(
            {
                limits: settings.current.hostLimits,
                isActive: () => this.forwarder.features.has("host-capacity"),
                isReady: () => this.canServe,
            },
            log,
            metrics,
        );
        this.demandMeter = new DemandMeter(log, availability);
        availability.rates.setCallbacks(
            () => this.demandMeter.reportSoon(this.fleetView.entries),
            () => this.fleetView.changed.notify(),
        );
        this.crashReporter = new CrashReporter(refusesConnections, log);
        const codec = new PlatformRequestCodec();
        const stopping = () => this.isStopping;
        const { revocation, limitTolerance } = settings.current;
        this.authenticator = new Authenticator(this.fleetView, revocation);
        this.accountLimiter = new AccountLimiter(
            limitTolerance,
            () => this.demandMeter.reportSoon(this.fleetView.entries),
        );
        this.demandMeter.includeAccounts(this.accountLimiter);
        const accountShares = new AccountShares(() => this.demandMeter.reportSoon(this.fleetView.entries));
        this.demandMeter.includeShares(accountShares);
        this.retryBudgets = new RetryBudgetTable({
            bound: () => settings.current.retryBudget,
            services: () => this.fleetView.configuration?.services.map(({ name }) => name) ?? [],
            requestReport: () => this.demandMeter.reportSoon(this.fleetView.entries),
            log,
            metrics,
        });
        this.demandMeter.includeRetries(this.retryBudgets);
        const admissions = new AdmissionController(this.authenticator, this.accountLimiter);
        const { fleetView } = this;
        this.streamOrigins = new StreamOriginClient(
            {
                softwareVersions: service => fleetView.softwareVersions(service),
                get softwareVersionsConfirmedAgeMs() {
                    return fleetView.softwareVersionsConfirmedAgeMs;
                },
                controlUrls: () => this.controlUrls,
            },
            this.clients,
            log,
            metrics,
        );
        this.forwarder = new Forwarder({
            onRead: bytes => connectionPool.addInput(bytes),
            view: this.fleetView,
            codec,
            meter: this.demandMeter,
            log,
            metrics: this.metrics,
            dataCentre,
            retryBudgets: this.retryBudgets,
            isCapacityContended: settings.current.isCapacityContended,
            admissions,
            accountShares,
            crashReporter: this.crashReporter,
            hostGuard: this.hostGuard,
            streamOrigins: this.streamOrigins,
            stopping,
            minDrainMs: settings.current.drainMs,
            closesAt: () => this.clientListener.closesAt,
        });
        const applyMs = settings.current.configurationApplyMs;
        this.confirmer = new ConfigurationConfirmer(
            this.fleetView,
            this.clients,
            {
                entry: host,
                leaderUrl: () => this.leaderUrl,
                controlUrls: () => this.controlUrls.length > 0 ? this.controlUrls : leaderSeeds(settings.current),
                seedUrls: () => leaderSeeds(settings.current),
                onMembers: controlUrls => this.feedFollower.updateControlUrls(controlUrls),
                askAfterMs: applyMs * askAfterShare,
            },
            log,
            metrics,
        );
        this.clientListener = new ClientListener({
            view: this.fleetView,
            codec,
            forwarder: this.forwarder,
            admissions,
            confirmations: new ConfirmationPolicy(this.fleetView, this.confirmer, applyMs),
            log,
            metrics,
            hostGuard: this.hostGuard,
            connectionPool,
            stopping,
        });
    }

    public async start(): Promise<void> {
        const { callerAddress: callers, readinessAddress: readiness, host } = this.settings.current;
        const { signal } = this.stopping;
        void this.feedFollower.run(signal);
        if (Number.isFinite(this.settings.current.configurationApplyMs)) {
            void this.confirmer.run(signal);
        }
        void this.demandMeter.run(host, this.clients, () => this.feedFollower.currentLeader, signal);
        void this.crashReporter.run(host, this.clients, () => this.feedFollower.currentLeader, signal);
        void this.watchFleetView(signal);
        signal.addEventListener("abort", eventLoop.onTick(delayMs => this.hostGuard.sample(delayMs)), { once: true });
        await this.clientListener.listen(callers!);
        await this.readinessListener.listen(readiness!);
    }

    public async stop(): Promise<void> {
        const startedAt = steadyNow();
        this.isStopping = true;
        this.streamOrigins.prepareStop();
        await sleep(loadBalancerDelayMs);
        const remainingMs = this.settings.current.graceMs - shutdownReserveMs - (steadyNow() - startedAt);
        await this.clientListener.close(remainingMs);
        this.stopping.abort();
        this.forwarder.close();
        this.streamOrigins.close();
        this.clients.close();
        await this.readinessListener.close();
    }

    /** URL of the leader that this entry follows; empty if there is none. */
    public get leaderUrl(): string {
        return this.feedFollower.leader;
    }

    /** URLs of the control group's members, as last received from a leader. */
    public get controlUrls(): readonly string[] {
        return this.feedFollower.controlUrls;
    }

    /** Whether the entry can serve requests, leaving aside the load of its host. */
    private get canServe(): boolean {
        // Without confirmed API keys every request would be rejected.
        return !this.isStopping && this.fleetView.configuration !== undefined && this.authenticator.isConfirmed;
    }

    private isReady(): boolean {
        const isRelieved = this.hostGuard.withdrawsReadiness(this.fleetView.hosts.mayWithdraw);
        const ready = this.canServe && !isRelieved;
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            this.log.info("entry.ready", { ready, isRelieved, configuration: this.fleetView.version });
        }
        return ready;
    }

    private async watchFleetView(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.fleetView.changed.wait(viewPollMs);
            this.accountLimiter.setAccounts(this.fleetView.configuration?.accounts, this.fleetView.entries);
            this.clientListener.refresh();
            this.forwarder.refresh();
            this.streamOrigins.refresh();
            this.retryBudgets.refresh();
        }
    }

    private readDocument(text: string, version: number): Configuration | undefined {
        const parsed = parseCommittedDocument(text);
        if (parsed.err) {
            this.log.warn("configuration.unreadable", { version, error: parsed.val.message });
            return undefined;
        }
        return parsed.val as Configuration;
    }
}

/** URLs to query for the leader: this host first, if it is a member of the control group. */
function leaderSeeds(cfg: PlatformSettings): readonly string[] {
    const own = cfg.controlAddress !== undefined && cfg.dataDirectory !== undefined
        ? [peerUrl(cfg.peerAddress.host, cfg.peerAddress.port)]
        : [];
    return [...own, ...cfg.seeds];
}
