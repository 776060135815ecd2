/** Parses the command line, starts the requested process and handles its signals and errors. */
import { Failure, formatIssue, logger, messageOf, StdoutEventLog } from "@winchpath/core";
import { isSessionClosedError } from "@winchpath/rpc";
import { checkEnvironment, loadSettings } from "@winchpath/settings";
import { isPlatformRole, type PlatformRole, platformRoles, startPlatformProcess } from "./platformprocesses.js";
import { onHangUp } from "./signals.js";

const log = logger("winchpathd");

const exitCodeStopped = 0;
const exitCodeFailed = 1;
const exitCodeInvalidSettings = 2;

export async function runDaemon(args: readonly string[]): Promise<void> {
    const [option, role] = args;
    if (args.length === 2 && option === "--platform" && isPlatformRole(role)) {
        // The platform's fixed command line; skips loading yargs to start faster.
        await runPlatformProcess(role);
        return;
    }
    await parseAndRun(args);
}

async function parseAndRun(args: readonly string[]): Promise<void> {
    const { default: yargs } = await import("yargs");
    const argv = await yargs([...args])
        .scriptName("winchpathd")
        .usage("$0 --settings FILE\n$0 --platform ROLE")
        .option("settings", { type: "string", describe: "settings file (TOML)" })
        .option("platform", { choices: platformRoles, describe: "role on the users' platform" })
        .conflicts("settings", "platform")
        .check(({ settings, platform }) =>
            settings !== undefined || platform !== undefined || "give --settings or --platform"
        )
        .strict()
        .parseAsync();

    if (argv.platform !== undefined) {
        await runPlatformProcess(argv.platform);
    }
    else {
        await runConfiguredProcess(argv.settings!);
    }
}

async function runPlatformProcess(role: PlatformRole): Promise<void> {
    const eventLog = new StdoutEventLog(role);
    const exit = (code: number, err?: unknown) => {
        if (err !== undefined) {
            eventLog.warn("process.failed", {
                error: messageOf(err),
                stack: err instanceof Error ? err.stack : undefined,
            });
        }
        eventLog.close();
        process.exit(code);
    };
    const onUncaughtError = (err: unknown) =>
        isSessionClosedError(err) ? eventLog.info("session.ended") : exit(exitCodeFailed, err);
    process.on("unhandledRejection", onUncaughtError);
    process.on("uncaughtException", onUncaughtError);
    try {
        const running = await startPlatformProcess(role, eventLog);
        onHangUp(() => running.reload());
        stopOnSignals(async () => {
            await running.stop();
            eventLog.close();
        });
    }
    catch (err) {
        exit(err instanceof Failure ? exitCodeInvalidSettings : exitCodeFailed, err);
    }
}

async function runConfiguredProcess(settingsFile: string): Promise<void> {
    const environment = checkEnvironment(process.env);
    const settings = loadSettings(settingsFile);
    if (environment.err || settings.err) {
        exitWithError(exitCodeInvalidSettings, environment.err ? environment.val : settings.val as Failure);
        return;
    }
    process.on("unhandledRejection", err => exitWithError(exitCodeFailed, err));
    process.on("uncaughtException", err => {
        if (isSessionClosedError(err)) {
            log("HTTP/2 session closed by peer", { error: err.message });
            return;
        }
        exitWithError(exitCodeFailed, err);
    });
    try {
        const { startProcess } = await import("./processes.js");
        const running = await startProcess(settings.val, err => exitWithError(exitCodeFailed, err));
        process.stdout.write(`${running.description}\n`);
        onHangUp(() => log("SIGHUP ignored: settings are read only at startup"));
        stopOnSignals(running.stop.bind(running));
    }
    catch (err) {
        exitWithError(exitCodeFailed, err);
    }
}

function stopOnSignals(stop: () => Promise<void>): void {
    let stopping = false;
    const onSignal = () => {
        if (stopping) {
            return;
        }
        stopping = true;
        stop().then(() => process.exit(exitCodeStopped), err => exitWithError(exitCodeFailed, err));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}

function exitWithError(code: number, err: unknown): void {
    const lines = err instanceof Failure ? err.issues.map(formatIssue) : [messageOf(err)];
    process.stderr.write(lines.map(line => `winchpathd: ${line}\n`).join(""));
    process.exit(code);
}
