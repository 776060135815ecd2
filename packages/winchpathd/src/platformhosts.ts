/**
 * One process on the platform: an entry, control, or both. A host with a disk
 * that callers reach does both in one process, since a second one would double
 * what a runtime takes of the host's memory.
 */
import { AvailabilityTracker } from "@winchpath/availability";
import { type EventLog, Metrics } from "@winchpath/core";
import { metricsServer } from "@winchpath/platform";
import { type PlatformEntry } from "./platformentries.js";
import { type PlatformRelay } from "./platformrelays.js";
import { type LiveSettings } from "./platformsettings.js";

/** The part of a process that serves control. */
interface ControlPart {
    start(): Promise<void>;
    /** Called at the start of a stop, while the entry still serves. */
    prepareStop(): Promise<void>;
    stop(): Promise<void>;
}

export class PlatformHost {
    private readonly metrics = new Metrics();
    /** One for the whole process: a rest is asked of a host, whichever of its parts sends. */
    private readonly availability = new AvailabilityTracker();
    private readonly metricsListener = metricsServer(() => this.metrics.toText());
    private entry: PlatformEntry | undefined;
    private control: ControlPart | undefined;

    public constructor(private readonly settings: LiveSettings, private readonly log: EventLog) {}

    /** Starts what the settings give addresses for; loads nothing else. */
    public async start(): Promise<void> {
        const { callers, control, dataFolder, metrics } = this.settings.current;
        if (callers !== undefined) {
            const { PlatformEntry } = await import("./platformentries.js");
            this.entry = new PlatformEntry(this.settings, this.availability, this.metrics, this.log);
            // Callers are let in before the rest is loaded: at a share of a core that takes a while.
            await this.entry.start();
        }
        if (control !== undefined) {
            this.control = dataFolder === undefined ? await this.makeRelay() : await this.makeControl();
        }
        await Promise.all([this.control?.start(), this.metricsListener.listen(metrics)]);
    }

    /** Control stays a voter until the entry has served to its end. */
    public async stop(): Promise<void> {
        await Promise.all([this.control?.prepareStop(), this.entry?.stop()]);
        await this.control?.stop();
        await this.metricsListener.close();
    }

    private async makeControl(): Promise<ControlPart> {
        const { PlatformControl } = await import("./platformcontrols.js");
        return new PlatformControl(this.settings, this.availability, this.metrics, this.log);
    }

    /** Without an entry beside it, a host without a disk knows of no leader and says so. */
    private async makeRelay(): Promise<PlatformRelay> {
        const { PlatformRelay } = await import("./platformrelays.js");
        return new PlatformRelay(this.settings, this.entry ?? { leaderUrl: "", controlUrls: [] }, this.log);
    }
}
