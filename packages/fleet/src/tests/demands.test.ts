import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { DemandRequestSchema, DemandTracker, type ItemDemandSchema } from "../index.js";

function report(items: MessageInitShape<typeof ItemDemandSchema>[], entry = "e1") {
    return create(DemandRequestSchema, { entry, intervalMs: 500, items });
}

function startTracker(t: TestContext): DemandTracker {
    t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
    return new DemandTracker(silentLog);
}

describe("DemandTracker", () => {
    it("follows demand within a few seconds", t => {
        const tracker = startTracker(t);
        for (let halfSecond = 0; halfSecond < 20; halfSecond++) {
            t.mock.timers.tick(500);
            tracker.take(report([{ service: "s", model: "m", arrived: 5, work: 5000n }]));
        }
        const [need] = tracker.needs();
        expect(need.rate).toBeGreaterThan(8);
        expect(Math.round(need.work / need.rate)).toEqual(1000);
    });

    it("lowers the rate after silence sooner than the average decays", t => {
        const tracker = startTracker(t);
        tracker.take(report([{ service: "s", model: "m", arrived: 20, work: 20_000n }]));
        t.mock.timers.tick(2500);
        expect(tracker.needs()[0].rate).toBeLessThanOrEqual(0.5);
        expect(tracker.needs()[0].work).toBeLessThanOrEqual(500);
    });

    it("does not treat a single request as rising demand", t => {
        const tracker = startTracker(t);
        t.mock.timers.tick(10_000);
        tracker.take(report([{ service: "s", model: "m", arrived: 1, work: 1000n }]));
        expect(tracker.needs()[0].rate).toBeLessThan(0.3);
    });

    it("keeps the throughput of each model separately", () => {
        const tracker = new DemandTracker(silentLog);
        tracker.take(create(DemandRequestSchema, {
            paces: [{ service: "s", model: "small", tokensPerSecond: 40_000 }, {
                service: "s",
                model: "large",
                tokensPerSecond: 10_000,
            }],
        }));
        expect([
            tracker.throughputOf("s", "small"),
            tracker.throughputOf("s", "large"),
            tracker.throughputOf("s", "other"),
        ])
            .toEqual([40_000, 10_000, undefined]);
    });
});
