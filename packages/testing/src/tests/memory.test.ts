import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { Deployment, type EngineFacts } from "../index.js";

const gibibyte = 2 ** 30;
const memoryGiB = 10;

/** Four models of 3 GiB each, at a version. Two engines of 10 GiB: one more fits beside two, never two more. */
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
            const { peak } = await deployment.facts<EngineFacts>(name);
            expect((peak["a0"] ?? 0) <= memoryGiB * gibibyte).toEqual(true);
        }
    }

    for (const checksFence of [true, false]) {
        const kind = checksFence ? "that check fencing numbers" : "that ignore fencing numbers";

        it(`while versions roll, with orders and answers lost and late, by engines ${kind}`, async () => {
            deployment = await start(checksFence);
            await deployment.declare(models(1));
            await deployment.untilReady();
            for (let version = 2; version <= 4; version++) {
                await deployment.setFaults("e0", { loseAnswers: 2, delayOrdersMs: 700 });
                await deployment.setFaults("e1", { loseAnswers: 1, loseOrders: 1, delayOrdersMs: 700 });
                await deployment.declare(models(version));
                await deployment.untilReady();
            }
            await expectPeaksWithinMemory();
        });

        it(`while leaders and agents are killed, by engines ${kind}`, async () => {
            deployment = await start(checksFence);
            await deployment.declare(models(1));
            await deployment.untilReady();
            await deployment.setFaults("e0", { loseAnswers: 2, delayOrdersMs: 300 });
            await deployment.declare(models(2));
            const leader = await deployment.leader();
            await leader.process.kill();
            const upstream = deployment.upstream("e1");
            await upstream.agent.kill();
            await Promise.all([deployment.restartEntry(leader), deployment.restartAgent(upstream)]);
            await deployment.declare(models(3));
            await deployment.untilReady();
            await expectPeaksWithinMemory();
        });
    }

    it("by a leader that was frozen, and still believes in itself when it thaws", async () => {
        deployment = await start(true);
        await deployment.declare(models(1));
        await deployment.untilReady();
        const old = await deployment.leader();
        old.process.signal("SIGSTOP");
        await deployment.untilStatus("led by another", ({ leader }) => leader !== "" && leader !== old.name);
        await deployment.declare(models(2));
        old.process.signal("SIGCONT");
        await deployment.declare(models(3));
        await deployment.untilReady();
        await expectPeaksWithinMemory();
    });
});
