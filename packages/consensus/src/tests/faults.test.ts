import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { Group } from "./groups.js";

const names = ["a", "b", "c"];
const seed = 20261202;

type Fault =
    | { readonly kind: "crash"; readonly name: string; }
    | { readonly kind: "restart"; readonly name: string; }
    | { readonly kind: "isolate"; readonly name: string; }
    | { readonly kind: "heal"; }
    | { readonly kind: "propose"; readonly name: string; readonly count: number; };

const name = fc.constantFrom(...names);
const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constant("crash" as const), name }),
    fc.record({ kind: fc.constant("restart" as const), name }),
    fc.record({ kind: fc.constant("isolate" as const), name }),
    fc.record({ kind: fc.constant("heal" as const) }),
    fc.record({ kind: fc.constant("propose" as const), name, count: fc.integer({ min: 1, max: 30 }) }),
);

/** Applies faults; gives what was acknowledged, in the order of the acknowledgements. */
async function applyFaults(group: Group, faults: readonly Fault[]): Promise<string[]> {
    const acknowledged: string[] = [];
    let number = 0;
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
                    const command = String(number++);
                    await group.nodes.get(step.name)?.replica.propose(Buffer.from(command), 150)
                        .then(() => acknowledged.push(command), () => undefined);
                }));
                break;
        }
    }
    return acknowledged;
}

describe("the control group against a naive list, under random faults", () => {
    it(`never loses what it acknowledged, and all replicas agree (seed ${seed})`, async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(fault, { minLength: 5, maxLength: 14 }), async faults => {
                const group = await Group.start(names);
                try {
                    const acknowledged = await applyFaults(group, faults);
                    group.heal();
                    await Promise.all(names.filter(node => !group.nodes.has(node)).map(node => group.startNode(node)));
                    await group.propose("a", "last");
                    await group.eventually(
                        "all to apply the last command",
                        () =>
                            names.every(node => group.nodes.get(node)!.machine.commands.includes("last")) || undefined,
                    );
                    const lists = names.map(node => group.nodes.get(node)!.machine.commands);
                    lists.forEach(list => expect(list).toEqual(lists[0]));
                    const kept = new Set(lists[0]);
                    expect(acknowledged.filter(command => !kept.has(command))).toEqual([]);
                }
                finally {
                    await group.stop();
                }
            }),
            { seed, numRuns: 25 },
        );
    });
});
