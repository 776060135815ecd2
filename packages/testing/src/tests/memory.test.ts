import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { Deployment, type EngineStats } from "../index.js";

const gibibyte = 2 ** 30;
const memoryGiB = 10;

/** Four models of 3 GiB each. With two per engine of 10 GiB, a rollout has room for one more replica, not for two. */
function models(version: number): string {
    const names = ["m0", "m1", "m2", "m3"];
    return names.map(name => `[[model]]\nname = "${name}"\nversion = "${version}"\nmemory = "3 GiB"\n`).join("");
}

describe("no accelerator is asked to hold more than its memory", () => {
    let deployment: Deployment;
    afterEach(() => deployment.stop());

    function start(checksFence: boolean): Promise<Deployment> {
        const options = { checksFence, loadMs: 200, unloadMs: 100 };
        return Deployment.start({
            dataCentres: ["plateau", "pikine", "rufisque"],
            engines: ["e0", "e1"].map(name => ({ name, dataCentre: "plateau", memory: `${memoryGiB} GiB`, options })),
            services: [],
            entrySettings: "[placement]\nstoreRate = 20",
        });
    }

    async function expectPeaksWithinMemory(): Promise<void> {
        for (const name of ["e0", "e1"]) {
            const { peak } = await deployment.fetchStats<EngineStats>(name);
            expect((peak["a0"] ?? 0) <= memoryGiB * gibibyte).toEqual(true);
        }
    }

    for (const checksFence of [true, false]) {
        const kind = checksFence ? "that check fencing tokens" : "that ignore fencing tokens";

        it(`during version rollouts with lost and delayed orders and responses, by engines ${kind}`, async () => {
            deployment = await start(checksFence);
            await deployment.applyManifests(models(1));
            await deployment.waitUntilReady();
            for (let version = 2; version <= 4; version++) {
                await deployment.setFaults("e0", { loseAnswers: 2, delayOrdersMs: 700 });
                await deployment.setFaults("e1", { loseAnswers: 1, loseOrders: 1, delayOrdersMs: 700 });
                await deployment.applyManifests(models(version));
                await deployment.waitUntilReady();
            }
            await expectPeaksWithinMemory();
        });

        it(`while leaders and agents are killed, by engines ${kind}`, async () => {
            deployment = await start(checksFence);
            await deployment.applyManifests(models(1));
            await deployment.waitUntilReady();
            await deployment.setFaults("e0", { loseAnswers: 2, delayOrdersMs: 300 });
            await deployment.applyManifests(models(2));
            const leader = await deployment.findLeader();
            await leader.process.kill();
            const upstream = deployment.upstream("e1");
            await upstream.agent.kill();
            await Promise.all([deployment.restartEntry(leader), deployment.restartAgent(upstream)]);
            await deployment.applyManifests(models(3));
            await deployment.waitUntilReady();
            await expectPeaksWithinMemory();
        });
    }

    it("by a suspended leader that resumes after another was elected", async () => {
        deployment = await start(true);
        await deployment.applyManifests(models(1));
        await deployment.waitUntilReady();
        const oldLeader = await deployment.findLeader();
        oldLeader.process.signal("SIGSTOP");
        await deployment.waitForStatus(
            "led by another entry",
            ({ leader }) => leader !== "" && leader !== oldLeader.name,
        );
        await deployment.applyManifests(models(2));
        oldLeader.process.signal("SIGCONT");
        await deployment.applyManifests(models(3));
        await deployment.waitUntilReady();
        await expectPeaksWithinMemory();
    });
});
