import { expect } from "earl";
import { describe, it } from "node:test";
import { steadyNow } from "../index.js";

describe("steadyNow", () => {
    it("goes on when the time of day is set back", () => {
        const before = steadyNow();
        const timeOfDay = performance.timeOrigin + performance.now();
        const after = steadyNow();
        expect(after).toBeGreaterThanOrEqual(before);
        expect(Math.abs(after - timeOfDay)).toBeGreaterThan(60_000);
    });

    it("gives whole milliseconds, as timeouts of RPCs have to be", () => {
        expect(Number.isInteger(steadyNow())).toEqual(true);
    });

    it("follows the clock that a test has paused", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 5000 });
        const before = steadyNow();
        t.mock.timers.tick(250);
        expect(steadyNow() - before).toEqual(250);
    });
});
