import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { Group } from "./groups.js";

const names = ["a", "b", "c", "d"];

describe("ConsensusRelay", () => {
    let group: Group;
    afterEach(() => group.stop());

    async function groupsFormed(): Promise<number> {
        await Promise.all(names.map(name => group.propose(name, `from ${name}`)));
        return new Set([...group.nodes.values()].map(({ replica }) => replica.state.group)).size;
    }

    it("lets hosts whose seeds have no disk form one group", async () => {
        group = await Group.startBehind(["x", "y", "z"], ["x", "y", "z"], names);
        expect(await groupsFormed()).toEqual(1);
    });

    it("leaves the first group to the seeds that have a disk", async () => {
        group = await Group.startBehind(["x", "b", "z"], ["x", "z"], names);
        expect(await groupsFormed()).toEqual(1);
    });

    it("tells others of a group that knew its hosts from elsewhere", async () => {
        group = await Group.startBehind(["x", "y", "z"], ["x", "y", "z"], names);
        await groupsFormed();
        group.replaceRelay("x");
        const known = await group.eventually("known members", () => {
            const urls = group.relay("x")!.knownUrls;
            return urls.length === names.length ? urls : undefined;
        });
        expect([...known].sort()).toEqual(names.map(name => `mem://${name}`));
    });

    it("names nobody once the whole system has started before", async () => {
        group = await Group.startBehind(["x", "y", "z"], ["x", "y", "z"], names, false);
        await expect(group.propose("a", "alone", 300)).toBeRejected();
    });
});
