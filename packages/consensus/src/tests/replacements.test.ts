import { expect } from "earl";
import fc from "fast-check";
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

describe("a planned stop of a voter", () => {
    let group: TestGroup;
    afterEach(() => group.stop());

    const voters = () => {
        const leader = [...group.nodes.values()].find(node => node.replica.readyLeadership !== undefined);
        return leader?.replica.memberStatus().filter(member => member.voter).map(member => member.host).sort() ?? [];
    };

    /** Starts voters and, if named, a spare that has caught up. */
    async function start(names: readonly string[], spare?: string): Promise<void> {
        group = await TestGroup.start(seeds, { maxVoters: names.length });
        await Promise.all(names.slice(seeds.length).map(name => group.startNode(name)));
        await group.waitFor(`voters ${names}`, () => voters().join() === names.join() || undefined);
        await group.propose(names[0], "acknowledged");
        if (spare !== undefined) {
            await startSpare(spare);
        }
    }

    async function startSpare(name: string): Promise<void> {
        const node = await group.startNode(name);
        await group.waitFor(`entries at ${name}`, () => node.machine.commands.length || undefined);
    }

    async function loseDisks(...names: readonly string[]): Promise<void> {
        await Promise.all(names.map(name => group.crash(name)));
        await Promise.all(names.map(name => group.deleteData(name)));
        await Promise.all(names.map(name => group.startNode(name)));
    }

    async function expectKept(at: string): Promise<void> {
        await group.propose(at, "after");
        const { commands } = group.nodes.get(at)!.machine;
        expect([commands[0], commands.at(-1)]).toEqual(["acknowledged", "after"]);
    }

    const leaderName = async () => (await group.waitForLeader()).name;

    // Guards against a group that loses its configuration for good, when disks are lost right after a planned replacement.
    for (const role of ["follower", "leader"] as const) {
        it(`that is the ${role}, with a spare, leaves the group able to lose two of five disks at once`, async () => {
            await start(["a", "b", "c", "d", "e"], "f");
            const leader = await leaderName();
            const stopped = role === "leader" ? leader : ["a", "b", "c", "d", "e"].find(name => name !== leader)!;
            await group.stopAsPlanned(stopped);
            const others = ["a", "b", "c", "d", "e"].filter(name => name !== stopped);
            await loseDisks(others[0], others[1]);
            await expectKept("f");
        });
    }

    // Guards against the same in the smallest group.
    it("leaves a group of three able to lose a disk", async () => {
        await start(["a", "b", "c"], "d");
        await group.stopAsPlanned("a");
        await loseDisks("b");
        await expectKept("d");
    });

    // Guards against a spare that counts as behind only because changes are on their way.
    it("hands the vote over while changes are in flight", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        let running = true;
        const changes = Array.from({ length: 4 }, async (_, client) => {
            for (let change = 0; running; change++) {
                await group.propose("f", `change ${client}/${change}`);
            }
        });
        await group.stopAsPlanned("a");
        running = false;
        await Promise.all(changes);
        await loseDisks("b", "c");
        await expectKept("f");
    });

    it("hands over in series, also from hosts that have come back", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        await group.stopAsPlanned("a");
        await startSpare("g");
        await group.stopAsPlanned("b");
        await group.waitFor("voters", () => voters().join() === "c,d,e,f,g" || undefined);
        // On its own disk, and waits for a vote as before its first stop.
        await group.startNode("a");
        const { machine } = group.nodes.get("a")!;
        await group.propose("c", "while a learns");
        await group.waitFor("entries at a", () => machine.commands.includes("while a learns") || undefined);
        const wantsVote = () =>
            group.nodes.get("c")!.replica.state.membership!.members.find(({ host }) => host === "a")?.wantsVote;
        await group.waitFor("a's wish for a vote", () => wantsVote() || undefined);
        await group.stopAsPlanned("c");
        await group.waitFor("voters", () => voters().join() === "a,d,e,f,g" || undefined);
        await loseDisks("d", "e");
        await expectKept("f");
    });

    it("keeps what is acknowledged if the spare itself is one of two that lose their disks", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        await group.stopAsPlanned("a");
        await loseDisks("b", "f");
        await expectKept("c");
    });

    // Guards against hosts that never find their group again, since all of their seeds have lost their disks or are gone.
    it("is followed by the return of hosts with empty disks, none of whose seeds knows the group", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        await group.stopAsPlanned("a");
        await loseDisks("b", "c");
        for (const name of ["b", "c"]) {
            await group.waitFor(
                `the group at ${name}`,
                () => group.nodes.get(name)!.replica.state.isVoter || undefined,
            );
        }
        await expectKept("b");
    });

    it("keeps the vote, without waiting, if there is no spare", async () => {
        await start(["a", "b", "c", "d", "e"]);
        const startedAt = Date.now();
        const follower = ["a", "b"].find(name => group.nodes.get(name)!.replica.readyLeadership === undefined)!;
        await group.nodes.get(follower)!.replica.handOverVote(5000);
        expect(Date.now() - startedAt).toBeLessThan(100);
        expect(voters()).toEqual(["a", "b", "c", "d", "e"]);
    });

    it("of two voters at once, with one spare, hands over one vote and keeps the other", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        const [first, second] = ["a", "b", "c"].filter(name =>
            group.nodes.get(name)!.replica.readyLeadership === undefined
        );
        await Promise.all([group.stopAsPlanned(first), group.stopAsPlanned(second)]);
        expect(voters().length).toEqual(5);
        expect(voters().filter(name => [first, second].includes(name)).length).toEqual(1);
        await group.startNode(first);
        await group.startNode(second);
        await expectKept("f");
    });

    // Guards against an even number of voters for good, if a host is killed before its vote has been taken from it.
    it("that is killed between the two changes leaves no surplus voter", async () => {
        await start(["a", "b", "c", "d", "e"], "f");
        const leader = await group.waitForLeader();
        const stopped = ["a", "b"].find(name => name !== leader.name)!;
        const { memberId } = group.nodes.get(stopped)!.replica.state;
        // The spare is made a voter, and the stopping host is gone before the second change is asked for.
        const handingOver = leader.replica.handOverVoteOf(memberId).catch(() => undefined);
        await group.waitFor("six voters", () => voters().length === 6 || undefined).catch(() => undefined);
        await group.crash(stopped);
        await handingOver;
        const expected = ["a", "b", "c", "d", "e", "f"].filter(name => name !== stopped).join();
        await group.waitFor("five voters", () => voters().join() === expected || undefined);
        await expectKept("f");
    });
});

