import { Deferred } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { book, chat, type ChatAnswer, type Deployment, type EntryHost, type ServiceFacts } from "../index.js";
import { expectNothingCutOff, Load, startLeavable } from "./loads.js";

describe("a planned stop", () => {
    let deployment: Deployment;
    let load: Load | undefined;
    afterEach(async () => {
        await load?.stop();
        await deployment.stop();
    });

    /** A chat of over three seconds, once its first token has come. */
    async function begunChat(entry: EntryHost): Promise<{ answer: Promise<ChatAnswer>; }> {
        const begun = new Deferred<void>();
        const answer = chat(entry.callers, "m0", `long at ${entry.name}`, {
            tokens: 700,
            onToken: () => begun.resolve(),
        });
        await begun.promise;
        return { answer };
    }

    it("of every process, one after the other, under load, cuts nothing off", async () => {
        deployment = await startLeavable();
        load = new Load(deployment, 6);
        for (const entry of deployment.entries) {
            const long = await begunChat(entry);
            expect(await entry.process.stop()).toEqual(0);
            expect((await long.answer).whole).toEqual(true);
            await deployment.restartEntry(entry);
        }
        for (const upstream of deployment.upstreams) {
            const long = [0, 1, 2].map(number =>
                book(deployment.entries[number].callers, `long-${upstream.name}-${number}`, undefined, 2500)
            );
            expect(await upstream.agent.stop()).toEqual(0);
            expect((await Promise.all(long)).map(({ status }) => status)).toEqual([200, 200, 200]);
            await deployment.restartAgent(upstream);
            await deployment.untilReady();
        }
        await load.stop();
        expectNothingCutOff(load);
        const facts = await Promise.all(["s0", "s1"].map(name => deployment.facts<ServiceFacts>(name)));
        const counts = facts.flatMap(({ bookings }) => Object.values(bookings));
        expect(counts.every(count => count === 1)).toEqual(true);
    });
});
