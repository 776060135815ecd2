import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { TestGroup } from "./groups.js";

const names = ["a", "b", "c"];
const seed = 20261202;

type Fault =
    | { readonly kind: "crash"; readonly name: string; }
    | { readonly kind: "restart"; readonly name: string; }
    | { readonly kind: "isolate"; readonly name: string; }
    | { readonly kind: "heal"; }
    | { readonly kind: "propose"; readonly name: string; readonly count: number; };

const anyName = fc.constantFrom(...names);
const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constant("crash" as const), name: anyName }),
    fc.record({ kind: fc.constant("restart" as const), name: anyName }),
    fc.record({ kind: fc.constant("isolate" as const), name: anyName }),
    fc.record({ kind: fc.constant("heal" as const) }),
    fc.record({ kind: fc.constant("propose" as const), name: anyName, count: fc.integer({ min: 1, max: 30 }) }),
);

/** Applies faults and returns the acknowledged commands. */
async function applyFaults(group: TestGroup, faults: readonly Fault[]): Promise<string[]> {
    const acknowledged: string[] = [];
    let nextCommand = 0;
    for (const step of faults) {
        switch (step.kind) {
            case "crash":
                await group.crash(step.name);
                break;
            case "restart":
                if (!group.nodes.has(step.name)) {
                    await group.startNode(step.name);
                }
                break;
            case "isolate":
                group.isolate(step.name);
                break;
            case "heal":
                group.heal();
                break;
            case "propose":
                await Promise.all(Array.from({ length: step.count }, async () => {
                    const command = String(nextCommand++);
                    await group.nodes.get(step.name)?.replica.propose(Buffer.from(command), 150)
                        .then(() => acknowledged.push(command), () => undefined);
                }));
                break;
        }
    }
    return acknowledged;
}

describe("control group under random faults", () => {
    it(`keeps all acknowledged commands and the same log on all replicas (seed ${seed})`, async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(fault, { minLength: 5, maxLength: 14 }), async faults => {
                const group = await TestGroup.start(names);
                try {
                    const acknowledged = await applyFaults(group, faults);
                    group.heal();
                    await Promise.all(names.filter(name => !group.nodes.has(name)).map(name => group.startNode(name)));
                    await group.propose("a", "last");
                    await group.waitFor(
                        "last command on all nodes",
                        () =>
                            names.every(name => group.nodes.get(name)!.machine.commands.includes("last")) || undefined,
                    );
                    const lists = names.map(name => group.nodes.get(name)!.machine.commands);
                    lists.forEach(list => expect(list).toEqual(lists[0]));
                    const applied = new Set(lists[0]);
                    expect(acknowledged.filter(command => !applied.has(command))).toEqual([]);
                }
                finally {
                    await group.stop();
                }
            }),
            { seed, numRuns: 25 },
        );
    });
});
