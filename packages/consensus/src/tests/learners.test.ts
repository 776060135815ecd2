import { sleep } from "@winchpath/core";
import { expect } from "earl";
import fc from "fast-check";
import { afterEach, describe, it } from "node:test";
import { TestGroup, type TestNode } from "./groups.js";

const seeds = ["a", "b", "c"];
const removeLearnerAfterMs = 400;
/** Longer than a learner may be silent, so that the leader has led for longer than that. */
const longLeadershipMs = 450;
/** Several rounds of the leader, and less than a learner may be silent. */
const lateResponseMs = 60;

/** Ids of running nodes that a later membership of the leader's log lacks. */
function droppedIds(group: TestGroup, leader: TestNode): string[] {
    const { log } = leader.replica.state;
    const running = new Set([...group.nodes.values()].map(({ replica }) => replica.state.memberId));
    const dropped: string[] = [];
    let ids: readonly string[] = [];
    for (let index = log.firstIndex; index <= log.lastIndex; index++) {
        const payload = log.entryAt(index)?.payload;
        if (payload?.case === "membership") {
            const next = payload.value.members.map(({ id }) => id);
            dropped.push(...ids.filter(id => running.has(id) && !next.includes(id)));
            ids = next;
        }
    }
    return dropped;
}

function currentLeader(group: TestGroup): TestNode | undefined {
    return [...group.nodes.values()].find(({ replica }) => replica.readyLeadership !== undefined);
}

/** Whether the nodes of the hosts are voters under their present ids, by a membership that is committed. */
function haveVotes(group: TestGroup, hosts: readonly string[]): boolean {
    const state = currentLeader(group)?.replica.state;
    const members = state?.log.membershipUpTo(state.commitIndex)?.membership.members ?? [];
    const voters = new Set(members.filter(({ voter }) => voter).map(({ id }) => id));
    return hosts.every(host => voters.has(group.nodes.get(host)!.replica.state.memberId));
}

async function loseDisks(group: TestGroup, hosts: readonly string[]): Promise<void> {
    await Promise.all(hosts.map(host => group.crash(host)));
    await Promise.all(hosts.map(host => group.deleteData(host)));
    await Promise.all(hosts.map(host => group.startNode(host)));
}

// Guards against hosts that come back with empty disks and are dropped as they join, as if they had been silent all along.
describe("a learner of a leader that has led for longer than learners may be silent", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    async function start(): Promise<TestNode> {
        group = await TestGroup.start(seeds, { maxVoters: 5, removeLearnerAfterMs });
        await Promise.all(["d", "e"].map(name => group.startNode(name)));
        await group.waitFor("five voters", () => haveVotes(group, ["a", "b", "c", "d", "e"]) || undefined);
        const leader = await group.waitForLeader();
        await sleep(longLeadershipMs);
        return leader;
    }

    function others(leader: TestNode): string[] {
        return [...group.nodes.keys()].filter(name => name !== leader.name);
    }

    it("is kept while its first response is on its way", async () => {
        const leader = await start();
        const [lost] = others(leader);
        group.responseDelayMs = from => from === lost ? lateResponseMs : 0;
        await loseDisks(group, [lost]);
        await group.waitFor(`vote of ${lost}`, () => haveVotes(group, [lost]) || undefined);
        expect(droppedIds(group, currentLeader(group)!)).toEqual([]);
    });

    it("is kept beside another one that joins at the same time", async () => {
        const leader = await start();
        const lost = others(leader).slice(0, 2);
        group.responseDelayMs = from => lost.includes(from) ? lateResponseMs : 0;
        await loseDisks(group, lost);
        await group.waitFor(`votes of ${lost}`, () => haveVotes(group, lost) || undefined);
        expect(droppedIds(group, currentLeader(group)!)).toEqual([]);
    });

    it("is kept by the next leader as well", async () => {
        const leader = await start();
        const [lost] = others(leader);
        group.responseDelayMs = from => from === lost ? lateResponseMs : 0;
        await loseDisks(group, [lost]);
        await leader.replica.transferLeadership(1500);
        await group.waitFor(`vote of ${lost}`, () => haveVotes(group, [lost]) || undefined);
        expect(droppedIds(group, currentLeader(group)!)).toEqual([]);
    });

    it("is dropped once it has been silent for that long", async () => {
        const leader = await start();
        const spare = await group.startNode("f");
        const { memberId } = spare.replica.state;
        const isMember = () => leader.replica.state.membership!.members.some(({ id }) => id === memberId);
        await group.waitFor("the learner", () => isMember() || undefined);
        await group.crash("f");
        await group.waitFor("its removal", () => !isMember() || undefined);
    });
});

const seed = 20261207;

describe(`losses of disks and changes of leader under an old leadership (seed ${seed})`, () => {
    const step = fc.record({
        position: fc.nat({ max: 4 }),
        count: fc.integer({ min: 1, max: 2 }),
        /** Time that each host's responses take, in milliseconds. */
        delaysMs: fc.array(fc.integer({ min: 0, max: lateResponseMs }), { minLength: 5, maxLength: 5 }),
        change: fc.constantFrom("none", "transfer", "restart"),
        calmMs: fc.constantFrom(0, longLeadershipMs),
    });

    it("give each host that runs its vote back, and drop none of them", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 4 }), async steps => {
                const overrides = { maxVoters: 5, removeLearnerAfterMs, snapshotEvery: 10_000 };
                const group = await TestGroup.start(seeds, overrides);
                const hosts = [...seeds, "d", "e"];
                try {
                    await Promise.all(["d", "e"].map(name => group.startNode(name)));
                    await group.waitFor("five voters", () => haveVotes(group, hosts) || undefined);
                    for (const { position, count, delaysMs, change, calmMs } of steps) {
                        await sleep(calmMs);
                        group.responseDelayMs = from => delaysMs[hosts.indexOf(from)];
                        const lost = Array.from({ length: count }, (_, index) => hosts[(position + index) % 5]);
                        await loseDisks(group, lost);
                        const leader = await group.waitForLeader();
                        if (change === "transfer") {
                            await leader.replica.transferLeadership(1500);
                        }
                        // A leader without its process is one more host that is lost.
                        if (change === "restart" && count === 1) {
                            await group.crash(leader.name);
                            await group.startNode(leader.name);
                        }
                        await group.waitFor(`votes of ${hosts}`, () => haveVotes(group, hosts) || undefined);
                        expect(droppedIds(group, currentLeader(group)!)).toEqual([]);
                    }
                }
                finally {
                    await group.stop();
                }
            }),
            { seed, numRuns: 10, endOnFailure: true },
        );
    });
});
