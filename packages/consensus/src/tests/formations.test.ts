import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { TestGroup } from "./groups.js";

const seeds = ["a", "b", "c"];
const hosts = [...seeds, "d", "e"];

describe("a new group that is to have five voters", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    async function start(names: readonly string[]): Promise<void> {
        group = await TestGroup.start(seeds, { maxVoters: 5, snapshotEvery: 10_000 });
        await Promise.all(names.filter(name => !seeds.includes(name)).map(name => group.startNode(name)));
    }

    function voters(name: string): string[] {
        const members = group.nodes.get(name)!.replica.state.membership?.members ?? [];
        return members.filter(({ voter }) => voter).map(({ host }) => host).sort();
    }

    async function loseDisks(lost: readonly string[]): Promise<void> {
        await Promise.all(lost.map(name => group.crash(name)));
        await Promise.all(lost.map(name => group.deleteData(name)));
        await Promise.all(lost.map(name => group.startNode(name)));
    }

    // Guards against a first command that is acknowledged while only the seeds vote, and lost with two of their disks.
    it("acknowledges its first command once any two of its hosts may lose their disks", async () => {
        await start(hosts);
        await group.propose("a", "first");
        const leader = await group.waitForLeader();
        expect(voters(leader.name)).toEqual(hosts);
        const lost = [leader.name, seeds.find(name => name !== leader.name)!];
        await loseDisks(lost);
        await group.propose("e", "second");
        expect(group.nodes.get("e")!.machine.commands).toEqual(["first", "second"]);
    });

    for (const names of [seeds, [...seeds, "d"]]) {
        it(`acknowledges its first command all the same if only ${names.length} hosts run`, async () => {
            await start(names);
            await group.propose("a", "first", 8000);
            expect(group.nodes.get("a")!.machine.commands).toEqual(["first"]);
        });
    }

    it("doesn't wait for voters that it lacks later", async () => {
        await start(hosts);
        await group.propose("a", "first");
        const leader = await group.waitForLeader();
        const down = hosts.filter(name => name !== leader.name).slice(0, 2);
        await Promise.all(down.map(name => group.crash(name)));
        await leader.replica.proposeAsLeader(Buffer.from("second"));
        expect(leader.machine.commands).toEqual(["first", "second"]);
    });
});
