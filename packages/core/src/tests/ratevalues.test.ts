import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ratePerSecond } from "../index.js";

describe("ratePerSecond", () => {
    it("reads decimal numbers, the lowest of several", () => {
        expect([["1.1"], [" 3 "], ["0"], ["0.25"], ["5", "2"], ["x", "4"]].map(ratePerSecond)).toEqual([
            1.1,
            3,
            0,
            0.25,
            2,
            4,
        ]);
    });

    it("reads nothing else, and no more than a million", () => {
        const unreadable = ["", "-1", "NaN", "Infinity", "1e3", "0x10", "1.", ".5", "1,5", "9".repeat(400)];
        expect(unreadable.map(value => ratePerSecond([value]))).toEqual(unreadable.map(() => undefined));
        expect([ratePerSecond([]), ratePerSecond(["999999999"])]).toEqual([undefined, 1_000_000]);
    });

    it("gives a rate that can be kept, whatever it reads", () => {
        fc.assert(
            fc.property(fc.array(fc.oneof(fc.string(), fc.double().map(String)), { maxLength: 3 }), values => {
                const rate = ratePerSecond(values);
                expect(rate === undefined || (rate >= 0 && rate <= 1_000_000)).toEqual(true);
            }),
            { numRuns: 1000, seed: 45 },
        );
    });
});
