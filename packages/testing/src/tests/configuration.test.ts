import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Deployment, sendChat } from "../index.js";

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

    it("is applied within five seconds by processes that were down or suspended during 150 changes", async () => {
        await deployment.applyManifests(model(1));
        await deployment.waitUntilReady();
        const leader = await deployment.findLeader();
        const [down, suspended] = deployment.entries.filter(entry => entry !== leader);
        await down.process.kill();
        await deployment.restartEntry(down);
        const agent = deployment.upstream("e0").agent;
        await down.process.kill();
        agent.signal("SIGSTOP");
        const revision = await makeChanges(150);
        await deployment.restartEntry(down);
        suspended.process.signal("SIGSTOP");
        await deployment.client.change({ changeId: "last", operator: "awa", items: [service(1000)] }, false);
        agent.signal("SIGCONT");
        suspended.process.signal("SIGCONT");
        const status = await deployment.waitForStatus(
            "applied everywhere",
            ({ behind, upstreams }) => behind.length === 0 && upstreams.length === 1,
            5000,
        );
        expect(status.revision > revision).toEqual(true);
    });

    it("reports which process is behind", async () => {
        await deployment.applyManifests(model(1));
        await deployment.waitUntilReady();
        const leader = await deployment.findLeader();
        const suspended = deployment.entries.find(entry => entry !== leader)!;
        suspended.process.signal("SIGSTOP");
        await deployment.applyManifests(model(2));
        const status = await deployment.waitForStatus(
            "behind",
            ({ behind }) => behind.some(name => name.startsWith(suspended.name)),
        );
        expect(status.behind.some(name => name.startsWith(suspended.name))).toEqual(true);
        suspended.process.signal("SIGCONT");
    });

    it("isn't undone by an entry that was suspended: a request through it doesn't load the old version", async () => {
        await deployment.applyManifests(model(1));
        await deployment.waitUntilReady();
        const leader = await deployment.findLeader();
        const suspended = deployment.entries.find(entry => entry !== leader)!;
        suspended.process.signal("SIGSTOP");
        await deployment.applyManifests(model(2));
        await deployment.waitForStatus(
            "at version 2",
            ({ models }) => models[0].version === "2" && models[0].condition === "ready",
        );
        const pendingChat = sendChat(suspended.callersUrl, "m", "which version", { tokens: 2 });
        suspended.process.signal("SIGCONT");
        const answer = await pendingChat;
        expect([answer.status, answer.isComplete]).toEqual([200, true]);
        const { events } = await deployment.client.timeline({ resource: "m@1" });
        const loads = (events as { kind: string; detail: string; }[]).filter(event => event.kind === "order.delivered");
        expect(loads.filter(event => event.detail.startsWith("load")).length).toEqual(1);
    });

    it("is what an operator reads, even from an entry that was suspended during the change", async () => {
        await deployment.applyManifests(model(1));
        await deployment.waitUntilReady();
        const leader = await deployment.findLeader();
        const suspended = deployment.entries.find(entry => entry !== leader)!;
        for (let version = 2; version <= 6; version++) {
            suspended.process.signal("SIGSTOP");
            await deployment.applyManifests(model(version));
            const pendingRead = fetch(`${suspended.operatorsUrl}/apis/v1/models/m`, {
                headers: { authorization: "Bearer a key for tests on loopback only" },
            });
            suspended.process.signal("SIGCONT");
            const res = await pendingRead;
            const read = await res.json() as { spec?: { version: string; }; };
            expect(res.status === 503 || read.spec?.version === String(version)).toEqual(true);
        }
    });

    it("accepts one of several concurrent changes, and names its operator in the conflict errors", async () => {
        const change = (changeId: string, entry: number, version: string) =>
            fetch(`${deployment.entries[entry].operatorsUrl}/apis/v1/changes`, {
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

    it("returns the original result for a repeated change, even after a change of leader", async () => {
        const change = { changeId: "once", operator: "awa", items: [service(1)] };
        const first = await deployment.client.change(change, false);
        const leader = await deployment.findLeader();
        await leader.process.kill();
        const again = await deployment.client.change(change, false);
        expect(again).toEqual(first);
    });
});
