/**
 * A platform process with an entry component, a control component, or both. Sharing one
 * process avoids the memory overhead of a second Node.js runtime.
 */
import { AvailabilityTracker } from "@winchpath/availability";
import { connectionLimitsFor, ConnectionPool, guardHttpServer } from "@winchpath/connections";
import { type EventLog, eventLoop, Metrics } from "@winchpath/core";
import { connectionBytesBound } from "@winchpath/hostload";
import { createMetricsServer } from "@winchpath/platform";
import { smallListener } from "./listeneroptions.js";
import { type PlatformEntry } from "./platformentries.js";
import { type PlatformRelay } from "./platformrelays.js";
import { type ReloadableSettings } from "./platformsettings.js";

interface ControlComponent {
    start(): Promise<void>;
    /** Called when shutdown begins, while the entry still serves requests. */
    prepareStop(): Promise<void>;
    stop(): Promise<void>;
}

export class PlatformHost {
    private readonly metrics = new Metrics();
    /** Shared by both components: upstreams request backoff per host, not per component. */
    private readonly availability = new AvailabilityTracker();
    private readonly metricsListener = createMetricsServer(() => this.metrics.toText());
    /** Connections of all listeners, which share the descriptors and the memory of the process. */
    private readonly connectionPool: ConnectionPool;
    private stopChecks = () => {};
    private entry: PlatformEntry | undefined;
    private control: ControlComponent | undefined;

    public constructor(private readonly settings: ReloadableSettings, private readonly log: EventLog) {
        const { hostLimits } = settings.current;
        this.connectionPool = new ConnectionPool(
            { ...connectionLimitsFor(hostLimits.fileDescriptors), heldBytes: connectionBytesBound(hostLimits) },
            log,
            this.metrics,
        );
        guardHttpServer(this.metricsListener.server, this.connectionPool, smallListener("metrics"));
    }

    /** Loads and starts only the components that have addresses in the settings. */
    public async start(): Promise<void> {
        const { callerAddress: callers, controlAddress: control, dataDirectory: dataFolder, metricsAddress: metrics } =
            this.settings.current;
        eventLoop.start(this.log, this.metrics);
        this.stopChecks = this.connectionPool.start();
        if (callers !== undefined) {
            const { PlatformEntry } = await import("./platformentries.js");
            this.entry = new PlatformEntry(
                this.settings,
                this.availability,
                this.metrics,
                this.log,
                this.connectionPool,
            );
            // Serve callers before loading control, which is slow on a fraction of a core.
            await this.entry.start();
        }
        if (control !== undefined) {
            this.control = dataFolder === undefined ? await this.createRelay() : await this.createControl();
        }
        await Promise.all([this.control?.start(), this.metricsListener.listen(metrics)]);
    }

    /** Control remains a voter until the entry has drained. */
    public async stop(): Promise<void> {
        await Promise.all([this.control?.prepareStop(), this.entry?.stop()]);
        await this.control?.stop();
        await this.metricsListener.close();
        this.stopChecks();
        eventLoop.stop();
    }

    private async createControl(): Promise<ControlComponent> {
        const { PlatformControl } = await import("./platformcontrols.js");
        return new PlatformControl(this.settings, this.availability, this.metrics, this.log, this.connectionPool);
    }

    /** A relay learns the leader from this host's entry; without an entry it reports that no leader is known. */
    private async createRelay(): Promise<PlatformRelay> {
        const { PlatformRelay } = await import("./platformrelays.js");
        const leaderInfo = this.entry ?? { leaderUrl: "", controlUrls: [] };
        return new PlatformRelay(this.settings, leaderInfo, this.log, this.connectionPool);
    }
}
