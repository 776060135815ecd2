import { withTimeout } from "@winchpath/core";
import { Catalogue, type ChangeItem, Declarations, kinds, type Resource } from "@winchpath/declarations";
import { type AcceleratorView } from "@winchpath/placement";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    closeOperatorServer,
    createOperatorServer,
    dryRunChange,
    modelStatus,
    openApiDocument,
    type OperatorServerOptions,
    type WatchLine,
    watchLines,
} from "../index.js";

const gibibyte = 2 ** 30;

function put(name: string, spec: object = { version: "1", memory: "1 GiB" }): ChangeItem {
    return { op: "put", kind: "Model", name, baseVersion: 0, spec };
}

function change(declarations: Declarations, index: number, ...items: ChangeItem[]): void {
    declarations.apply({ changeId: `c${index}`, operator: "awa", items }, { index });
}

describe("watchLines", () => {
    async function next(lines: AsyncGenerator<string>): Promise<WatchLine> {
        const { value } = await lines.next();
        return JSON.parse(value as string) as WatchLine;
    }

    it("sends a snapshot, then each change, including those made between reads", async () => {
        const declarations = new Declarations();
        change(declarations, 1, put("a"));
        const disconnected = new AbortController();
        const lines = watchLines(declarations, undefined, disconnected.signal);
        const first = await next(lines);
        expect(first.type === "snapshot" && first.items.map(({ name }) => name)).toEqual(["a"]);
        change(declarations, 2, put("b"));
        change(declarations, 3, { op: "delete", kind: "Model", name: "a", baseVersion: 1 });
        const changes = [await next(lines), await next(lines)];
        expect(changes.map(({ type, revision }) => `${type} ${revision}`)).toEqual(["put 2", "delete 3"]);
        disconnected.abort();
    });

    it("resumes from a revision, or sends a snapshot if its history is gone", async () => {
        const declarations = new Declarations();
        change(declarations, 1, put("a"));
        change(declarations, 2, put("b"));
        const signal = new AbortController().signal;
        expect((await next(watchLines(declarations, 1, signal))).type).toEqual("put");
        const restored = new Declarations();
        restored.restore(declarations.snapshot());
        expect((await next(watchLines(restored, 1, signal))).type).toEqual("snapshot");
    });
});

describe("modelStatus", () => {
    const resources: Resource[] = [
        { kind: "Model", name: "m", version: 1, operator: "o", changeId: "c", spec: { version: "2", memory: "3 GiB" } },
        {
            kind: "Adapter",
            name: "a",
            version: 1,
            operator: "o",
            changeId: "c",
            spec: { model: "m", version: "1", memory: "1 GiB" },
        },
    ];
    const [model] = new Catalogue(1, resources).models;

    function view(ready: string[], changes: Partial<AcceleratorView> = {}): AcceleratorView {
        const items = new Map(ready.map(id => [id, { state: "resident" as const, bytes: gibibyte, ready: true }]));
        const common = {
            upstream: "u",
            accelerator: "a0",
            dataCentre: "d",
            speed: 1,
            capacity: 8,
            stays: true,
            orderable: true,
        };
        return { ...common, bytes: 8 * gibibyte, free: 8 * gibibyte, items, ...changes };
    }

    it("reports a model as ready only with its adapters, at the declared version", () => {
        expect(modelStatus(model, [view(["m@2", "a@1"])]).condition).toEqual("ready");
        expect(modelStatus(model, [view(["m@2"])]).condition).toEqual("progressing");
        expect(modelStatus(model, [view(["m@1", "a@1"])]).condition).toEqual("earlier-version");
        expect(modelStatus(model, [view([])]).condition).toEqual("unreachable");
    });

    it("explains why there is no replica", () => {
        const reason = (...views: AcceleratorView[]) => modelStatus(model, views).reason;
        expect(reason()).toEqual("no live engine in its data centres");
        expect(reason(view([], { bytes: 3 * gibibyte }))).toEqual("it needs 4 GiB, more than any accelerator has");
        expect(reason(view([], { free: gibibyte }))).toEqual(
            "it needs 4 GiB, and no accelerator has more than 1 GiB free",
        );
        expect(reason(view([]))).toEqual("waiting for its turn at the weight store");
    });
});

describe("dryRunChange", () => {
    it("returns the result of a change without applying it", () => {
        const declarations = new Declarations();
        const attempt = (item: ChangeItem) =>
            dryRunChange(declarations, { changeId: "c", operator: "o", items: [item] });
        expect(attempt(put("m")).tag).toEqual("accepted");
        const refused = attempt(put("m", { version: "1", memory: "much", colour: "red" }));
        const paths = refused.tag === "refused" ? refused.issues.map(({ path }) => path.join(".")) : [];
        expect(paths.sort()).toEqual(["items.0.spec.colour", "items.0.spec.memory"]);
        expect(declarations.list()).toEqual([]);
    });
});

describe("openApiDocument", () => {
    it("describes each kind by its validation schema", () => {
        const { schemas } = openApiDocument().components as { schemas: Record<string, { properties: object; }>; };
        expect(kinds.every(kind => schemas[kind] !== undefined)).toEqual(true);
        expect(Object.keys(schemas["Model"].properties).includes("minReplicas")).toEqual(true);
    });
});

// Guards against a stopping process that stayed alive for as long as an operator watched it.
describe("closeOperatorServer", () => {
    it("ends a watch after the grace period", async () => {
        const options = { declarations: new Declarations(), key: undefined } as unknown as OperatorServerOptions;
        const app = createOperatorServer(options);
        const url = await app.listen({ host: "127.0.0.1", port: 0 });
        const watch = await fetch(`${url}/apis/v1/watch`);
        const ended = watch.text().then(() => "whole", () => "cut");
        await withTimeout(closeOperatorServer(app, 50), 2000, "closing the server");
        expect(await ended).toEqual("cut");
    });
});
