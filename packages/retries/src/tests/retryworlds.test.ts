import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { bound, RetryWorld } from "./retryworlds.js";

const worldCount = 100;
const worldMs = 90_000;

describe("retries of all entries to a service", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    // Guards against entries whose retries together exceed the bound because leaders, entries or messages fail.
    it(`stay within the bound in every window of ${worldCount} random worlds`, () => {
        const outcomes = Array.from({ length: worldCount }, (_, seed) => ({
            seed,
            ...new RetryWorld(seed, { hasRequests: seed % 2 === 0 }).run(worldMs),
        }));
        expect(outcomes.filter(({ excess }) => excess !== undefined)).toEqual([]);
        // Guards against a world in which hardly any retry is sent.
        const mean = outcomes.reduce((sum, { sent }) => sum + sent, 0) / worldCount;
        expect(mean).toBeGreaterThan(bound.slack * worldMs / bound.windowMs / 2);
    });

    // Guards against a bound that is kept by wasting most of it.
    it("use most of the bound while nothing but upstreams fails", () => {
        const { sent, excess } = new RetryWorld(1, { isCalm: true, entries: 4, hasRequests: false }).run(worldMs);
        expect(excess).toEqual(undefined);
        expect(sent).toBeGreaterThan(0.8 * bound.slack * worldMs / bound.windowMs);
    });

    // Guards against an entry that has only an equal part of the slots while the others need none.
    it("of one entry use most slots while the others need none", () => {
        const world = new RetryWorld(2, { isCalm: true, entries: 5, hasRequests: false });
        world.concentrate(0);
        const { sent } = world.run(worldMs);
        expect(sent).toBeGreaterThan(0.7 * bound.slack * worldMs / bound.windowMs);
    });
});
