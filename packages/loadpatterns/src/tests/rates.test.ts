import { expect } from "earl";
import { describe, it } from "node:test";
import { ratePolicies, rateScenarios, runRateScenario } from "../index.js";

describe("policies to enforce an upstream's rate limit", () => {
    const scenarios = rateScenarios.filter(({ entries }) => entries <= 31);

    // Guards against entries that together exceed the limit, also while the leader is lost or entries are disconnected.
    it("stay within the limit if the leader grants permits", () => {
        const violations = scenarios.filter(scenario =>
            runRateScenario(scenario, ratePolicies["permits of the leader"], 1).worst > 1
        );
        expect(violations).toEqual([]);
    });

    it("exceed the limit if each of many entries saves up one request", () => {
        const scenario = {
            entries: 31,
            perSecond: 0.3,
            demandFactor: 20,
            isSingleEntry: false,
            fault: "calm",
        } as const;
        expect(runRateScenario(scenario, ratePolicies["even shares"], 1).worst).toBeGreaterThan(1);
    });
});
