#!/usr/bin/env node
/** `winchpath`: the command line for operators. */
import { type Kind, kinds } from "@winchpath/declarations";
import yargs, { type Argv } from "yargs";
import { listAccounts } from "./commands/accounts.js";
import { apply, diff, drain } from "./commands/applies.js";
import { explainRequest, summarizeLogs } from "./commands/explains.js";
import { checkSettings, describe, get, status, timeline, timelineFormats, watch } from "./commands/views.js";
import { type CommonOptions, Context, ExitCode, reportFailure } from "./contexts.js";

const defaultWaitSeconds = 120;
const defaultSpanSeconds = 2;
const kindNames = kinds.flatMap(kind => [kind.toLowerCase(), `${kind.toLowerCase()}s`]);

/** Runs a command and sets the process's exit code from its result. */
async function run(work: () => Promise<ExitCode> | ExitCode): Promise<void> {
    try {
        process.exitCode = await work();
    }
    catch (err) {
        process.exitCode = reportFailure(err);
    }
}

function kindOf(name: string): Kind {
    return kinds.find(kind => name.replace(/s$/, "") === kind.toLowerCase())!;
}

function withKind<T>(args: Argv<T>) {
    return args.positional("kind", { choices: kindNames, demandOption: true, describe: "kind of declaration" });
}

function withFile<T>(args: Argv<T>) {
    return args
        .option("file", { alias: "f", type: "string", demandOption: true, describe: "file or folder, TOML or JSON" })
        .option("prune", {
            type: "boolean",
            default: false,
            describe: "delete declarations that are not in the files",
        });
}

const entriesFromEnvironment = process.env["WINCHPATH_ENTRIES"]?.split(",") ?? ["http://127.0.0.1:9101"];

await yargs(process.argv.slice(2))
    .scriptName("winchpath")
    .option("entry", {
        type: "string",
        array: true,
        default: entriesFromEnvironment,
        describe: "URL of an operators' interface; may be repeated",
    })
    .option("key-file", {
        type: "string",
        default: process.env["WINCHPATH_KEY_FILE"],
        describe: "file with the shared key",
    })
    .option("output", { alias: "o", choices: ["table", "json"], default: "table" })
    .option("operator", {
        type: "string",
        default: process.env["WINCHPATH_OPERATOR"],
        describe: "operator name recorded with changes",
    })
    .command(
        "apply",
        "apply declarations from files",
        args =>
            withFile(args)
                .option("dry-run", { type: "boolean", default: false, describe: "only show what would change" })
                .option("wait", {
                    type: "boolean",
                    default: false,
                    describe: "wait until everything declared is ready",
                })
                .option("timeout", { type: "number", default: defaultWaitSeconds, describe: "seconds to wait" })
                .option("change-id", { type: "string", describe: "id of a change to retry" }),
        args => run(() => apply(contextOf(args), { ...args, timeoutSeconds: args.timeout })),
    )
    .command(
        "diff",
        "show what apply would change",
        args => withFile(args),
        args => run(() => diff(contextOf(args), args.file, args.prune)),
    )
    .command(
        "get <kind> [name]",
        "list declarations",
        args => withKind(args).positional("name", { type: "string" }),
        args => run(() => get(contextOf(args), kindOf(args.kind), args.name)),
    )
    .command(
        "describe <kind> <name>",
        "show a declaration with its status and events",
        args => withKind(args).positional("name", { type: "string", demandOption: true }),
        args => run(() => describe(contextOf(args), kindOf(args.kind), args.name)),
    )
    .command(
        "watch",
        "watch declarations for changes",
        args => args.option("from", { type: "number", describe: "revision to resume from" }),
        args => run(() => watch(contextOf(args), args.from)),
    )
    .command("status", "show models, upstreams and hosts", args => args, args => run(() => status(contextOf(args))))
    .command(
        "drain <upstream>",
        "move everything off an upstream",
        args =>
            args
                .positional("upstream", { type: "string", demandOption: true })
                .option("undo", { type: "boolean", default: false, describe: "let it accept work again" })
                .option("reason", { type: "string", default: "" }),
        args => run(() => drain(contextOf(args), args.upstream, args.undo, args.reason)),
    )
    .command(
        "timeline",
        "show the events of all processes in causal order",
        args =>
            args
                .option("request", { type: "string", describe: "only events of this request id" })
                .option("resource", {
                    type: "string",
                    describe: "only events of this declaration, or of an item as name@version",
                })
                .option("host", { type: "string", describe: "only events of this host" })
                .option("limit", { type: "string", describe: "number of newest events per process" })
                .option("format", { choices: timelineFormats, default: "text" }),
        args => {
            const { request, resource, host, limit, format } = args;
            return run(() => timeline(contextOf(args), { request, resource, host, limit }, format));
        },
    )
    .command(
        "explain <request>",
        "explain the outcome of a request from logs",
        args =>
            args
                .positional("request", { type: "string", demandOption: true, describe: "id of the request" })
                .option("logs", { type: "string", array: true, demandOption: true, describe: "logs of all processes" }),
        args => run(() => explainRequest(contextOf(args), args.request, args.logs)),
    )
    .command(
        "summarize",
        "summarize refused and failed requests from logs, by time, model and upstream",
        args =>
            args
                .option("logs", { type: "string", array: true, demandOption: true, describe: "logs of all processes" })
                .option("span", { type: "number", default: defaultSpanSeconds, describe: "seconds per row" }),
        args => run(() => summarizeLogs(contextOf(args), args.logs, args.span)),
    )
    .command(
        "account <action>",
        "show share, use and backlog of client accounts, from the metrics of the given entries",
        args =>
            args
                .positional("action", { choices: ["list"], demandOption: true })
                .option("span", { type: "number", default: defaultSpanSeconds, describe: "seconds to observe" }),
        args => run(() => listAccounts(contextOf(args), args.entry, args.span)),
    )
    .command(
        "check-settings <file>",
        "check a settings file",
        args => args.positional("file", { type: "string", demandOption: true }),
        args => run(() => checkSettings(args.file)),
    )
    .completion("completion", "print a completion script for the shell")
    .demandCommand(1)
    .strict()
    .fail((message, err, parser) => {
        process.stderr.write(`${err === undefined ? "" : String(err)}${message ?? ""}\n${parser.help()}\n`);
        process.exit(ExitCode.invalid);
    })
    .parseAsync();

function contextOf(options: CommonOptions): Context {
    return new Context(options);
}
