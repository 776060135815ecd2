#!/usr/bin/env node
/** `winchpathd --settings FILE`: one process of the system, in the role that its settings give. */
import { Failure, formatIssue, logger, messageOf } from "@winchpath/core";
import { isEndOfSession } from "@winchpath/rpc";
import { checkEnvironment, loadSettings } from "@winchpath/settings";
import yargs from "yargs";
import { startProcess } from "./processes.js";

const log = logger("winchpathd");

/** Exit codes: a stop as asked, a failure while running, settings or an environment that won't do. */
const exitStopped = 0;
const exitFailed = 1;
const exitSettings = 2;

const argv = await yargs(process.argv.slice(2))
    .scriptName("winchpathd")
    .usage("$0 --settings FILE")
    .option("settings", { type: "string", demandOption: true, describe: "settings file (TOML)" })
    .strict()
    .parseAsync();

await main(argv.settings);

async function main(file: string): Promise<void> {
    const environment = checkEnvironment(process.env);
    const settings = loadSettings(file);
    if (environment.err || settings.err) {
        end(exitSettings, environment.err ? environment.val : settings.val as Failure);
        return;
    }
    process.on("unhandledRejection", err => end(exitFailed, err));
    process.on("uncaughtException", err => {
        if (isEndOfSession(err)) {
            log("a session has ended", { error: err.message });
            return;
        }
        end(exitFailed, err);
    });
    try {
        const running = await startProcess(settings.val, err => end(exitFailed, err));
        process.stdout.write(`${running.description}\n`);
        stopOnSignals(running.stop.bind(running));
    }
    catch (err) {
        end(exitFailed, err);
    }
}

function stopOnSignals(stop: () => Promise<void>): void {
    let stopping = false;
    const onSignal = () => {
        if (stopping) {
            return;
        }
        stopping = true;
        stop().then(() => process.exit(exitStopped), err => end(exitFailed, err));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}

function end(code: number, err: unknown): void {
    const lines = err instanceof Failure ? err.issues.map(formatIssue) : [messageOf(err)];
    process.stderr.write(lines.map(line => `winchpathd: ${line}\n`).join(""));
    process.exit(code);
}
