import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { LocalRecords } from "../localrecords.js";
import { identityText } from "../streamkeys.js";
import { streamOf } from "./testmembers.js";

const maxRecords = 100_000;
const maxBytes = 32 * 1024 * 1024;

describe("LocalRecords", () => {
    it("stays within its bounds, and counts and reports what it evicts", () => {
        const metrics = new Metrics();
        const evicted: string[] = [];
        const records = new LocalRecords(record => evicted.push(record.text), silentLog, metrics);
        for (let i = 0; i < maxRecords + 500; i++) {
            records.put(streamOf(`s${i}`, { url: "/" }), "v1");
        }
        expect(records.bytes).toBeLessThanOrEqual(maxBytes);
        expect(records.size).toBeLessThanOrEqual(maxRecords);
        expect(evicted.length).toEqual(maxRecords + 500 - records.size);
        expect(evicted[0]).toEqual(identityText(streamOf("s0", { url: "/" })));
        expect(metrics.toText()).toInclude(`stream_origins_evicted_total{at="entry"} ${evicted.length}`);
    });

    it("bounds the bytes of long identities", () => {
        const records = new LocalRecords(() => undefined, silentLog, new Metrics());
        for (let i = 0; i < 6000; i++) {
            records.put(streamOf(`s${i}`, { url: "/".repeat(8000) }), "v1");
            expect(records.bytes).toBeLessThanOrEqual(maxBytes);
        }
        expect(records.size).toBeGreaterThan(3000);
    });
});
