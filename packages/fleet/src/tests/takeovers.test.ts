import { silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { describe, it } from "node:test";
import { DemandMeter, type DemandRequest, DemandTracker, type FollowedLeader } from "../index.js";

const key = { service: "s", model: "m", adapter: "" };

describe("a new leader", () => {
    async function advanceTime(t: { mock: { timers: { tick(ms: number): void; }; }; }, ms: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 5) {
            t.mock.timers.tick(5);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    it("learns earlier demand from each entry's first report", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        let tracker = new DemandTracker(silentLog);
        let followed: FollowedLeader = { url: "http://a", epoch: "1" };
        const client = {
            reportDemand: async (req: DemandRequest) => {
                tracker.take({
                    ...req,
                    items: req.items.map(item => Object.assign({ earlier: 0, earlierWork: 0 }, item)),
                });
                return { allowances: [], permits: [] };
            },
        };
        const clients = { client: () => client, disconnect: () => undefined } as unknown as PeerClients;
        const meter = new DemandMeter(silentLog);
        const abort = new AbortController();
        void meter.run("e", clients, () => followed, abort.signal);
        for (let second = 0; second < 12; second++) {
            for (let number = 0; number < 20; number++) {
                meter.arrived(key, 2000);
                meter.started(key);
                meter.ended(key);
            }
            meter.recordThroughput("s", "m", 9000);
            await advanceTime(t, 1000);
        }
        const before = tracker.needs()[0];
        tracker = new DemandTracker(silentLog);
        followed = { url: "http://b", epoch: "2" };
        meter.arrived(key, 2000);
        await advanceTime(t, 1200);
        const [after] = tracker.needs();
        expect(tracker.hasEnoughReports).toEqual(true);
        expect(Math.abs(after.rate / before.rate - 0.8)).toBeLessThan(0.2);
        expect(tracker.throughputOf("s", "m")).toEqual(9000);
        abort.abort();
    });

    it("that receives no earlier demand waits for three reports", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        const tracker = new DemandTracker(silentLog);
        t.mock.timers.tick(1000);
        expect(tracker.hasEnoughReports).toEqual(false);
        t.mock.timers.tick(500);
        expect(tracker.hasEnoughReports).toEqual(true);
    });
});
