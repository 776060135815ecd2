import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { RetryBudget, RetryBudgetTable, transitMs } from "../index.js";

const windowMs = 10_000;

describe("the retry budget of an entry", () => {
    let ratio: number;
    let budget: RetryBudget;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        ratio = 0.2;
        budget = new RetryBudget(() => ({ ratio, slack: 20, windowMs }));
    });
    afterEach(() => mock.timers.reset());

    /** Receives requests for this time. */
    function receive(perSecond: number, ms: number): void {
        for (let passed = 0; passed < ms; passed += 1000 / perSecond) {
            budget.recordRequest();
            mock.timers.tick(1000 / perSecond);
        }
    }

    /** Sends as many retries at once as allowed. */
    function sendAll(): number {
        for (let count = 0;; count++) {
            const retry = budget.reserve();
            if (retry === undefined) {
                return count;
            }
            budget.send(retry);
        }
    }

    describe("without slots", () => {
        it("allows a ratio of the requests of the window before", () => {
            expect(sendAll()).toEqual(0);
            receive(20, 2 * windowMs);
            const sent = sendAll();
            expect(sent).toBeGreaterThan(0.7 * ratio * 200);
            expect(sent).toBeLessThanOrEqual(ratio * 200);
        });

        it("allows nearly the whole ratio to retries that come evenly", () => {
            receive(20, 2 * windowMs);
            let sent = 0;
            for (let passed = 0; passed < windowMs; passed += 100) {
                receive(20, 100);
                sent += sendAll();
            }
            expect(sent).toBeGreaterThan(0.9 * ratio * 200);
            expect(sent).toBeLessThanOrEqual(ratio * 200);
        });

        // Guards against a retry that arrives in a window whose requests don't allow it.
        it("doesn't send a retry whose requests lie too far back once it has waited", () => {
            receive(20, 2 * windowMs);
            const retry = budget.reserve()!;
            expect([retry.basis, budget.maySend(retry)]).toEqual(["requests", true]);
            mock.timers.tick(windowMs);
            expect(budget.maySend(retry)).toEqual(false);
        });

        it("follows a change of the settings", () => {
            receive(20, 2 * windowMs);
            ratio = 0;
            expect(budget.reserve()).toEqual(undefined);
        });
    });

    describe("with slots", () => {
        it("allows one retry for each in any window", () => {
            budget.applyGrant(3, Date.now() + 60_000);
            expect(sendAll()).toEqual(3);
            mock.timers.tick(windowMs + transitMs - 1);
            expect(sendAll()).toEqual(0);
            mock.timers.tick(1);
            expect(sendAll()).toEqual(3);
        });

        it("allows none once the lease has expired", () => {
            budget.applyGrant(3, Date.now() + 5000);
            mock.timers.tick(5000);
            expect(budget.reserve()).toEqual(undefined);
            expect(budget.createReport("s")).toEqual({ service: "s", held: 0, used: 0, wanted: 1 });
        });

        // Guards against a retry that is counted when it is decided, and arrives in a later window.
        it("counts a retry from its decision until a window after it was sent", () => {
            budget.applyGrant(1, Date.now() + 60_000);
            const retry = budget.reserve()!;
            mock.timers.tick(windowMs);
            expect(budget.reserve()).toEqual(undefined);
            expect(budget.send(retry)).toEqual({ basis: "slot", waitedMs: windowMs });
            mock.timers.tick(windowMs);
            expect(budget.reserve()).toEqual(undefined);
        });

        // Guards against a retry that is sent by a right which another entry has by now.
        it("doesn't send a retry whose lease has expired while it waited", () => {
            budget.applyGrant(1, Date.now() + 5000);
            const retry = budget.reserve()!;
            expect(budget.maySend(retry)).toEqual(true);
            mock.timers.tick(5000);
            expect(budget.maySend(retry)).toEqual(false);
        });

        it("returns the slot of a retry that wasn't sent", () => {
            budget.applyGrant(1, Date.now() + 60_000);
            const retry = budget.reserve()!;
            budget.release(retry);
            budget.release(retry);
            expect(budget.createReport("s")).toEqual({ service: "s", held: 1, used: 0, wanted: 0 });
            expect(sendAll()).toEqual(1);
        });

        it("keeps slots that are in use when it is granted fewer, and reports that soon", () => {
            budget.applyGrant(3, Date.now() + 60_000);
            budget.reserve();
            budget.reserve();
            budget.applyGrant(1, Date.now() + 60_000);
            expect(budget.hasNews).toEqual(true);
            expect(budget.createReport("s")).toEqual({ service: "s", held: 2, used: 2, wanted: 0 });
            expect(budget.hasNews).toEqual(false);
        });
    });
});

describe("the retry budgets of an entry", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    function createTable(requestReport: () => void = () => undefined): RetryBudgetTable {
        return new RetryBudgetTable({
            bound: () => ({ ratio: 0.2, slack: 20, windowMs }),
            services: () => ["s"],
            requestReport,
            log: silentLog,
            metrics: new Metrics(),
        });
    }

    const grant = (term: number, slots: number) => ({ term, lifeMs: 5000, services: [{ service: "s", slots }] });

    it("ask for slots before a retry needs one, and renew them", () => {
        const table = createTable();
        expect(table.hasReports).toEqual(true);
        expect(table.createReports()).toEqual([{ service: "s", held: 0, used: 0, wanted: 0 }]);
        expect(table.hasReports).toEqual(false);
        mock.timers.tick(2000);
        expect(table.hasReports).toEqual(true);
    });

    // Guards against an entry that has to deny the first retries after its start.
    it("ask at once when the services are known", () => {
        let reports = 0;
        const table = createTable(() => reports += 1);
        table.refresh();
        expect(reports).toEqual(1);
        table.createReports();
        table.refresh();
        expect(reports).toEqual(1);
    });

    it("expire by the time of the report, not by that of the answer", () => {
        const table = createTable();
        const askedAt = Date.now();
        mock.timers.tick(4999);
        table.applyGrants(grant(1, 2), askedAt);
        expect(table.of("s").reserve()).not.toEqual(undefined);
        mock.timers.tick(1);
        expect(table.of("s").reserve()).toEqual(undefined);
    });

    // Guards against an answer of a deposed leader that is applied after its successor's.
    it("ignore the grants of an earlier leader", () => {
        const table = createTable();
        table.applyGrants(grant(2, 1), Date.now());
        table.applyGrants(grant(1, 9), Date.now());
        expect([table.term, table.createReports()[0].held]).toEqual([2, 1]);
    });

    it("tell the leader soon that others can have slots", () => {
        let reports = 0;
        const table = createTable(() => reports += 1);
        table.applyGrants(grant(1, 5), Date.now());
        expect(reports).toEqual(0);
        table.applyGrants(grant(1, 2), Date.now());
        expect(reports).toEqual(1);
    });
});
