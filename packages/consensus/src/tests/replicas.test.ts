import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type Node } from "./groups.js";
import { Group } from "./groups.js";

const names = ["a", "b", "c"];

describe("Replica", () => {
    let group: Group;
    afterEach(() => group.stop());

    async function agreed(count: number, nodes = names): Promise<string[]> {
        await group.eventually(
            `${count} commands at ${nodes}`,
            () => nodes.every(name => (group.nodes.get(name)?.machine.commands.length ?? -1) >= count) || undefined,
        );
        const lists = nodes.map(name => group.nodes.get(name)!.machine.commands);
        lists.forEach(list => expect(list).toEqual(lists[0]));
        return lists[0];
    }

    function follower(leader: Node): string {
        return names.find(name => name !== leader.name)!;
    }

    async function proposeMany(at: string, from: number, to: number): Promise<void> {
        for (let number = from; number < to; number++) {
            await group.propose(at, String(number));
        }
    }

    describe("three hosts with empty folders", () => {
        it("form one group, and commit what any of them is asked", async () => {
            group = await Group.start(names);
            await Promise.all(names.map(name => group.propose(name, `from ${name}`)));
            expect([...await agreed(3)].sort()).toEqual(["from a", "from b", "from c"]);
        });

        it("form no group while one of them does not answer", async () => {
            group = await Group.start(names);
            group.isolate("c");
            await group.crash("a");
            await group.crash("b");
            await Promise.all(["a", "b"].map(name => group.wipe(name)));
            await Promise.all(["a", "b"].map(name => group.startNode(name)));
            await expect(group.propose("a", "alone", 300)).toBeRejected();
        });
    });

    describe("an entry", () => {
        it("is accepted only once a majority has synced it", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            await group.propose(leader.name, "before");
            const others = names.filter(name => name !== leader.name).map(name => group.nodes.get(name)!);
            others.forEach(({ disk }) => disk.hold());
            await expect(group.propose(leader.name, "unsynced", 250)).toBeRejected();
            expect(leader.machine.commands).toEqual(["before"]);
            others[0].disk.release();
            await group.eventually("accepted", () => leader.machine.commands.includes("unsynced") || undefined);
            others[1].disk.release();
        });
    });

    describe("a leader that is cut off", () => {
        it("accepts nothing, steps down, and follows the new one", async () => {
            group = await Group.start(names);
            const old = await group.leader();
            await group.propose(old.name, "before");
            group.isolate(old.name);
            const rest = names.filter(name => name !== old.name);
            await expect(group.propose(old.name, "lost", 400)).toBeRejected();
            await expect(old.replica.barrier(300)).toBeRejected();
            await group.leader(rest);
            await group.propose(rest[0], "after");
            group.heal();
            const commands = await agreed(2);
            expect(commands.slice(0, 2)).toEqual(["before", "after"]);
        });
    });

    describe("a host that was down for hundreds of changes", () => {
        it("catches up from a snapshot, its log having been compacted away", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            const down = follower(leader);
            await group.crash(down);
            await proposeMany(leader.name, 0, 300);
            const back = await group.startNode(down);
            await agreed(300);
            const kinds = back.replica.state.timeline.list().map(event => event.kind);
            expect(kinds.includes("log.snapshot-installed")).toEqual(true);
        });
    });

    describe("a host that comes back with an empty folder", () => {
        it("is a new member, a learner first, and takes its host's place once caught up", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            await proposeMany(leader.name, 0, 20);
            const lost = follower(leader);
            const oldId = group.nodes.get(lost)!.replica.state.memberId;
            await group.crash(lost);
            await group.wipe(lost);
            const back = await group.startNode(lost);
            expect(back.replica.state.memberId).not.toEqual(oldId);
            expect(back.replica.state.isVoter).toEqual(false);
            await group.eventually("a voter again", () => back.replica.state.isVoter || undefined);
            const ids = leader.replica.state.membership!.members.map(member => member.id);
            expect(ids.includes(oldId)).toEqual(false);
            expect(ids.length).toEqual(3);
        });

        it("loses nothing accepted when a second host is lost right after", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            await proposeMany(leader.name, 0, 30);
            const lost = follower(leader);
            await group.crash(lost);
            await group.wipe(lost);
            const back = await group.startNode(lost);
            await group.eventually("a voter again", () => back.replica.state.isVoter || undefined);
            await group.crash(leader.name);
            await group.wipe(leader.name);
            await group.propose(lost, "after both");
            const rest = names.filter(name => name !== leader.name);
            expect((await agreed(31, rest)).slice(0, 30)).toEqual(
                Array.from({ length: 30 }, (_, number) => String(number)),
            );
        });
    });

    describe("a learner without a folder", () => {
        it("receives the log and never votes", async () => {
            group = await Group.start(names);
            await group.propose("a", "one");
            const learner = await group.startLearner("d");
            await agreed(1, [...names, "d"]);
            expect(learner.replica.state.isVoter).toEqual(false);
        });
    });

    describe("a planned stop of the leader", () => {
        it("hands over without an election timeout", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            await group.propose(leader.name, "one");
            await leader.replica.handOver(2000);
            expect(leader.replica.state.role).toEqual("follower");
            const heir = await group.leader(names.filter(name => name !== leader.name));
            const kinds = leader.replica.state.timeline.list().map(event => event.kind);
            expect(kinds.includes("leader.hand-over")).toEqual(true);
            expect(heir.replica.state.term).toEqual(leader.replica.state.term);
        });
    });

    describe("a quorum read", () => {
        it("at a follower sees what was accepted before it", async () => {
            group = await Group.start(names);
            const leader = await group.leader();
            await group.propose(leader.name, "seen");
            const other = group.nodes.get(follower(leader))!;
            await other.replica.barrier(2000);
            expect(other.machine.commands).toEqual(["seen"]);
        });
    });
});
