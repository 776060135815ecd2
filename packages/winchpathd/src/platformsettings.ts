/** The platform's settings, as they are now: the file changes with a signal or without. */
import { type EventLog, sleep } from "@winchpath/core";
import { loadPlatformSettings, type PlatformSettings } from "@winchpath/platform";
import { stat } from "node:fs/promises";

/** How often the file is looked at, in milliseconds; what it tells may be three seconds old itself. */
const lookMs = 1000;

export class LiveSettings {
    private modifiedMs = 0;

    public constructor(
        private readonly path: string,
        private settings: PlatformSettings,
        private readonly log: EventLog,
    ) {}

    /** What was read last. Addresses and the host's name hold from the start of a process to its end. */
    public get current(): PlatformSettings {
        return this.settings;
    }

    /** Reads the file again. A file that can't be used leaves what was read before in force. */
    public reload(why: string): void {
        const loaded = loadPlatformSettings(this.path);
        if (loaded.err) {
            this.log.warn("settings.refused", { why, error: loaded.val.message });
            return;
        }
        this.settings = loaded.val as PlatformSettings;
        this.log.info("settings.reloaded", { why, seeds: this.settings.seeds });
    }

    /** Looks for changes without a signal until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        this.modifiedMs = await this.modified();
        while (!signal.aborted) {
            await sleep(lookMs, signal);
            const modifiedMs = await this.modified();
            if (modifiedMs !== this.modifiedMs) {
                this.modifiedMs = modifiedMs;
                this.reload("the file has changed");
            }
        }
    }

    private async modified(): Promise<number> {
        try {
            return (await stat(this.path)).mtimeMs;
        }
        catch {
            // It is being replaced; the next look finds it.
            return this.modifiedMs;
        }
    }
}
