import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { Deployment, sendChat } from "../index.js";

const names = ["m0", "m1", "m2"];

function models(extra = ""): string {
    return names.map(name => `[[model]]\nname = "${name}"\nversion = "1"\nmemory = "2 GiB"\nminReplicas = 2\n`).join("")
        + extra;
}

describe("every declared model answers through every entry", () => {
    let deployment: Deployment;
    afterEach(() => deployment.stop());

    async function start(): Promise<void> {
        const dataCentres = ["plateau", "pikine", "rufisque"];
        deployment = await Deployment.start({
            dataCentres,
            engines: dataCentres.map((dataCentre, index) => ({ name: `e${index}`, dataCentre, memory: "8 GiB" })),
            services: [],
            entrySettings: "[placement]\nstoreRate = 20",
        });
        await deployment.applyManifests(models());
        await deployment.waitUntilReady();
    }

    async function expectAnswers(entries = deployment.entries): Promise<void> {
        const answers = await Promise.all(
            entries.flatMap(entry => names.map(name => sendChat(entry.callersUrl, name, `${name} at ${entry.name}`))),
        );
        expect(answers.filter(({ isComplete }) => !isComplete)).toEqual([]);
    }

    it("while one engine host is lost, and a second right after the first has recovered", async () => {
        await start();
        for (const name of ["e0", "e1"]) {
            const upstream = deployment.upstream(name);
            await Promise.all([upstream.agent.kill(), upstream.mock.kill()]);
            await expectAnswers();
            await deployment.waitForStatus(
                "upstream removed",
                ({ upstreams }) => upstreams.every(each => each.name !== name),
            );
            await expectAnswers();
            await deployment.restartMock(upstream);
            await deployment.restartAgent(upstream);
            await deployment.waitUntilReady();
            await expectAnswers();
        }
    });

    it("while one entry host is lost with its disk, and a second right after the first has recovered", async () => {
        await start();
        const [first, second] = deployment.entries;
        const revision = (await deployment.waitUntilReady()).revision;
        for (const entry of [first, second]) {
            await entry.process.kill();
            await deployment.deleteData(entry);
            await expectAnswers(deployment.entries.filter(other => other !== entry));
            await deployment.restartEntry(entry);
            await deployment.waitForStatus(
                "three reachable voters",
                ({ members }) =>
                    members.length === 3 && members.every(member => member.reachable && member.role !== "learner"),
            );
        }
        await expectAnswers();
        expect((await deployment.waitUntilReady()).revision).toEqual(revision);
    });

    it("unless it doesn't fit: the status gives the reason, and requests are rejected at once with Retry-After", async () => {
        await start();
        await deployment.applyManifests(models("[[model]]\nname = \"huge\"\nversion = \"1\"\nmemory = \"9 GiB\"\n"));
        const status = await deployment.waitForStatus(
            "reasoned",
            ({ models: all }) => all.some(({ name }) => name === "huge"),
        );
        const huge = status.models.find(({ name }) => name === "huge")!;
        expect([huge.condition, huge.reason]).toEqual(["unreachable", "it needs 9 GiB, more than any accelerator has"]);
        const startedAt = Date.now();
        const answer = await sendChat(deployment.entries[0].callersUrl, "huge", "?");
        expect([answer.status, answer.outcome]).toEqual([503, "not-run"]);
        expect(Number(answer.retryAfter) >= 1).toEqual(true);
        expect(Date.now() - startedAt < 5000).toEqual(true);
        await expectAnswers();
    });

    it("after a wait within the timeout while no replica is ready yet", async () => {
        await start();
        await deployment.applyManifests(models("[[model]]\nname = \"late\"\nversion = \"1\"\nmemory = \"1 GiB\"\n"));
        const answer = await sendChat(deployment.entries[0].callersUrl, "late", "?");
        expect(answer.isComplete).toEqual(true);
    });
});
