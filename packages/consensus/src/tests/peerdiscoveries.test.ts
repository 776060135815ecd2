import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { TestGroup } from "./groups.js";

const names = ["a", "b", "c", "d"];

describe("PeerDiscovery", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    async function countGroups(): Promise<number> {
        await Promise.all(names.map(name => group.propose(name, `from ${name}`)));
        return new Set([...group.nodes.values()].map(({ replica }) => replica.state.group)).size;
    }

    it("lets hosts form one group if no seed has a disk", async () => {
        group = await TestGroup.startWithSeeds(["x", "y", "z"], ["x", "y", "z"], names);
        expect(await countGroups()).toEqual(1);
    });

    it("lets the seed with a disk form the group", async () => {
        group = await TestGroup.startWithSeeds(["x", "b", "z"], ["x", "z"], names);
        expect(await countGroups()).toEqual(1);
    });

    it("learns the members of an existing group after a restart", async () => {
        group = await TestGroup.startWithSeeds(["x", "y", "z"], ["x", "y", "z"], names);
        await countGroups();
        group.replaceDiscoveryHost("x");
        const known = await group.waitFor("known members", () => {
            const urls = group.discoveryHost("x")!.knownUrls;
            return urls.length === names.length ? urls : undefined;
        });
        expect([...known].sort()).toEqual(names.map(name => `mem://${name}`));
    });

    it("designates no founder after the first start", async () => {
        group = await TestGroup.startWithSeeds(["x", "y", "z"], ["x", "y", "z"], names, false);
        await expect(group.propose("a", "alone", 300)).toBeRejected();
    });
});