const seed = 20261204;

describe(`planned replacements and losses in random order (seed ${seed})`, () => {
    const position = fc.nat({ max: 4 });
    const step = fc.oneof(
        fc.record({ kind: fc.constant("replace" as const), position }),
        fc.record({ kind: fc.constant("restart" as const), position }),
        fc.record({ kind: fc.constant("kill" as const), position }),
        fc.record({ kind: fc.constant("lose-disks" as const), position, count: fc.integer({ min: 1, max: 2 }) }),
    );

    // Guards against a planned replacement after which fewer disks may be lost than the group tolerates.
    it("keep what was acknowledged, and a majority, with up to two disks lost at once at any moment", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 6 }), async steps => {
                const group = await TestGroup.start(seeds, { maxVoters: 5 });
                const acknowledged: string[] = [];
                /** Hosts in service, oldest first. */
                const hosts = [...seeds, "d", "e"];
                const hostsFrom = (first: number, count: number) =>
                    Array.from({ length: count }, (_, index) => hosts[(first + index) % hosts.length]);
                /** Whether all hosts are voters under their present identities. */
                const allVote = () => {
                    const leader = [...group.nodes.values()].find(({ replica }) =>
                        replica.readyLeadership !== undefined
                    );
                    const members = leader?.replica.state.membership?.members ?? [];
                    const voters = new Set(members.filter(({ voter }) => voter).map(({ id }) => id));
                    return hosts.every(name => voters.has(group.nodes.get(name)!.replica.state.memberId));
                };
                const propose = async (name: string) => {
                    const command = `change ${acknowledged.length + 1}`;
                    await group.propose(name, command);
                    acknowledged.push(command);
                };
                try {
                    await Promise.all(["d", "e"].map(name => group.startNode(name)));
                    await group.waitFor(`votes of ${hosts}`, () => allVote() || undefined);
                    for (const [index, { kind, position: at, ...rest }] of steps.entries()) {
                        await propose(hosts[at]);
                        const [name] = hostsFrom(at, 1);
                        if (kind === "replace") {
                            const spare = await group.startNode(`spare${index}`);
                            const caughtUp = () => spare.machine.commands.length === acknowledged.length || undefined;
                            await group.waitFor(`entries at ${spare.name}`, caughtUp);
                            await group.stopAsPlanned(name);
                            hosts.splice(at, 1);
                            hosts.push(spare.name);
                            // As settings name the hosts in service, at each start.
                            const seed = group.seeds.indexOf(`mem://${name}`);
                            if (seed !== -1) {
                                group.seeds[seed] = `mem://${spare.name}`;
                            }
                            // No wait: the next step may follow at once.
                            continue;
                        }
                        if (kind === "restart") {
                            await group.stopAsPlanned(name);
                        }
                        const stopped = kind === "lose-disks"
                            ? hostsFrom(at, "count" in rest ? rest.count : 1)
                            : [name];
                        await Promise.all(stopped.map(other => group.crash(other)));
                        if (kind === "lose-disks") {
                            await Promise.all(stopped.map(other => group.deleteData(other)));
                        }
                        await Promise.all(stopped.map(other => group.startNode(other)));
                        // Later losses count as being at the same moment until the hosts have caught up.
                        await group.waitFor(`votes of ${hosts}`, () => allVote() || undefined);
                    }
                    await propose(hosts[0]);
                    for (const name of hosts) {
                        await group.waitFor(
                            `all entries at ${name}`,
                            () => group.nodes.get(name)!.machine.commands.length === acknowledged.length || undefined,
                        );
                        expect(group.nodes.get(name)!.machine.commands).toEqual(acknowledged);
                    }
                }
                finally {
                    await group.stop();
                }
            }),
            { seed, numRuns: 12, endOnFailure: true },
        );
    });
});
