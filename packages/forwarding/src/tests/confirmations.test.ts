/** Guards against denials and outdated routes of an entry that does not know the latest configuration. */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ConfirmationPolicy } from "../index.js";
import { TestEntry, testRoute } from "./testservers.js";

describe("a request to an unknown route", () => {
    let entry: TestEntry;

    beforeEach(async () => {
        entry = new TestEntry(TestEntry.configuration([testRoute({ prefix: "/old/" })]));
        await entry.start();
        entry.setUpstreams();
    });

    afterEach(() => entry.stop());

    it("is denied once the configuration is confirmed", async () => {
        const response = await entry.call("q1", { path: "/new/x" });
        expect(response.status).toEqual(404);
    });

    it("is answered by the confirmed configuration if that has the route", async () => {
        entry.confirmer.confirm = async () => {
            entry.replaceConfiguration(TestEntry.configuration([testRoute({ prefix: "/new/" })]));
            return true;
        };
        const response = await entry.call("q1", { path: "/new/x" });
        // The route is known now; no upstream serves it.
        expect([response.status, response.body]).toEqual([503, "{\"error\":\"no-upstream\"}"]);
    });

    it("is refused as not executed while no control host confirms the configuration", async () => {
        entry.confirmer.confirm = async () => false;
        const response = await entry.call("q1", { path: "/new/x" });
        expect([response.status, response.body]).toEqual([503, "{\"error\":\"configuration-unconfirmed\"}"]);
        expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    });

    it("does not wait longer than its client's time allows", async () => {
        let waitMs = 0;
        entry.confirmer.confirm = async timeoutMs => {
            waitMs = timeoutMs;
            return false;
        };
        await entry.call("q1", { path: "/new/x", headers: { "X-Deadline": "100" } });
        expect(waitMs).toEqual(30);
    });
});

describe("ConfirmationPolicy", () => {
    const applyMs = 2000;
    const view = { confirmedAgeMs: 0 };
    let answers: boolean[];
    let asked: number[];
    let policy: ConfirmationPolicy;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        answers = [];
        asked = [];
        const confirm = async (timeoutMs: number) => {
            asked.push(timeoutMs);
            return answers.shift() ?? false;
        };
        policy = new ConfirmationPolicy(view, { confirm }, applyMs);
    });

    afterEach(() => mock.timers.reset());

    it("asks nothing for an allowed request while no change can be overdue", async () => {
        view.confirmedAgeMs = 1600;
        expect(await policy.confirmIfNeeded(true)).toEqual(false);
        expect(asked).toEqual([]);
    });

    it("confirms before an allowed request once a change may be overdue", async () => {
        view.confirmedAgeMs = 1800;
        answers = [true];
        expect(await policy.confirmIfNeeded(true)).toEqual(true);
        expect(asked).toEqual([100]);
    });

    it("serves without waiting after a question without an answer, for a time", async () => {
        view.confirmedAgeMs = 10_000;
        await policy.confirmIfNeeded(true);
        mock.timers.tick(4900);
        await policy.confirmIfNeeded(true);
        expect(asked.length).toEqual(1);
        mock.timers.tick(200);
        await policy.confirmIfNeeded(true);
        expect(asked.length).toEqual(2);
    });

    it("always asks before a denial", async () => {
        view.confirmedAgeMs = 0;
        await policy.confirmIfNeeded(false, 1000);
        await policy.confirmIfNeeded(false, 1000);
        expect(asked).toEqual([300, 300]);
    });
});
