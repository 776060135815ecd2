/** Commands that change declarations or preview changes: `apply`, `diff` and `drain`. */
import { formatIssue, newId, sleep } from "@winchpath/core";
import { type ChangeItem, type ChangeResult, kinds, loadManifests, type Resource } from "@winchpath/declarations";
import { type Status } from "@winchpath/operators";
import { type Context, ExitCode } from "../contexts.js";
import { diffManifests, formatDifferences } from "../differences.js";

const waitPollMs = 250;

export interface ApplyOptions {
    readonly file: string;
    readonly dryRun: boolean;
    readonly prune: boolean;
    /** Wait until everything declared is ready. */
    readonly wait: boolean;
    readonly timeoutSeconds: number;
    readonly changeId: string | undefined;
}

/** Changes the declarations to match the files. */
export async function apply(context: Context, options: ApplyOptions): Promise<ExitCode> {
    const items = await diffAgainstCurrent(context, options.file, options.prune);
    if (items.length === 0) {
        context.print({ tag: "accepted", unchanged: true }, () => "nothing to change");
        return options.wait ? waitUntilReady(context, options.timeoutSeconds) : ExitCode.done;
    }
    const changeId = options.changeId ?? newId();
    const result = await context.client.change({ changeId, operator: context.operator, items }, options.dryRun);
    context.print(result, () => `${formatDifferences(items)}\n${formatResult(result, options.dryRun)}`);
    if (result.tag === "refused") {
        return ExitCode.refused;
    }
    return options.wait && !options.dryRun ? waitUntilReady(context, options.timeoutSeconds) : ExitCode.done;
}

/** Shows what `apply` would change. */
export async function diff(context: Context, file: string, prune: boolean): Promise<ExitCode> {
    const items = await diffAgainstCurrent(context, file, prune);
    context.print(items, () => items.length === 0 ? "no differences" : formatDifferences(items));
    return ExitCode.done;
}

/** Moves all work off an upstream; with `undo`, lets it accept work again. */
export async function drain(context: Context, name: string, undo: boolean, reason: string): Promise<ExitCode> {
    const { items } = await context.client.list("Drain");
    const existing = items.find(item => item.name === name);
    if (undo === (existing === undefined)) {
        context.print(
            { tag: "accepted", unchanged: true },
            () => `${name} is ${undo ? "not drained" : "drained already"}`,
        );
        return ExitCode.done;
    }
    const base = { kind: "Drain" as const, name, baseVersion: existing?.version ?? 0 };
    const item: ChangeItem = undo ? { op: "delete", ...base } : { op: "put", ...base, spec: { reason } };
    const result = await context.client.change(
        { changeId: newId(), operator: context.operator, items: [item] },
        false,
    );
    context.print(result, () => formatResult(result, false));
    return result.tag === "accepted" ? ExitCode.done : ExitCode.refused;
}

async function diffAgainstCurrent(context: Context, file: string, prune: boolean): Promise<ChangeItem[]> {
    const manifests = loadManifests(file);
    if (manifests.err) {
        throw manifests.val;
    }
    const lists = await Promise.all(kinds.map(kind => context.client.list(kind)));
    const current: Resource[] = lists.flatMap(list => list.items);
    return diffManifests(manifests.val, current, prune);
}

function formatResult(result: ChangeResult, dryRun: boolean): string {
    if (result.tag === "refused") {
        return result.issues.map(issue => `refused: ${formatIssue({ ...issue, code: "conflict" })}`).join("\n");
    }
    return dryRun ? "would be accepted" : `accepted at revision ${result.revision}`;
}

async function waitUntilReady(context: Context, timeoutSeconds: number): Promise<ExitCode> {
    const deadline = Date.now() + timeoutSeconds * 1000;
    let lastProgress = "";
    while (Date.now() < deadline) {
        const status = await context.client.status();
        const notReady = listNotReady(status);
        if (notReady.length === 0) {
            context.progress("everything is ready");
            return ExitCode.done;
        }
        const text = `waiting for ${notReady.length}: ${notReady.slice(0, 3).join("; ")}${
            notReady.length > 3 ? "; ..." : ""
        }`;
        if (text !== lastProgress) {
            lastProgress = text;
            context.progress(text);
        }
        await sleep(waitPollMs);
    }
    context.progress("timed out before everything was ready");
    return ExitCode.timedOut;
}

/** Descriptions of everything that is not ready yet. */
function listNotReady(status: Status): string[] {
    return [
        ...status.behind.map(process => `${process} is behind`),
        ...status.models.filter(model => model.condition !== "ready").map(model => `${model.name} (${model.reason})`),
        ...status.services.filter(service => service.upstreams === 0).map(service => `${service.name} (no upstream)`),
    ];
}
