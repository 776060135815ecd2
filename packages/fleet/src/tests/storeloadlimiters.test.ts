import { expect } from "earl";
import { describe, it } from "node:test";
import { StoreLoadLimiter } from "../index.js";

describe("StoreLoadLimiter", () => {
    const loadsPerSecond = 8;

    it("lets a new leader start the loads that no engine can still run for an earlier one", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        const limiter = new StoreLoadLimiter(5000);
        expect(limiter.availableStarts(loadsPerSecond, StoreLoadLimiter.maxInheritedStarts(2, 7800))).toEqual(38);
        limiter.recordStart();
        expect(limiter.availableStarts(loadsPerSecond, StoreLoadLimiter.maxInheritedStarts(2, 7800))).toEqual(37);
    });

    it("allows only the takeover starts while an earlier leader's loads are unknown", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        const limiter = new StoreLoadLimiter(5000);
        expect(limiter.availableStarts(loadsPerSecond, StoreLoadLimiter.maxInheritedStarts(40, 7800))).toEqual(3);
        expect(limiter.availableStarts(loadsPerSecond, StoreLoadLimiter.maxInheritedStarts(0, 4000))).toEqual(3);
        t.mock.timers.tick(5000);
        expect(limiter.availableStarts(loadsPerSecond, StoreLoadLimiter.maxInheritedStarts(40, 7800))).toEqual(40);
    });
});
