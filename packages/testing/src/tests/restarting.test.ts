import { Deferred } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import {
    type ChatResult,
    createBooking,
    type Deployment,
    describeControlHistory,
    type EntryHost,
    sendChat,
    type ServiceStats,
} from "../index.js";
import { expectNoFailedRequests, startRedundantDeployment, TrafficGenerator } from "./trafficgenerators.js";

/** The part of a test's context that the type definitions lack. */
interface TestOutcome {
    readonly passed: boolean;
}

describe("a planned stop", () => {
    let deployment: Deployment;
    let traffic: TrafficGenerator | undefined;
    afterEach(async t => {
        if (!(t as unknown as TestOutcome).passed) {
            console.error(await describeControlHistory(deployment));
        }
        // The deployment goes first: callers may wait for a process that has stopped answering.
        await Promise.all([traffic?.stop(), deployment.stop()]);
    });

    /** Starts a chat that takes more than three seconds; returns after its first token. */
    async function startLongChat(entry: EntryHost): Promise<{ answer: Promise<ChatResult>; }> {
        const firstToken = new Deferred<void>();
        const answer = sendChat(entry.callersUrl, "m0", `long at ${entry.name}`, {
            tokens: 700,
            onToken: () => firstToken.resolve(),
        });
        await firstToken.promise;
        return { answer };
    }

    it("of every process, one after the other, under load, cuts nothing off", async () => {
        deployment = await startRedundantDeployment();
        traffic = new TrafficGenerator(deployment, 6);
        for (const entry of deployment.entries) {
            const long = await startLongChat(entry);
            expect(await entry.process.stop()).toEqual(0);
            expect((await long.answer).isComplete).toEqual(true);
            await deployment.restartEntry(entry);
        }
        for (const upstream of deployment.upstreams) {
            const long = [0, 1, 2].map(number =>
                createBooking(deployment.entries[number].callersUrl, `long-${upstream.name}-${number}`, undefined, 2500)
            );
            expect(await upstream.agent.stop()).toEqual(0);
            expect((await Promise.all(long)).map(({ status }) => status)).toEqual([200, 200, 200]);
            await deployment.restartAgent(upstream);
            await deployment.waitUntilReady();
        }
        await traffic.stop();
        expectNoFailedRequests(traffic);
        const stats = await Promise.all(["s0", "s1"].map(name => deployment.fetchStats<ServiceStats>(name)));
        const counts = stats.flatMap(({ bookings }) => Object.values(bookings));
        expect(counts.every(count => count === 1)).toEqual(true);
    });
});
