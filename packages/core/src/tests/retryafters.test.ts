import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { retryAfterMs } from "../index.js";

describe("the delay of a Retry-After header", () => {
    const sent = "Thu, 03 Dec 2026 04:00:00 GMT";

    it("is parsed from seconds, whole or fractional", () => {
        expect(["3", " 3 ", "0.25", "120"].map(value => retryAfterMs(value))).toEqual([3000, 3000, 250, 120_000]);
    });

    it("is measured from the response's Date header to the given date", () => {
        expect(retryAfterMs("Thu, 03 Dec 2026 04:00:07 GMT", sent)).toEqual(7000);
        expect(retryAfterMs("Thu, 03 Dec 2026 03:59:07 GMT", sent)).toEqual(undefined);
    });

    it("is measured from the host's time if the Date header is missing or invalid", t => {
        t.mock.timers.enable({ apis: ["Date"], now: Date.parse(sent) });
        expect(retryAfterMs("Thu, 03 Dec 2026 04:00:02 GMT")).toEqual(2000);
        expect(retryAfterMs("Thu, 03 Dec 2026 04:00:02 GMT", "yesterday")).toEqual(2000);
    });

    it("is undefined for a missing, zero, negative or invalid value", () => {
        const values = [undefined, "", "0", "0.0", "-1", "soon", "1e3", "Infinity", "NaN", "0x10", "3 s"];
        expect(values.map(value => retryAfterMs(value))).toEqual(values.map(() => undefined));
    });

    it("is a positive finite number or undefined for any input", () => {
        fc.assert(
            fc.property(fc.string(), fc.option(fc.string(), { nil: undefined }), (value, date) => {
                const ms = retryAfterMs(value, date);
                return ms === undefined || (ms > 0 && Number.isFinite(ms));
            }),
            { numRuns: 2000, seed: 37 },
        );
    });
});
