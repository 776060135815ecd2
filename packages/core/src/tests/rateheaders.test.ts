import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ratePerSecond } from "../index.js";

describe("ratePerSecond", () => {
    it("parses decimal numbers and returns the lowest", () => {
        expect([["1.1"], [" 3 "], ["0"], ["0.25"], ["5", "2"], ["x", "4"]].map(ratePerSecond)).toEqual([
            1.1,
            3,
            0,
            0.25,
            2,
            4,
        ]);
    });

    it("ignores invalid values and caps rates at a million", () => {
        const unreadable = ["", "-1", "NaN", "Infinity", "1e3", "0x10", "1.", ".5", "1,5", "9".repeat(400)];
        expect(unreadable.map(value => ratePerSecond([value]))).toEqual(unreadable.map(() => undefined));
        expect([ratePerSecond([]), ratePerSecond(["999999999"])]).toEqual([undefined, 1_000_000]);
    });

    it("returns a rate between 0 and a million, or undefined, for any input", () => {
        fc.assert(
            fc.property(fc.array(fc.oneof(fc.string(), fc.double().map(String)), { maxLength: 3 }), values => {
                const rate = ratePerSecond(values);
                expect(rate === undefined || (rate >= 0 && rate <= 1_000_000)).toEqual(true);
            }),
            { numRuns: 1000, seed: 45 },
        );
    });
});
