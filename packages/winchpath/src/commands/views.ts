/** Read-only commands: `get`, `describe`, `watch`, `status`, `timeline` and `check-settings`. */
import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import { formatIssue } from "@winchpath/core";
import { type Kind } from "@winchpath/declarations";
import { loadSettings } from "@winchpath/settings";
import {
    type Event,
    EventSchema,
    HtmlRenderer,
    JsonRenderer,
    TextRenderer,
    type TimelineRenderer,
} from "@winchpath/timeline";
import { type Context, ExitCode } from "../contexts.js";
import { formatResources, formatStatus } from "../tables.js";

export async function get(context: Context, kind: Kind, name: string | undefined): Promise<ExitCode> {
    const resources = name === undefined
        ? (await context.client.list(kind)).items
        : [await context.client.get(kind, name)];
    context.print(name === undefined ? resources : resources[0], () => formatResources(resources));
    return ExitCode.done;
}

/** Prints a declaration with its status and latest events. */
export async function describe(context: Context, kind: Kind, name: string): Promise<ExitCode> {
    const resource = await context.client.get(kind, name);
    const status = await context.client.status();
    const model = status.models.find(each => each.name === name);
    const events = await readEvents(context, {
        resource: model === undefined ? name : `${name}@${model.version}`,
        limit: "20",
    });
    context.print({ resource, status: model }, () =>
        [
            formatResources([resource]),
            model === undefined
                ? ""
                : `\n${model.condition}: ${model.readyReplicas} of ${model.wantedReplicas} replicas `
                    + `ready at ${model.readyAt.join(", ") || "none"}${
                        model.reason === "" ? "" : ` (${model.reason})`
                    }`,
            "",
            new TextRenderer().render(events),
        ].join("\n"));
    return ExitCode.done;
}

export async function watch(context: Context, from: number | undefined): Promise<ExitCode> {
    for await (const line of context.client.watch(from)) {
        context.print(line, () => JSON.stringify(line));
    }
    return ExitCode.done;
}

export async function status(context: Context): Promise<ExitCode> {
    const current = await context.client.status();
    context.print(current, () => formatStatus(current));
    return ExitCode.done;
}

const renderers: Readonly<Record<string, TimelineRenderer>> = {
    text: new TextRenderer(),
    json: new JsonRenderer(),
    html: new HtmlRenderer(),
};

export const timelineFormats = Object.keys(renderers);

export async function timeline(
    context: Context,
    query: Readonly<Record<string, string | undefined>>,
    format: string,
): Promise<ExitCode> {
    process.stdout.write(`${renderers[format].render(await readEvents(context, query))}\n`);
    return ExitCode.done;
}

/** Validates a settings file as `winchpathd` does at startup. */
export function checkSettings(file: string): ExitCode {
    const result = loadSettings(file);
    if (result.ok) {
        process.stdout.write(`${file}: role ${result.val.role}, host ${result.val.host}\n`);
        return ExitCode.done;
    }
    (result.err ? result.val.issues : []).forEach(issue => process.stderr.write(`winchpath: ${formatIssue(issue)}\n`));
    return ExitCode.invalid;
}

async function readEvents(context: Context, query: Readonly<Record<string, string | undefined>>): Promise<Event[]> {
    const { events, missing } = await context.client.timeline(query);
    missing.forEach(url => context.progress(`no events from ${url}: no response`));
    return events.map(event => fromJson(EventSchema, event as JsonValue));
}
