import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { chat, Deployment } from "../index.js";

function model(version: number): string {
    return `[[model]]\nname = "m"\nversion = "${version}"\nmemory = "1 GiB"\n`;
}

function service(number: number) {
    return { op: "put" as const, kind: "Service" as const, name: `s${number}`, baseVersion: 0, spec: {} };
}

describe("accepted configuration", () => {
    let deployment: Deployment;
    beforeEach(async () => {
        deployment = await Deployment.start({
            dataCentres: ["plateau", "pikine", "rufisque"],
            engines: [{ name: "e0", dataCentre: "plateau", memory: "8 GiB" }],
            services: [],
            entrySettings: "[placement]\nstoreRate = 20",
        });
    });
    afterEach(() => deployment.stop());

    async function makeChanges(count: number): Promise<number> {
        let revision = 0;
        for (let number = 0; number < count; number++) {
            const result = await deployment.client.change({
                changeId: `c${number}`,
                operator: "awa",
                items: [service(number)],
            }, false);
            revision = result.tag === "accepted" ? result.revision : 0;
        }
        return revision;
    }

    it("is in force at processes that were down or frozen for hundreds of changes, within seconds", async () => {
        await deployment.declare(model(1));
        await deployment.untilReady();
        const leader = await deployment.leader();
        const [down, frozen] = deployment.entries.filter(entry => entry !== leader);
        await down.process.kill();
        await deployment.restartEntry(down);
        const agent = deployment.upstream("e0").agent;
        await down.process.kill();
        agent.signal("SIGSTOP");
        const revision = await makeChanges(150);
        await deployment.restartEntry(down);
        frozen.process.signal("SIGSTOP");
        await deployment.client.change({ changeId: "last", operator: "awa", items: [service(1000)] }, false);
        agent.signal("SIGCONT");
        frozen.process.signal("SIGCONT");
        const status = await deployment.untilStatus(
            "in force everywhere",
            ({ behind, upstreams }) => behind.length === 0 && upstreams.length === 1,
            5000,
        );
        expect(status.revision > revision).toEqual(true);
    });

    it("names the process that is behind", async () => {
        await deployment.declare(model(1));
        await deployment.untilReady();
        const leader = await deployment.leader();
        const frozen = deployment.entries.find(entry => entry !== leader)!;
        frozen.process.signal("SIGSTOP");
        await deployment.declare(model(2));
        const status = await deployment.untilStatus(
            "behind",
            ({ behind }) => behind.some(name => name.startsWith(frozen.name)),
        );
        expect(status.behind.some(name => name.startsWith(frozen.name))).toEqual(true);
        frozen.process.signal("SIGCONT");
    });

    it("never runs as it was before: a thawed entry's old choice is refused or made anew", async () => {
        await deployment.declare(model(1));
        await deployment.untilReady();
        const leader = await deployment.leader();
        const frozen = deployment.entries.find(entry => entry !== leader)!;
        frozen.process.signal("SIGSTOP");
        await deployment.declare(model(2));
        await deployment.untilStatus(
            "at version 2",
            ({ models }) => models[0].version === "2" && models[0].condition === "ready",
        );
        const asked = chat(frozen.callers, "m", "which version", { tokens: 2 });
        frozen.process.signal("SIGCONT");
        const answer = await asked;
        expect([answer.status, answer.whole]).toEqual([200, true]);
        const { events } = await deployment.client.timeline({ resource: "m@1" });
        const loads = (events as { kind: string; detail: string; }[]).filter(event => event.kind === "order.delivered");
        expect(loads.filter(event => event.detail.startsWith("load")).length).toEqual(1);
    });

    it("is what an operator reads, also from an entry that was frozen meanwhile", async () => {
        await deployment.declare(model(1));
        await deployment.untilReady();
        const leader = await deployment.leader();
        const frozen = deployment.entries.find(entry => entry !== leader)!;
        for (let version = 2; version <= 6; version++) {
            frozen.process.signal("SIGSTOP");
            await deployment.declare(model(version));
            const reading = fetch(`${frozen.operators}/apis/v1/models/m`, {
                headers: { authorization: "Bearer a key for tests on loopback only" },
            });
            frozen.process.signal("SIGCONT");
            const res = await reading;
            const read = await res.json() as { spec?: { version: string; }; };
            expect(res.status === 503 || read.spec?.version === String(version)).toEqual(true);
        }
    });

    it("gives racing operators one winner, and a conflict that names it", async () => {
        const change = (changeId: string, entry: number, version: string) =>
            fetch(`${deployment.entries[entry].operators}/apis/v1/changes`, {
                method: "POST",
                headers: {
                    "content-type": "application/json",
                    authorization: "Bearer a key for tests on loopback only",
                },
                body: JSON.stringify({
                    changeId,
                    operator: `operator-${entry}`,
                    items: [{
                        op: "put",
                        kind: "Model",
                        name: "m",
                        baseVersion: 0,
                        spec: { version, memory: "1 GiB" },
                    }],
                }),
            });
        const answers = await Promise.all([change("a", 0, "1"), change("b", 1, "2"), change("c", 2, "3")]);
        expect(answers.map(({ status }) => status).sort()).toEqual([200, 409, 409]);
        const winner = `operator-${answers.findIndex(({ status }) => status === 200)}`;
        const refused = await answers.find(({ status }) => status === 409)!.json() as {
            issues: { message: string; }[];
        };
        expect(refused.issues[0].message).toInclude(winner);
    });

    it("answers a resent change as the first time, also by another leader", async () => {
        const change = { changeId: "once", operator: "awa", items: [service(1)] };
        const first = await deployment.client.change(change, false);
        const leader = await deployment.leader();
        await leader.process.kill();
        const again = await deployment.client.change(change, false);
        expect(again).toEqual(first);
    });
});
