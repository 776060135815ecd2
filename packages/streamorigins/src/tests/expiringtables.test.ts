import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ExpiringTable } from "../expiringtables.js";

const lifetimeMs = 60;

describe("ExpiringTable", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    const step = fc.record({
        key: fc.integer({ min: 0, max: 12 }).map(String),
        bytes: fc.integer({ min: 1, max: 20 }),
        // A long pause empties the table.
        pauseMs: fc.oneof({ weight: 9, arbitrary: fc.integer({ min: 0, max: 20 }) }, fc.constant(2 * lifetimeMs)),
    });

    describe("after any series of puts and pauses", () => {
        it("holds what a plain list of the newest entries within the bounds holds", () => {
            fc.assert(fc.property(fc.array(step, { maxLength: 80 }), steps => {
                const evicted: string[] = [];
                const limits = { lifetimeMs, maxEntries: 6, maxBytes: 70 };
                const table = new ExpiringTable<string>(limits, value => evicted.push(value));
                let model: { key: string; value: string; bytes: number; expiresAt: number; }[] = [];
                const modelEvicted: string[] = [];
                steps.forEach(({ key, bytes, pauseMs }, index) => {
                    mock.timers.tick(pauseMs);
                    table.removeExpired();
                    const value = `${key}/${index}`;
                    table.put(key, value, bytes);
                    model = model.filter(entry => entry.key !== key && entry.expiresAt > Date.now());
                    model.push({ key, value, bytes, expiresAt: Date.now() + lifetimeMs });
                    const sum = () => model.reduce((total, entry) => total + entry.bytes, 0);
                    while (model.length > limits.maxEntries || sum() > limits.maxBytes) {
                        modelEvicted.push(model.shift()!.value);
                    }
                    expect(table.values()).toEqual(model.map(entry => entry.value));
                    expect([table.size, table.bytes]).toEqual([model.length, sum()]);
                    model.forEach(entry => expect(table.get(entry.key)).toEqual(entry.value));
                });
                expect(evicted).toEqual(modelEvicted);
            }));
        });
    });

    it("returns an entry until its lifetime ends, counted from its last put", () => {
        const table = new ExpiringTable<string>({ lifetimeMs, maxEntries: 6, maxBytes: 70 }, () => undefined);
        table.put("k", "v", 1);
        mock.timers.tick(lifetimeMs - 1);
        table.put("k", "v", 1);
        mock.timers.tick(lifetimeMs - 1);
        expect(table.get("k")).toEqual("v");
        mock.timers.tick(1);
        expect(table.get("k")).toEqual(undefined);
        table.removeExpired();
        expect([table.size, table.bytes]).toEqual([0, 0]);
    });
});
