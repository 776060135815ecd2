import { expect } from "earl";
import { describe, it } from "node:test";
import { steadyNow } from "../index.js";

describe("steadyNow", () => {
    it("is unaffected by the system time", () => {
        const before = steadyNow();
        const timeOfDay = performance.timeOrigin + performance.now();
        const after = steadyNow();
        expect(after).toBeGreaterThanOrEqual(before);
        expect(Math.abs(after - timeOfDay)).toBeGreaterThan(60_000);
    });

    it("returns integers, as RPC timeouts require", () => {
        expect(Number.isInteger(steadyNow())).toEqual(true);
    });

    it("follows a mocked Date", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 5000 });
        const before = steadyNow();
        t.mock.timers.tick(250);
        expect(steadyNow() - before).toEqual(250);
    });
});
