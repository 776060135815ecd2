/** Starts platform processes. */
import { Failure, type Result, type StdoutEventLog } from "@winchpath/core";
import { loadPlatformSettings, type PlatformSettings } from "@winchpath/platform";
import { PlatformHost } from "./platformhosts.js";
import { ReloadableSettings } from "./platformsettings.js";

export const platformRoles = ["entry", "control"] as const;
export type PlatformRole = typeof platformRoles[number];

export function isPlatformRole(value: string): value is PlatformRole {
    return (platformRoles as readonly string[]).includes(value);
}

/** Environment variable with the path of the settings file. */
export const settingsPathVariable = "WINCHPATH_SETTINGS";

export interface PlatformProcess {
    reload(): void;
    stop(): Promise<void>;
}

/** Loads the settings and starts the process; throws a `Failure` if they are invalid. */
export async function startPlatformProcess(
    role: PlatformRole,
    log: StdoutEventLog,
): Promise<PlatformProcess> {
    const path = process.env[settingsPathVariable] ?? "";
    const cfg = requireSettings(loadPlatformSettings(path));
    log.setHost(cfg.host);
    const settings = new ReloadableSettings(path, cfg, log);
    const host = new PlatformHost(settings, log);
    await host.start();
    log.info("process.started", { role, host: cfg.host, dataCentre: cfg.dataCentre, seeds: cfg.seeds });
    const abortController = new AbortController();
    void settings.run(abortController.signal);
    return {
        reload: () => settings.reload("SIGHUP"),
        stop: async () => {
            log.info("process.stopping", { role, host: cfg.host });
            await host.stop();
            abortController.abort();
            log.info("process.stopped", { role, host: cfg.host });
        },
    };
}

function requireSettings(loaded: Result<PlatformSettings, Failure>): PlatformSettings {
    if (loaded.err) {
        throw new Failure(loaded.val.issues);
    }
    return loaded.val as PlatformSettings;
}
