/** Guards against denials and outdated routes of an entry that does not know the latest configuration. */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
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

describe("a request that a configuration allows which may be outdated", () => {
    const fresh = { path: "/moved/x" };
    let entry: TestEntry;

    beforeEach(async () => {
        const applyMs = -1;
        entry = new TestEntry(TestEntry.configuration([testRoute({ prefix: "/moved/" })]), 10, undefined, {}, applyMs);
        await entry.start();
        entry.setUpstreams();
    });

    afterEach(() => entry.stop());

    it("is served by the configuration that is confirmed", async () => {
        entry.confirmer.confirm = async () => {
            entry.replaceConfiguration(TestEntry.configuration([testRoute({ prefix: "/other/" })]));
            return true;
        };
        expect((await entry.call("q1", fresh)).status).toEqual(404);
    });

    // Guards against a missing answer that is taken as permission.
    it("is refused as not executed while the control group has not told", async () => {
        entry.confirmer.confirm = async () => false;
        const response = await entry.call("q1", fresh);
        expect([response.status, response.body]).toEqual([503, "{\"error\":\"configuration-unconfirmed\"}"]);
        expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    });

    it("is served at an entry that is cut off", async () => {
        entry.confirmer.confirm = async () => false;
        entry.confirmer.isCutOff = true;
        const response = await entry.call("q1", fresh);
        expect(response.body).toEqual("{\"error\":\"no-upstream\"}");
    });

    // Guards against a decision that was made before a wait in which a newer configuration came by another way.
    it("is decided anew after the wait, also without a confirmation", async () => {
        entry.confirmer.confirm = async () => {
            entry.replaceConfiguration(TestEntry.configuration([testRoute({ prefix: "/other/" })]));
            entry.confirmer.isCutOff = true;
            return false;
        };
        const response = await entry.call("q1", fresh);
        expect(response.body).toEqual("{\"error\":\"configuration-unconfirmed\"}");
    });

    it("waits no longer than a part of its client's time", async () => {
        let waitMs = 0;
        entry.confirmer.confirm = async timeoutMs => {
            waitMs = timeoutMs;
            return true;
        };
        await entry.call("q1", { ...fresh, headers: { "X-Deadline": "100" } });
        expect(waitMs).toEqual(30);
    });
});

describe("ConfirmationPolicy", () => {
    const applyMs = 2000;
    const view = { confirmedAgeMs: 0 };
    const confirmer = { confirm: async (_timeoutMs: number) => false, isCutOff: false };
    const policy = new ConfirmationPolicy(view, confirmer, applyMs);

    beforeEach(() => {
        confirmer.confirm = async () => false;
        confirmer.isCutOff = false;
    });

    it("suspects a configuration before a change can be overdue", () => {
        view.confirmedAgeMs = 1600;
        expect(policy.mayBeOutdated).toEqual(false);
        view.confirmedAgeMs = 1800;
        expect(policy.mayBeOutdated).toEqual(true);
    });

    it("asks for every request, also right after a question without an answer", async () => {
        let asked = 0;
        confirmer.confirm = async () => {
            asked += 1;
            return false;
        };
        expect([await policy.confirm(), await policy.confirm()]).toEqual(["unconfirmed", "unconfirmed"]);
        expect(asked).toEqual(2);
    });

    it("tells an entry that is cut off from one that has no answer yet", async () => {
        confirmer.isCutOff = true;
        expect(await policy.confirm()).toEqual("cut-off");
        confirmer.confirm = async () => true;
        expect(await policy.confirm()).toEqual("confirmed");
    });
});
