import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { comeBackMs, OriginRecordStore, resendIntervalMs } from "../index.js";
import { identityText, streamKey } from "../streamkeys.js";
import { streamOf } from "./testmembers.js";

describe("OriginRecordStore", () => {
    const keyOf = (id: string) => streamKey(identityText(streamOf(id)));
    let metrics: Metrics;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        metrics = new Metrics();
    });
    afterEach(() => mock.timers.reset());

    it("stays within its bounds, counts what it evicts, and keeps the newest", () => {
        const ids = fc.array(fc.integer({ min: 0, max: 60 }), { maxLength: 120 });
        fc.assert(fc.property(ids, fc.integer({ min: 200, max: 4000 }), (recorded, maxBytes) => {
            const store = new OriginRecordStore(silentLog, new Metrics(), { maxRecords: 20, maxBytes });
            for (const id of recorded) {
                store.record({ key: keyOf(`${id}`), softwareVersion: "v1" });
                expect(store.size).toBeLessThanOrEqual(20);
                expect(store.bytes).toBeLessThanOrEqual(maxBytes);
                expect(store.find(keyOf(`${id}`))).toEqual("v1");
            }
        }));
        const store = new OriginRecordStore(silentLog, metrics, { maxRecords: 2, maxBytes: 10_000 });
        ["a", "b", "c"].forEach(id => store.record({ key: keyOf(id), softwareVersion: "v1" }));
        expect(store.find(keyOf("a"))).toEqual(undefined);
        expect(metrics.toText()).toInclude("stream_origins_evicted_total{at=\"member\"} 1");
    });

    it("forgets a record after its lifetime, which each record of the stream begins anew", () => {
        const store = new OriginRecordStore(silentLog, metrics);
        const lifetimeMs = comeBackMs + resendIntervalMs;
        store.record({ key: keyOf("a"), softwareVersion: "v1" });
        mock.timers.tick(lifetimeMs - 1);
        store.record({ key: keyOf("a"), softwareVersion: "v1" });
        mock.timers.tick(lifetimeMs - 1);
        expect(store.find(keyOf("a"))).toEqual("v1");
        mock.timers.tick(1);
        expect(store.find(keyOf("a"))).toEqual(undefined);
    });

    it("keeps the first of two versions, and counts the second", () => {
        const store = new OriginRecordStore(silentLog, metrics);
        store.record({ key: keyOf("a"), softwareVersion: "v1" });
        store.record({ key: keyOf("a"), softwareVersion: "v2" });
        expect(store.find(keyOf("a"))).toEqual("v1");
        expect(metrics.toText()).toInclude("stream_origins_conflicting_total{at=\"member\"} 1");
    });

    it("keeps an empty version apart from no record", () => {
        const store = new OriginRecordStore(silentLog, metrics);
        store.record({ key: keyOf("a"), softwareVersion: "" });
        expect(store.find(keyOf("a"))).toEqual("");
        expect(store.find(keyOf("b"))).toEqual(undefined);
    });
});
