import { expect } from "earl";
import { describe, it } from "node:test";
import { mean } from "simple-statistics";
import { failingEnginesPattern, type Mechanism, runPattern } from "../index.js";

describe("failing engines", () => {
    const seeds = Array.from({ length: 12 }, (_, index) => index + 1);

    async function meanUnservedRatio(without: ReadonlySet<Mechanism>): Promise<number> {
        const ratios: number[] = [];
        for (const seed of seeds) {
            ratios.push((await runPattern(failingEnginesPattern, seed, without)).outcomes.unservedRatio);
        }
        return mean(ratios);
    }

    it("get few requests once the observations of all entries are combined", async () => {
        // Without detection, 2 of 8 engines that fail 40% of their requests for 8 of 9 s cause a loss of 8.9%. With it,
        // requests still fail until detection, after each hold, and for models without another replica.
        expect(await meanUnservedRatio(new Set())).toBeLessThan(0.055);
        expect(await meanUnservedRatio(new Set(["health"]))).toBeGreaterThan(0.07);
    });
});
