import { expect } from "earl";
import { describe, it } from "node:test";
import { playRate, ratePolicies, rateScenarios } from "../index.js";

describe("ways to hold the rate that an upstream names", () => {
    const scenarios = rateScenarios.filter(({ entries }) => entries <= 31);

    // Guards against a sum over entries above the rate, whoever is lost or cut off.
    it("hold it where the leader grants permits", () => {
        const over = scenarios.filter(scenario =>
            playRate(scenario, ratePolicies["permits of the leader"], 1).worst > 1
        );
        expect(over).toEqual([]);
    });

    it("don't where each of many entries saves up one request", () => {
        const small = { entries: 31, perSecond: 0.3, factor: 20, onOne: false, trouble: "calm" } as const;
        expect(playRate(small, ratePolicies["even shares"], 1).worst).toBeGreaterThan(1);
    });
});
