import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type Holding, Ledger, type LedgerCommand } from "../index.js";

const seed = 20261202;
const capacity = 10;

function register(incarnation: string): LedgerCommand {
    const accelerators = [{ name: "a0", bytes: capacity, speed: 1 }];
    return { op: "register", upstreams: [{ name: "u", incarnation, dataCentre: "d", accelerators }] };
}

type Step =
    | { readonly op: "load" | "unload"; readonly item: string; readonly bytes: number; }
    /** The engine's report on an item; refers to an earlier fencing number if `stale`. */
    | { readonly op: "settle"; readonly item: string; readonly found: "resident" | "gone"; readonly stale: boolean; };

const item = fc.constantFrom("m@1", "n@1", "o@1", "p@1");
const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ op: fc.constantFrom("load" as const, "unload" as const), item, bytes: fc.integer({ min: 1, max: 6 }) }),
    fc.record({
        op: fc.constant("settle" as const),
        item,
        found: fc.constantFrom("resident" as const, "gone" as const),
        stale: fc.boolean(),
    }),
);

/** Reference model: the most that an engine may hold, given the orders that were sent. */
class ReferenceEngine {
    private readonly held = new Map<string, number>();

    public load(name: string, bytes: number): void {
        this.held.set(name, bytes);
    }

    public remove(name: string): void {
        this.held.delete(name);
    }

    public get maxHeldBytes(): number {
        return [...this.held.values()].reduce((sum, bytes) => sum + bytes, 0);
    }
}

describe("Ledger", () => {
    it(`never orders a load that could exceed the engine's memory (seed ${seed})`, () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                const ledger = new Ledger();
                const engine = new ReferenceEngine();
                ledger.apply(register("i"), { term: 1, index: 1 });
                steps.forEach((each, number) => {
                    const context = { term: 1, index: number + 2 };
                    const place = { upstream: "u", accelerator: "a0", item: each.item };
                    const holding = ledger.list().find(({ item: held }) => held === each.item);
                    if (each.op === "settle") {
                        const fence = holding?.fence ?? { term: 1, index: 0 };
                        const reportedFence = each.stale ? { ...fence, index: fence.index - 1 } : fence;
                        const settlement = { ...place, fence: reportedFence, found: each.found };
                        ledger.apply({ op: "settle", settlements: [settlement], adoptions: [] }, context);
                        if (!each.stale && each.found === "gone") {
                            engine.remove(each.item);
                        }
                        return;
                    }
                    const command: LedgerCommand = each.op === "load"
                        ? { op: "load", ...place, bytes: each.bytes, incarnation: "i" }
                        : { op: "unload", ...place, incarnation: "i" };
                    const result = ledger.apply(command, context);
                    if (result.tag === "ordered" && each.op === "load") {
                        engine.load(each.item, each.bytes);
                    }
                    expect(engine.maxHeldBytes <= capacity).toEqual(true);
                });
                const copy = new Ledger();
                copy.restore(JSON.parse(JSON.stringify(ledger.snapshot())));
                expect(copy.list()).toEqual(ledger.list());
            }),
            { seed, numRuns: 500 },
        );
    });

    it("reserves memory during an unload until the engine reports the item as gone", () => {
        const ledger = new Ledger();
        ledger.apply(register("i"), { term: 1, index: 1 });
        const place = { upstream: "u", accelerator: "a0", item: "m@1" };
        ledger.apply({ op: "load", ...place, bytes: 8, incarnation: "i" }, { term: 1, index: 2 });
        ledger.apply({ op: "unload", ...place, incarnation: "i" }, { term: 1, index: 3 });
        const next: LedgerCommand = { op: "load", ...place, item: "n@1", bytes: 8, incarnation: "i" };
        expect(ledger.apply(next, { term: 1, index: 4 }).tag).toEqual("refused");
        const settlement = { ...place, fence: { term: 1, index: 3 }, found: "gone" as const };
        ledger.apply({ op: "settle", settlements: [settlement], adoptions: [] }, { term: 1, index: 5 });
        expect(ledger.apply(next, { term: 1, index: 6 }).tag).toEqual("ordered");
    });

    it("rejects orders for an earlier incarnation of the agent", () => {
        const ledger = new Ledger();
        ledger.apply(register("new"), { term: 1, index: 1 });
        const load: LedgerCommand = {
            op: "load",
            upstream: "u",
            accelerator: "a0",
            item: "m@1",
            bytes: 1,
            incarnation: "old",
        };
        const result = ledger.apply(load, { term: 1, index: 2 });
        expect(result).toEqual({ tag: "refused", reason: "the agent has restarted" });
        const none: Holding[] = [];
        expect(ledger.list()).toEqual(none);
    });
});
