import { create } from "@bufbuild/protobuf";
import { type HandlerContext } from "@connectrpc/connect";
import { AccountLimitCoordinator, AccountShares, learningMs, type WorkCounts } from "@winchpath/accounts";
import { silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import {
    createFleetService,
    decodeWork,
    DemandMeter,
    type DemandRequest,
    DemandRequestSchema,
    encodeWork,
    type FleetServiceDependencies,
} from "../index.js";
import { advanceTime } from "./mocktimes.js";

const accounts = ["noisy", "quiet"].map(name => ({ name, keyDigests: [] }));
const request = (account: string, work: number) => ({ service: "s", account, work, priority: 0 });

describe("work of accounts in demand reports", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout", "setInterval"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    function setUp() {
        const limits = new AccountLimitCoordinator({ windowMs: 0, overage: 0, slack: 0 }, silentLog);
        limits.setAccounts(accounts);
        const service = createFleetService({
            demand: { take: () => undefined },
            feed: { liveEntries: 1, recordLevels: () => undefined },
            isLeader: () => true,
            limits: () => limits,
            onDemandReport: () => undefined,
            rates: { processReports: () => [] },
            retries: { processReports: () => undefined },
        } as unknown as FleetServiceDependencies);
        const reports: DemandRequest[] = [];
        let isLost = false;
        const reportDemand = async (req: Partial<DemandRequest>) => {
            if (isLost) {
                throw new Error("lost");
            }
            const report = create(DemandRequestSchema, req as object);
            reports.push(report);
            return await service.reportDemand(report, {} as HandlerContext);
        };
        const clients = { client: () => ({ reportDemand }) } as unknown as PeerClients;
        const meter = new DemandMeter(silentLog);
        const shares = new AccountShares(() => meter.reportSoon(1));
        shares.setAccounts(accounts);
        meter.includeShares(shares);
        const abort = new AbortController();
        void meter.run("e", clients, () => ({ url: "l", epoch: "1" }), abort.signal);
        const lose = (lost: boolean) => isLost = lost;
        return { reports, shares, lose, stop: () => abort.abort() };
    }

    it("reach the leader, complete at first, and limit an account at the entry that reports it", async () => {
        const { reports, shares, stop } = setUp();
        for (let round = 0; round < 40; round++) {
            shares.asked(request("noisy", 40));
            shares.asked(request("quiet", 2));
            shares.served(request("noisy", 8), undefined);
            shares.served(request("quiet", 2), undefined);
            shares.refused(request("quiet", 2));
            await advanceTime(100);
        }
        stop();
        expect(reports.slice(0, 3).map(report => report.accountWorkComplete)).toEqual([true, false, false]);
        expect(reports.map(({ sequence }) => Number(sequence))).toEqual(reports.map((_, index) => index + 1));
        expect(shares.isOverShare("noisy", "s")).toEqual(true);
        expect(shares.isOverShare("quiet", "s")).toEqual(false);
        // 100 units per second are sustained, of which the other account asks for 20.
        const [{ workPerSecond }] = shares.statuses();
        expect(Math.abs(workPerSecond - 80)).toBeLessThan(8);
    });

    it("are reported again after a report was lost", async () => {
        const { reports, shares, lose, stop } = setUp();
        await advanceTime(learningMs);
        lose(true);
        shares.asked(request("noisy", 40));
        await advanceTime(600);
        lose(false);
        await advanceTime(600);
        stop();
        expect(reports.map(({ accountWork }) => accountWork.map(({ asked }) => Number(asked)))).toEqual([[40]]);
    });

    it("survive the conversion to messages", () => {
        const counts: WorkCounts = {
            service: "s",
            account: "a",
            served: 5,
            asked: 7,
            waiting: 2,
            backlog: 3,
            level: 4,
        };
        const { accountWork: [work] } = create(DemandRequestSchema, { accountWork: [encodeWork(counts)] });
        expect(decodeWork(work)).toEqual(counts);
    });
});
