/** An entry on the platform: takes callers' requests and forwards them. */
import { AccountLimiter, Authenticator } from "@winchpath/accounts";
import { type AvailabilityTracker } from "@winchpath/availability";
import { type EventLog, type Metrics, sleep, steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { CrashReporter, DemandMeter, FeedFollower, FleetView } from "@winchpath/fleet";
import { AdmissionController, ClientListener, Forwarder } from "@winchpath/forwarding";
import {
    peerUrl,
    PlatformRequestCodec,
    type PlatformSettings,
    readCheckedDocument,
    readinessServer,
} from "@winchpath/platform";
import { refusesConnections } from "@winchpath/quarantine";
import { RpcClients } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { type LiveSettings } from "./platformsettings.js";

/** The balancer asks once a second and needs two misses; until then callers still come. */
const balancerMs = 2500;
/** Time that a stopping process keeps for itself at the end of its grace. */
const reserveMs = 700;
const lookMs = 1000;

export class PlatformEntry {
    private readonly stopping = new AbortController();
    private readonly clients: RpcClients;
    private readonly view: FleetView<Configuration>;
    private readonly follower: FeedFollower<Configuration>;
    private readonly meter: DemandMeter;
    private readonly crashes: CrashReporter;
    private readonly forwarder: Forwarder;
    private readonly door: ClientListener;
    private readonly authenticator: Authenticator;
    private readonly limiter: AccountLimiter;
    private readonly readiness = readinessServer(() => this.isReady());
    private leaving = false;
    private wasReady = false;

    public constructor(
        private readonly settings: LiveSettings,
        availability: AvailabilityTracker,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
    ) {
        const { host, dataCentre, retryBudget } = settings.current;
        const timeline = new Timeline({ process: `entry/${host}`, host, dataCentre });
        this.clients = new RpcClients({ key: undefined, timeline });
        this.view = new FleetView((text, version) => this.readDocument(text, version), log, availability);
        this.follower = new FeedFollower(this.view, this.clients, {
            entry: host,
            dataCentre,
            seeds: () => seedsOf(settings.current),
        }, log);
        this.meter = new DemandMeter(log, availability);
        availability.rates.setCallbacks(
            () => this.meter.reportSoon(this.view.entries),
            () => this.view.changed.notify(),
        );
        this.crashes = new CrashReporter(refusesConnections, log);
        const codec = new PlatformRequestCodec();
        const stopping = () => this.leaving;
        const { revocation, limitTolerance } = settings.current;
        this.authenticator = new Authenticator(this.view, revocation);
        this.limiter = new AccountLimiter(limitTolerance, () => this.meter.reportSoon(this.view.entries));
        this.meter.includeAccounts(this.limiter);
        const admissions = new AdmissionController(this.authenticator, this.limiter);
        this.forwarder = new Forwarder({
            view: this.view,
            codec,
            meter: this.meter,
            log,
            metrics: this.metrics,
            dataCentre,
            retryBudget: retryBudget,
            admissions,
            crashReporter: this.crashes,
            stopping,
        });
        this.door = new ClientListener({
            view: this.view,
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
        void this.follower.run(signal);
        void this.meter.run(host, this.clients, () => this.follower.currentLeader, signal);
        void this.crashes.run(host, this.clients, () => this.follower.currentLeader, signal);
        void this.followView(signal);
        await this.door.listen(callers!);
        await this.readiness.listen(readiness!);
    }

    public async stop(): Promise<void> {
        const startedAt = steadyNow();
        this.leaving = true;
        await sleep(balancerMs);
        const left = this.settings.current.graceMs - reserveMs - (steadyNow() - startedAt);
        await this.door.close(left);
        this.stopping.abort();
        this.forwarder.close();
        this.clients.close();
        await this.readiness.close();
    }

    /** URL of the leader that this entry follows; empty where it follows none. */
    public get leaderUrl(): string {
        return this.follower.leader;
    }

    /** URLs of the control group's members, as a leader told them last. */
    public get controlUrls(): readonly string[] {
        return this.follower.controlUrls;
    }

    private isReady(): boolean {
        // Without a confirmed word on keys it could only send callers away.
        const ready = !this.leaving && this.view.configuration !== undefined && this.authenticator.isConfirmed;
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            this.log.info("entry.ready", { ready, configuration: this.view.version });
        }
        return ready;
    }

    private async followView(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.view.changed.wait(lookMs);
            this.limiter.setAccounts(this.view.configuration?.accounts, this.view.entries);
            this.door.refresh();
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

/** Where an entry looks for the leader: first at its own host, where that takes part in control. */
function seedsOf(cfg: PlatformSettings): readonly string[] {
    const own = cfg.control !== undefined && cfg.dataFolder !== undefined
        ? [peerUrl(cfg.peers.host, cfg.peers.port)]
        : [];
    return [...own, ...cfg.seeds];
}
