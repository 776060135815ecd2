import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { TestGroup, type TestNode } from "./groups.js";

const names = ["a", "b", "c"];

describe("Replica", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    async function waitForAgreement(count: number, nodes = names): Promise<string[]> {
        await group.waitFor(
            `${count} commands at ${nodes}`,
            () => nodes.every(name => (group.nodes.get(name)?.machine.commands.length ?? -1) >= count) || undefined,
        );
        const lists = nodes.map(name => group.nodes.get(name)!.machine.commands);
        lists.forEach(list => expect(list).toEqual(lists[0]));
        return lists[0];
    }

    function follower(leader: TestNode): string {
        return names.find(name => name !== leader.name)!;
    }

    async function proposeMany(at: string, from: number, to: number): Promise<void> {
        for (let number = from; number < to; number++) {
            await group.propose(at, String(number));
        }
    }

    describe("three hosts with empty data folders", () => {
        it("form one group and commit commands proposed on any of them", async () => {
            group = await TestGroup.start(names);
            await Promise.all(names.map(name => group.propose(name, `from ${name}`)));
            expect([...await waitForAgreement(3)].sort()).toEqual(["from a", "from b", "from c"]);
        });

        it("form no group while one of them is unreachable", async () => {
            group = await TestGroup.start(names);
            group.isolate("c");
            await group.crash("a");
            await group.crash("b");
            await Promise.all(["a", "b"].map(name => group.deleteData(name)));
            await Promise.all(["a", "b"].map(name => group.startNode(name)));
            await expect(group.propose("a", "alone", 300)).toBeRejected();
        });
    });

    // Guards against a late group that its hosts can't tell from one that they are cut off from.
    it("has contact with its leader until it is cut off, and again once it is back", async () => {
        group = await TestGroup.start(names);
        const leader = await group.waitForLeader();
        await group.propose(leader.name, "first");
        const hasContact = (name: string) => group.nodes.get(name)!.replica.hasLeaderContact;
        await group.waitFor("contact everywhere", () => names.every(hasContact) || undefined);
        group.isolate(leader.name);
        await group.waitFor("a leader without a majority", () => !hasContact(leader.name) || undefined);
        const others = names.filter(name => name !== leader.name);
        await group.waitFor("contact with the next leader", () => others.every(hasContact) || undefined);
        expect(hasContact(leader.name)).toEqual(false);
        group.heal();
        await group.waitFor("contact everywhere again", () => names.every(hasContact) || undefined);
    });

    describe("an entry", () => {
        it("is committed only after a majority has synced it", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await group.propose(leader.name, "before");
            const others = names.filter(name => name !== leader.name).map(name => group.nodes.get(name)!);
            others.forEach(({ disk }) => disk.blockSyncs());
            await expect(group.propose(leader.name, "unsynced", 250)).toBeRejected();
            expect(leader.machine.commands).toEqual(["before"]);
            others[0].disk.unblockSyncs();
            await group.waitFor("accepted", () => leader.machine.commands.includes("unsynced") || undefined);
            others[1].disk.unblockSyncs();
        });
    });

    describe("a partitioned leader", () => {
        it("commits nothing, steps down, and follows the new leader", async () => {
            group = await TestGroup.start(names);
            const oldLeader = await group.waitForLeader();
            await group.propose(oldLeader.name, "before");
            group.isolate(oldLeader.name);
            const rest = names.filter(name => name !== oldLeader.name);
            await expect(group.propose(oldLeader.name, "lost", 400)).toBeRejected();
            await expect(oldLeader.replica.barrier(300)).toBeRejected();
            await group.waitForLeader(rest);
            await group.propose(rest[0], "after");
            group.heal();
            const commands = await waitForAgreement(2);
            expect(commands.slice(0, 2)).toEqual(["before", "after"]);
        });
    });

    describe("the quorum age of a leader", () => {
        // Guards against an age that counts from the last check of the members, which may be one election time later.
        it("is never shorter than the time since a majority could last be reached", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await group.propose(leader.name, "before");
            const leadership = leader.replica.readyLeadership!;
            group.isolate(leader.name);
            const cutAt = performance.now();
            const tooYoung: number[] = [];
            for (let step = 0; step < 40 && leadership.active; step++) {
                const silentMs = Math.floor(performance.now() - cutAt);
                if (leadership.quorumAgeMs < silentMs - 1) {
                    tooYoung.push(silentMs - leadership.quorumAgeMs);
                }
                await sleep(2);
            }
            expect(tooYoung).toEqual([]);
        });
    });

    describe("a host that missed hundreds of entries", () => {
        it("catches up from a snapshot after log compaction", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            const down = follower(leader);
            await group.crash(down);
            await proposeMany(leader.name, 0, 300);
            const back = await group.startNode(down);
            await waitForAgreement(300);
            const kinds = back.replica.state.timeline.list().map(event => event.kind);
            expect(kinds.includes("log.snapshot-installed")).toEqual(true);
        });
    });

    describe("a host that restarts with an empty data folder", () => {
        it("joins as a learner with a new id, and replaces the host's earlier member once caught up", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await proposeMany(leader.name, 0, 20);
            const lost = follower(leader);
            const oldId = group.nodes.get(lost)!.replica.state.memberId;
            await group.crash(lost);
            await group.deleteData(lost);
            const back = await group.startNode(lost);
            expect(back.replica.state.memberId).not.toEqual(oldId);
            expect(back.replica.state.isVoter).toEqual(false);
            await group.waitFor("a voter again", () => back.replica.state.isVoter || undefined);
            const ids = leader.replica.state.membership!.members.map(member => member.id);
            expect(ids.includes(oldId)).toEqual(false);
            expect(ids.length).toEqual(3);
        });

        it("keeps committed entries when a second host is lost after it has caught up", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await proposeMany(leader.name, 0, 30);
            const lost = follower(leader);
            await group.crash(lost);
            await group.deleteData(lost);
            const back = await group.startNode(lost);
            await group.waitFor("a voter again", () => back.replica.state.isVoter || undefined);
            await group.crash(leader.name);
            await group.deleteData(leader.name);
            await group.propose(lost, "after both");
            const rest = names.filter(name => name !== leader.name);
            expect((await waitForAgreement(31, rest)).slice(0, 30)).toEqual(
                Array.from({ length: 30 }, (_, number) => String(number)),
            );
        });
    });

    describe("a learner without a data folder", () => {
        it("receives the log and never votes", async () => {
            group = await TestGroup.start(names);
            await group.propose("a", "one");
            const learner = await group.startLearner("d");
            await waitForAgreement(1, [...names, "d"]);
            expect(learner.replica.state.isVoter).toEqual(false);
        });
    });

    describe("a leadership transfer", () => {
        it("elects a successor without waiting for the election timeout", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await group.propose(leader.name, "one");
            await leader.replica.transferLeadership(2000);
            expect(leader.replica.state.role).toEqual("follower");
            const successor = await group.waitForLeader(names.filter(name => name !== leader.name));
            const kinds = leader.replica.state.timeline.list().map(event => event.kind);
            expect(kinds.includes("leader.hand-over")).toEqual(true);
            expect(successor.replica.state.term).toEqual(leader.replica.state.term);
        });

        // Guards against a stopping leader that refused all proposals until its transfer timed out, if no voter took over.
        it("that fails doesn't keep proposals waiting for the next attempt", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            group.ignoresElections = true;
            const transfer = leader.replica.transferLeadership(3000);
            for (const name of [leader.name, follower(leader)]) {
                await group.propose(name, `at ${name}`, 1000);
            }
            expect(leader.machine.commands.length).toEqual(2);
            group.ignoresElections = false;
            await transfer;
            expect(leader.replica.state.role).toEqual("follower");
        });
    });

    describe("a quorum read", () => {
        it("on a follower returns entries committed before the read", async () => {
            group = await TestGroup.start(names);
            const leader = await group.waitForLeader();
            await group.propose(leader.name, "seen");
            const other = group.nodes.get(follower(leader))!;
            await other.replica.barrier(2000);
            expect(other.machine.commands).toEqual(["seen"]);
        });
    });
});
