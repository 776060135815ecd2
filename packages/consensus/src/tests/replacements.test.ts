import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { TestGroup } from "./groups.js";

const seeds = ["a", "b", "c"];

describe("replacement of voters in a group of five with three seeds", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    function currentVoters(): string[] {
        const leader = [...group.nodes.values()].find(node => node.replica.readyLeadership !== undefined);
        return leader?.replica.memberStatus().filter(member => member.voter).map(member => member.host).sort() ?? [];
    }

    async function waitForVoters(expected: readonly string[]): Promise<void> {
        await group.waitFor(
            `voters ${expected} (initially ${currentVoters()})`,
            () => currentVoters().join() === expected.join() || undefined,
        );
    }

    async function startFive(): Promise<void> {
        group = await TestGroup.start(seeds, { maxVoters: 5 });
        await Promise.all(["d", "e"].map(name => group.startNode(name)));
        await waitForVoters(["a", "b", "c", "d", "e"]);
    }

    it("promotes all five members to voters", async () => {
        await startFive();
    });

    it("adds no sixth voter while all five are responsive", async () => {
        await startFive();
        await group.startNode("f");
        await group.propose("f", "from a learner");
        await group.waitFor("entries at f", () => group.nodes.get("f")!.machine.commands.length || undefined);
        expect(currentVoters()).toEqual(["a", "b", "c", "d", "e"]);
    });

    it("replaces a failed voter with an empty host at another address", async () => {
        await startFive();
        await group.propose("a", "before");
        await group.crash("e");
        await group.startNode("f");
        await waitForVoters(["a", "b", "c", "d", "f"]);
        expect(group.nodes.get("f")!.machine.commands).toEqual(["before"]);
    });

    it("stays available while all three seeds are replaced one by one", async () => {
        await startFive();
        for (const [removed, added] of [["a", "f"], ["b", "g"], ["c", "h"]]) {
            await group.crash(removed);
            group.seeds.splice(group.seeds.indexOf(`mem://${removed}`), 1, "mem://d");
            await group.startNode(added);
            await group.waitFor(`voter ${added}`, () => currentVoters().includes(added) || undefined);
        }
        await waitForVoters(["d", "e", "f", "g", "h"]);
        await group.propose("h", "after");
    });

    it("keeps acknowledged commands after the loss of two disks", async () => {
        await startFive();
        await group.propose("a", "acknowledged");
        await Promise.all(["a", "b"].map(name => group.crash(name)));
        await Promise.all(["a", "b"].map(name => group.deleteData(name)));
        await Promise.all(["a", "b"].map(name => group.startNode(name)));
        await waitForVoters(["a", "b", "c", "d", "e"]);
        await group.propose("a", "after");
        expect(group.nodes.get("a")!.machine.commands).toEqual(["acknowledged", "after"]);
    });

    it("readmits a voter that was replaced during a partition as a learner", async () => {
        await startFive();
        const leader = await group.waitForLeader();
        const partitioned = ["d", "e"].find(name => name !== leader.name)!;
        group.isolate(partitioned);
        await group.startNode("f");
        await group.waitFor("voter f", () => currentVoters().includes("f") || undefined);
        group.heal();
        await group.propose("f", "while away");
        await group.waitFor(
            "entry at the partitioned member",
            () => group.nodes.get(partitioned)!.machine.commands.includes("while away") || undefined,
        );
        expect(currentVoters()).not.toInclude(partitioned);
    });
});
