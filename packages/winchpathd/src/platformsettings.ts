/** Platform settings that are reloaded on SIGHUP or when the file changes. */
import { type EventLog, sleep } from "@winchpath/core";
import { loadPlatformSettings, type PlatformSettings } from "@winchpath/platform";
import { stat } from "node:fs/promises";

/** Interval of the check for changes, in milliseconds; what the file says may be three seconds old itself. */
const filePollMs = 1000;

export class ReloadableSettings {
    private lastModifiedMs = 0;

    public constructor(
        private readonly path: string,
        private settings: PlatformSettings,
        private readonly log: EventLog,
    ) {}

    /** The latest valid settings. Addresses and the host name must not change while the process runs. */
    public get current(): PlatformSettings {
        return this.settings;
    }

    /** Reloads the file; if it is invalid, the previous settings stay in force. */
    public reload(why: string): void {
        const loaded = loadPlatformSettings(this.path);
        if (loaded.err) {
            this.log.warn("settings.refused", { why, error: loaded.val.message });
            return;
        }
        this.settings = loaded.val as PlatformSettings;
        this.log.info("settings.reloaded", { why, seeds: this.settings.seeds });
    }

    /** Polls the file's modification time and reloads it on change, until aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        this.lastModifiedMs = await this.readModifiedMs();
        while (!signal.aborted) {
            await sleep(filePollMs, signal);
            const modifiedMs = await this.readModifiedMs();
            if (modifiedMs !== this.lastModifiedMs) {
                this.lastModifiedMs = modifiedMs;
                this.reload("file modified");
            }
        }
    }

    private async readModifiedMs(): Promise<number> {
        try {
            return (await stat(this.path)).mtimeMs;
        }
        catch {
            // The file is being replaced; the next poll finds the new one.
            return this.lastModifiedMs;
        }
    }
}
