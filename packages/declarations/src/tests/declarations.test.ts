import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type ChangeItem, type ChangeResult, Declarations, parseManifests } from "../index.js";

function model(name: string, baseVersion: number, version = "1"): ChangeItem {
    return { op: "put", kind: "Model", name, baseVersion, spec: { version, memory: "1 GiB" } };
}

class TestLog {
    public index = 0;
    public readonly declarations = new Declarations();

    public change(changeId: string, operator: string, ...items: ChangeItem[]): ChangeResult {
        this.index += 1;
        return this.declarations.apply({ changeId, operator, items }, { index: this.index });
    }
}

function messageOf(result: ChangeResult): string {
    return result.tag === "refused" ? result.issues.map(issue => issue.message).join("; ") : "";
}

describe("Declarations", () => {
    describe("two changes of the same version", () => {
        it("conflict, and the issue names the accepted one", () => {
            const log = new TestLog();
            log.change("c0", "awa", model("m", 0));
            expect(log.change("c1", "awa", model("m", 1, "2")).tag).toEqual("accepted");
            const second = log.change("c2", "kojo", model("m", 1, "3"));
            expect(messageOf(second)).toInclude("awa made version 2 of it by change c1");
        });
    });

    describe("a change that is resent", () => {
        it("returns the first result, also after a snapshot is restored", () => {
            const log = new TestLog();
            const first = log.change("c1", "awa", model("m", 0));
            log.change("c2", "kojo", model("m", 1, "2"));
            const restored = new Declarations();
            restored.restore(JSON.parse(JSON.stringify(log.declarations.snapshot())));
            const again = restored.apply({ changeId: "c1", operator: "awa", items: [model("m", 0)] }, { index: 9 });
            expect(again).toEqual(first);
            expect(restored.revision).toEqual(2);
        });

        it("is refused if its id was used for a different change", () => {
            const log = new TestLog();
            log.change("c1", "awa", model("m", 0));
            expect(messageOf(log.change("c1", "awa", model("n", 0)))).toInclude("belongs to another change");
        });
    });

    describe("a change of several items", () => {
        it("is atomic", () => {
            const log = new TestLog();
            log.change("c1", "awa", model("m", 0));
            expect(log.change("c2", "awa", model("n", 0), model("m", 0, "2")).tag).toEqual("refused");
            expect(log.declarations.get("Model", "n")).toEqual(undefined);
        });

        it("can add an adapter together with its model, but not without it", () => {
            const log = new TestLog();
            const adapter: ChangeItem = {
                op: "put",
                kind: "Adapter",
                name: "a",
                baseVersion: 0,
                spec: { model: "m", version: "1", memory: "1 MiB" },
            };
            expect(messageOf(log.change("c1", "awa", adapter))).toInclude("needs Model m");
            expect(log.change("c2", "awa", model("m", 0), adapter).tag).toEqual("accepted");
            const removal = log.change("c3", "awa", { op: "delete", kind: "Model", name: "m", baseVersion: 2 });
            expect(messageOf(removal)).toInclude("needs Model m");
        });
    });

    it("agree with a reference model under random changes", () => {
        const op = fc.record({
            name: fc.constantFrom("x", "y", "z"),
            base: fc.nat(6),
            version: fc.constantFrom("1", "2", "3"),
            id: fc.nat(12),
        });
        fc.assert(
            fc.property(fc.array(op, { maxLength: 30 }), ops => {
                const log = new TestLog();
                const naive = new Map<string, { version: number; spec: string; }>();
                const answers = new Map<number, string>();
                for (const { name, base, version, id } of ops) {
                    const result = log.change(`c${id}`, "o", model(name, base, version));
                    const key = `${name}/${base}/${version}`;
                    if (answers.has(id)) {
                        const [sameKey, tag] = answers.get(id)!.split("|");
                        expect(result.tag).toEqual(sameKey === key ? tag as "accepted" : "refused");
                        continue;
                    }
                    const fits = (naive.get(name)?.version ?? 0) === base;
                    expect(result.tag).toEqual(fits ? "accepted" : "refused");
                    if (fits && naive.get(name)?.spec !== version) {
                        naive.set(name, { version: log.index, spec: version });
                    }
                    answers.set(id, `${key}|${result.tag}`);
                }
                const kept = log.declarations.list().map(resource => [resource.name, resource.version]);
                expect(kept).toEqual([...naive].sort().map(([name, { version }]) => [name, version]));
            }),
            { seed: 20261202, numRuns: 300 },
        );
    });
});

describe("parseManifests", () => {
    it("reports the path of each invalid or unknown key", () => {
        const result = parseManifests("[[model]]\nname = \"m\"\nversion = \"1\"\nmemory = \"lots\"\nsize = 1", "toml");
        const issues = result.err ? result.val.issues.map(issue => issue.path.join(".")) : [];
        expect(issues.sort()).toEqual(["model.0.memory", "model.0.size"]);
    });

    it("fills in defaults", () => {
        const [manifest] = parseManifests("{\"service\": [{\"name\": \"booking-api\"}]}", "json").unwrap();
        expect(manifest).toEqual({ kind: "Service", name: "booking-api", spec: { priority: 5 } });
    });
});
