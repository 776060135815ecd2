/** Entry component of a platform host: accepts requests from callers and forwards them to upstreams. */
import { AccountLimiter, Authenticator } from "@winchpath/accounts";
import { type AvailabilityBook } from "@winchpath/availability";
import { type EventLog, type Metrics, sleep, steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { CrashReporter, DemandMeter, FeedFollower, FleetView } from "@winchpath/fleet";
import { Admissions, CallerDoor, Forwarder } from "@winchpath/forwarding";
import {
    peerUrl,
    PlatformRequestCodec,
    type PlatformSettings,
    readCheckedDocument,
    readinessServer,
} from "@winchpath/platform";
import { isRefused } from "@winchpath/quarantine";
import { RpcClients } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { type ReloadableSettings } from "./platformsettings.js";

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
    private readonly demandMeter: DemandMeter;
    private readonly crashReporter: CrashReporter;
    private readonly forwarder: Forwarder;
    private readonly clientListener: CallerDoor;
    private readonly authenticator: Authenticator;
    private readonly accountLimiter: AccountLimiter;
    private readonly readinessListener = readinessServer(() => this.isReady());
    private isStopping = false;
    private wasReady = false;

    public constructor(
        private readonly settings: ReloadableSettings,
        availability: AvailabilityBook,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
    ) {
        const { host, dataCentre, retryBudget } = settings.current;
        const timeline = new Timeline({ process: `entry/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key: undefined, timeline });
        this.fleetView = new FleetView((text, version) => this.readDocument(text, version), log, availability);
        this.feedFollower = new FeedFollower(this.fleetView, this.clients, {
            entry: host,
            dataCentre,
            seeds: () => leaderSeeds(settings.current),
        }, log);
        this.demandMeter = new DemandMeter(log, availability);
        availability.rates.listen(
            () => this.demandMeter.press(this.fleetView.entries),
            () => this.fleetView.changed.notify(),
        );
        this.crashReporter = new CrashReporter(isRefused, log);
        const codec = new PlatformRequestCodec();
        const stopping = () => this.isStopping;
        const { revocation, limitTolerance } = settings.current;
        this.authenticator = new Authenticator(this.fleetView, revocation);
        this.accountLimiter = new AccountLimiter(limitTolerance, () => this.demandMeter.press(this.fleetView.entries));
        this.demandMeter.tellOf(this.accountLimiter);
        const admissions = new Admissions(this.authenticator, this.accountLimiter);
        this.forwarder = new Forwarder({
            view: this.fleetView,
            codec,
            meter: this.demandMeter,
            log,
            metrics: this.metrics,
            dataCentre,
            budget: retryBudget,
            admissions,
            crashes: this.crashReporter,
            stopping,
        });
        this.clientListener = new CallerDoor({
            view: this.fleetView,
            codec,
            forwarder: this.forwarder,
            admissions,
            log,
            stopping,
        });
    }

    public async start(): Promise<void> {
        const { callers, readiness, host } = this.settings.current;
        const { signal } = this.stopping;
        void this.feedFollower.run(signal);
        void this.demandMeter.run(host, this.clients, () => this.feedFollower.followed, signal);
        void this.crashReporter.run(host, this.clients, () => this.feedFollower.followed, signal);
        void this.watchFleetView(signal);
        await this.clientListener.listen(callers!);
        await this.readinessListener.listen(readiness!);
    }

    public async stop(): Promise<void> {
        const startedAt = steadyNow();
        this.isStopping = true;
        await sleep(loadBalancerDelayMs);
        const remainingMs = this.settings.current.graceMs - shutdownReserveMs - (steadyNow() - startedAt);
        await this.clientListener.close(remainingMs);
        this.stopping.abort();
        this.forwarder.close();
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

    private isReady(): boolean {
        // Without confirmed API keys every request would be rejected.
        const ready = !this.isStopping && this.fleetView.configuration !== undefined && this.authenticator.isConfirmed;
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            this.log.info("entry.ready", { ready, configuration: this.fleetView.version });
        }
        return ready;
    }

    private async watchFleetView(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.fleetView.changed.wait(viewPollMs);
            this.accountLimiter.follow(this.fleetView.configuration?.accounts, this.fleetView.entries);
            this.clientListener.refresh();
            this.forwarder.refresh();
        }
    }

    private readDocument(text: string, version: number): Configuration | undefined {
        const parsed = readCheckedDocument(text);
        if (parsed.err) {
            this.log.warn("configuration.unreadable", { version, error: parsed.val.message });
            return undefined;
        }
        return parsed.val as Configuration;
    }
}

/** URLs to query for the leader: this host first, if it is a member of the control group. */
function leaderSeeds(cfg: PlatformSettings): readonly string[] {
    const own = cfg.control !== undefined && cfg.dataFolder !== undefined
        ? [peerUrl(cfg.peers.host, cfg.peers.port)]
        : [];
    return [...own, ...cfg.seeds];
}
