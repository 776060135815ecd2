import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { chat, Deployment } from "../index.js";

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
        await deployment.declare(models());
        await deployment.untilReady();
    }

    async function expectAnswers(entries = deployment.entries): Promise<void> {
        const answers = await Promise.all(
            entries.flatMap(entry => names.map(name => chat(entry.callers, name, `${name} at ${entry.name}`))),
        );
        expect(answers.filter(({ whole }) => !whole)).toEqual([]);
    }

    it("while one engine host is lost, and then a second right after the first was repaired", async () => {
        await start();
        for (const name of ["e0", "e1"]) {
            const upstream = deployment.upstream(name);
            await Promise.all([upstream.agent.kill(), upstream.standIn.kill()]);
            await expectAnswers();
            await deployment.untilStatus("without it", ({ upstreams }) => upstreams.every(each => each.name !== name));
            await expectAnswers();
            await deployment.restartStandIn(upstream);
            await deployment.restartAgent(upstream);
            await deployment.untilReady();
            await expectAnswers();
        }
    });

    it("while one entry host is lost with its disk, and then a second right after the first was repaired", async () => {
        await start();
        const [first, second] = deployment.entries;
        const revision = (await deployment.untilReady()).revision;
        for (const entry of [first, second]) {
            await entry.process.kill();
            await deployment.wipe(entry);
            await expectAnswers(deployment.entries.filter(other => other !== entry));
            await deployment.restartEntry(entry);
            await deployment.untilStatus(
                "three voters again",
                ({ members }) =>
                    members.length === 3 && members.every(member => member.reachable && member.role !== "learner"),
            );
        }
        await expectAnswers();
        expect((await deployment.untilReady()).revision).toEqual(revision);
    });

    it("or is said not to fit, with the reason, and is answered at once with when to come back", async () => {
        await start();
        await deployment.declare(models("[[model]]\nname = \"huge\"\nversion = \"1\"\nmemory = \"9 GiB\"\n"));
        const status = await deployment.untilStatus(
            "reasoned",
            ({ models: all }) => all.some(({ name }) => name === "huge"),
        );
        const huge = status.models.find(({ name }) => name === "huge")!;
        expect([huge.condition, huge.reason]).toEqual(["unreachable", "it needs 9 GiB, more than any accelerator has"]);
        const startedAt = Date.now();
        const answer = await chat(deployment.entries[0].callers, "huge", "?");
        expect([answer.status, answer.outcome]).toEqual([503, "not-run"]);
        expect(Number(answer.retryAfter) >= 1).toEqual(true);
        expect(Date.now() - startedAt < 5000).toEqual(true);
        await expectAnswers();
    });

    it("or waits within its time while no replica is ready", async () => {
        await start();
        await deployment.declare(models("[[model]]\nname = \"late\"\nversion = \"1\"\nmemory = \"1 GiB\"\n"));
        const answer = await chat(deployment.entries[0].callers, "late", "?");
        expect(answer.whole).toEqual(true);
    });
});
