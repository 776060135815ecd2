import { expect } from "earl";
import { describe, it } from "node:test";
import { parseLog } from "../logs.js";
import { formatSummary, summarize } from "../summaries.js";

function line(time: number, event: string, values: object): string {
    return JSON.stringify({ level: 30, time, process: "entry", host: "f1", event, ...values });
}

const events = parseLog(
    [
        line(1000, "process.started", {}),
        line(1500, "request.own-answer", { status: 503, reason: "lacking", model: "m" }),
        line(3500, "request.own-answer", { status: 503, reason: "lacking", model: "m", adapter: "a" }),
        line(3600, "request.own-answer", { status: 503, reason: "overloaded", model: "n" }),
        line(3700, "request.attempt", { upstream: "u1", outcome: "answered", firstMs: 40, longestPauseMs: 90 }),
        line(3800, "request.attempt", { upstream: "u2", outcome: "answered", firstMs: 700 }),
        line(3900, "request.attempt", { upstream: "u2", outcome: "unknown" }),
    ].join("\n"),
);

describe("summarize", () => {
    const summary = summarize(events, 2);

    it("counts entry-generated responses by reason, most frequent first", () => {
        expect(summary.reasons).toEqual([
            { reason: "lacking", status: 503, count: 2, adapters: 1 },
            { reason: "overloaded", status: 503, count: 1, adapters: 0 },
        ]);
    });

    it("counts entry-generated responses by time and by model", () => {
        expect(summary.spans).toEqual([
            { second: 0, reasons: { lacking: 1 } },
            { second: 2, reasons: { lacking: 1, overloaded: 1 } },
        ]);
        expect(summary.models[0]).toEqual({ model: "m", reasons: { lacking: 2 } });
    });

    it("lists upstreams with their attempts' outcomes, slowest first", () => {
        const [slow, quick] = summary.upstreams;
        expect([slow.upstream, slow.outcomes]).toEqual(["u2", { answered: 1, unknown: 1 }]);
        expect([quick.upstream, Math.round(quick.pauseP95)]).toEqual(["u1", 90]);
    });

    it("formats empty tables for logs without requests", () => {
        expect(formatSummary(summarize([], 2))).toInclude("REASON");
    });
});
