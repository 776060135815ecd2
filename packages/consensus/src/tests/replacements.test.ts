import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { Group } from "./groups.js";

const seeds = ["a", "b", "c"];

describe("a group of five voters that grew out of three seeds", () => {
    let group: Group;
    afterEach(() => group.stop());

    function voters(): string[] {
        const leader = [...group.nodes.values()].find(node => node.replica.leading !== undefined);
        return leader?.replica.memberStatus().filter(member => member.voter).map(member => member.host).sort() ?? [];
    }

    async function votersAre(expected: readonly string[]): Promise<void> {
        await group.eventually(
            `voters ${expected}, at last ${voters()}`,
            () => voters().join() === expected.join() || undefined,
        );
    }

    async function startFive(): Promise<void> {
        group = await Group.start(seeds, { maxVoters: 5 });
        await Promise.all(["d", "e"].map(name => group.startNode(name)));
        await votersAre(["a", "b", "c", "d", "e"]);
    }

    it("lets all five vote", async () => {
        await startFive();
    });

    it("takes no sixth voter while all five are heard", async () => {
        await startFive();
        await group.startNode("f");
        await group.propose("f", "from a learner");
        await group.eventually("f has caught up", () => group.nodes.get("f")!.machine.commands.length || undefined);
        expect(voters()).toEqual(["a", "b", "c", "d", "e"]);
    });

    it("puts an empty host at another address in the place of one that is gone for good", async () => {
        await startFive();
        await group.propose("a", "before");
        await group.crash("e");
        await group.startNode("f");
        await votersAre(["a", "b", "c", "d", "f"]);
        expect(group.nodes.get("f")!.machine.commands).toEqual(["before"]);
    });

    it("exchanges all three seeds one after the other, and goes on", async () => {
        await startFive();
        for (const [gone, coming] of [["a", "f"], ["b", "g"], ["c", "h"]]) {
            await group.crash(gone);
            group.seeds.splice(group.seeds.indexOf(`mem://${gone}`), 1, "mem://d");
            await group.startNode(coming);
            await group.eventually(`${coming} votes`, () => voters().includes(coming) || undefined);
        }
        await votersAre(["d", "e", "f", "g", "h"]);
        await group.propose("h", "after");
    });

    it("keeps what was acknowledged when two disks are lost right after", async () => {
        await startFive();
        await group.propose("a", "acknowledged");
        await Promise.all(["a", "b"].map(name => group.crash(name)));
        await Promise.all(["a", "b"].map(name => group.wipe(name)));
        await Promise.all(["a", "b"].map(name => group.startNode(name)));
        await votersAre(["a", "b", "c", "d", "e"]);
        await group.propose("a", "after");
        expect(group.nodes.get("a")!.machine.commands).toEqual(["acknowledged", "after"]);
    });

    it("lets a member that was replaced while it was cut off come back as a learner", async () => {
        await startFive();
        const leader = await group.leader();
        const cut = ["d", "e"].find(name => name !== leader.name)!;
        group.isolate(cut);
        await group.startNode("f");
        await group.eventually("f votes", () => voters().includes("f") || undefined);
        group.heal();
        await group.propose("f", "while away");
        await group.eventually(
            "the cut-off member has it",
            () => group.nodes.get(cut)!.machine.commands.includes("while away") || undefined,
        );
        expect(voters()).not.toInclude(cut);
    });
});
