import { expect } from "earl";
import { describe, it } from "node:test";
import { risingModelsPattern, runPattern } from "../index.js";

describe("models that become popular in a large fleet", () => {
    it("are served within the objective except until their replicas are loaded", async () => {
        const { outcomes, storeLoads } = await runPattern(risingModelsPattern, 1);
        // Guards against loads that cost more than they bring, and so delay other requests.
        expect(outcomes.withinObjectiveRatio).toBeGreaterThan(0.945);
        expect(storeLoads).toBeLessThan(130);
    });
});
