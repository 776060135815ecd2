import { Metrics, silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import {
    RetryBudgetTable,
    retrySlotService,
    SlotCoordinator,
    type SlotGrants,
    SlotRenewal,
    type SlotReports,
} from "../index.js";

const bound = { ratio: 0.2, slack: 20, windowMs: 10_000 };

/** Advances the clock in steps, and lets the tasks that are due run. */
async function advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 25) {
        mock.timers.tick(25);
        for (let turn = 0; turn < 10; turn++) {
            await Promise.resolve();
        }
    }
}

describe("the renewal of an entry's slots", () => {
    let abort: AbortController;
    let reports: SlotReports[];
    let isLeading: boolean;
    let warnings: string[];
    let table: RetryBudgetTable;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        abort = new AbortController();
        reports = [];
        warnings = [];
        isLeading = true;
        const coordinator = new SlotCoordinator({
            term: 1,
            isFirst: true,
            electedAt: 0,
            maxOverlapMs: 0,
            bound: () => bound,
            log: silentLog,
        });
        const service = retrySlotService({
            processReports: (report): SlotGrants | undefined => {
                reports.push(report);
                return isLeading ? coordinator.processReports(report) : undefined;
            },
        });
        const client = { renewSlots: async (req: unknown) => service.renewSlots(req as never, {} as never) };
        const renewal = new SlotRenewal({
            entry: "e",
            clients: { client: () => client } as unknown as PeerClients,
            leaderUrl: () => "http://leader",
            log: { info: () => undefined, warn: event => warnings.push(event) },
        });
        table = new RetryBudgetTable({
            bound: () => bound,
            services: () => ["s"],
            requestReport: () => renewal.reportSoon(),
            log: silentLog,
            metrics: new Metrics(),
        });
        void renewal.run(table, abort.signal);
    });

    afterEach(() => {
        abort.abort();
        mock.timers.reset();
    });

    it("keeps the lease valid while the leader answers", async () => {
        await advance(20_000);
        expect(table.of("s").reserve()?.basis).toEqual("slot");
        expect(reports.map(({ sequence }) => sequence)).toEqual(reports.map((_, index) => index + 1));
        expect(new Set(reports.map(({ term }) => term))).toEqual(new Set([0, 1]));
        expect(warnings).toEqual([]);
    });

    it("ends with the lease if the host may not lease slots any more, and begins again", async () => {
        await advance(3000);
        isLeading = false;
        await advance(8000);
        expect(table.of("s").reserve()).toEqual(undefined);
        expect(new Set(warnings)).toEqual(new Set(["retries.unrenewed"]));
        isLeading = true;
        await advance(3000);
        expect(table.of("s").reserve()?.basis).toEqual("slot");
    });

    // An entry that starts together with its leader must not be without slots until the next renewal.
    it("asks again soon, and gets slots, if the leader wasn't ready for its first report", async () => {
        isLeading = false;
        await advance(600);
        expect(reports.length).toEqual(1);
        isLeading = true;
        await advance(1100);
        expect(table.of("s").reserve()?.basis).toEqual("slot");
    });
});
