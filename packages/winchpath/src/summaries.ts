/** Aggregates request outcomes from logs by reason, time, model and upstream. */
import { Histogram } from "@winchpath/core";
import { type LoggedEvent } from "./logs.js";
import { formatTable } from "./tables.js";

/** Responses that entries generated themselves, by reason. */
export interface ReasonCount {
    readonly reason: string;
    readonly status: number;
    readonly count: number;
    /** How many of them requested an adapter. */
    readonly adapters: number;
}

/** Responses that entries generated themselves within one time span. */
export interface SpanCounts {
    /** Start of the span, in seconds since the first event. */
    readonly second: number;
    readonly reasons: Readonly<Record<string, number>>;
}

export interface ModelCounts {
    readonly model: string;
    readonly reasons: Readonly<Record<string, number>>;
}

/** Attempts at one upstream. Times are in milliseconds. */
export interface UpstreamCounts {
    readonly upstream: string;
    readonly outcomes: Readonly<Record<string, number>>;
    /** 95th percentile of the time from a request's arrival to the start of its response. */
    readonly firstP95: number;
    /** 95th percentile of the longest pause within a streamed response. */
    readonly pauseP95: number;
}

export interface LogSummary {
    readonly reasons: readonly ReasonCount[];
    readonly spans: readonly SpanCounts[];
    readonly models: readonly ModelCounts[];
    readonly upstreams: readonly UpstreamCounts[];
}

const maxModels = 15;
const tailQuantile = 0.95;

/** Aggregates events; responses are counted in time spans of `spanSeconds`. */
export function summarize(events: readonly LoggedEvent[], spanSeconds: number): LogSummary {
    const entryResponses = events.filter(({ event }) => event === "request.own-answer");
    const attempts = events.filter(({ event }) => event === "request.attempt");
    const firstTime = events.reduce((first, { time }) => Math.min(first, time), Number.POSITIVE_INFINITY);
    const spanStart = ({ time }: LoggedEvent) => Math.floor((time - firstTime) / 1000 / spanSeconds) * spanSeconds;
    return {
        reasons: [...groupBy(entryResponses, fieldReader("reason"))].map(([reason, group]) =>
            reasonCount(reason, group)
        )
            .sort((a, b) => b.count - a.count),
        spans: [...groupBy(entryResponses, spanStart)].map(([second, group]) => ({
            second,
            reasons: countBy(group, "reason"),
        }))
            .sort((a, b) => a.second - b.second),
        models: [...groupBy(entryResponses.filter(({ values }) => values.model !== undefined), fieldReader("model"))]
            .sort(([, a], [, b]) => b.length - a.length).slice(0, maxModels)
            .map(([model, group]) => ({ model, reasons: countBy(group, "reason") })),
        upstreams: [...groupBy(attempts, fieldReader("upstream"))].map(([name, group]) => upstreamCounts(name, group))
            .sort((a, b) => b.firstP95 - a.firstP95),
    };
}

export function formatSummary(summary: LogSummary): string {
    return [
        formatTable(
            ["REASON", "STATUS", "ANSWERS", "FOR ADAPTERS"],
            summary.reasons.map(({ reason, status, count, adapters }) => [reason, status, count, adapters]),
        ),
        formatTable(["SECOND", "ANSWERS"], summary.spans.map(({ second, reasons }) => [second, formatCounts(reasons)])),
        formatTable(["MODEL", "ANSWERS"], summary.models.map(({ model, reasons }) => [model, formatCounts(reasons)])),
        formatTable(
            ["UPSTREAM", "FIRST P95", "PAUSE P95", "TRIES"],
            summary.upstreams.map((
                { upstream, firstP95, pauseP95, outcomes },
            ) => [upstream, Math.round(firstP95), Math.round(pauseP95), formatCounts(outcomes)]),
        ),
        "",
    ].join("\n\n");
}

function reasonCount(reason: string, group: readonly LoggedEvent[]): ReasonCount {
    return {
        reason,
        status: Number(group[0].values.status),
        count: group.length,
        adapters: group.filter(({ values }) => values.adapter !== undefined).length,
    };
}

function upstreamCounts(upstream: string, group: readonly LoggedEvent[]): UpstreamCounts {
    return {
        upstream,
        outcomes: countBy(group, "outcome"),
        firstP95: tailOf(group, "firstMs"),
        pauseP95: tailOf(group, "longestPauseMs"),
    };
}

/** The tail quantile of a value; 0 if no event has it. */
function tailOf(group: readonly LoggedEvent[], name: string): number {
    const histogram = new Histogram();
    group.filter(({ values }) => values[name] !== undefined).forEach(({ values }) =>
        histogram.record(Number(values[name]))
    );
    return histogram.count === 0 ? 0 : histogram.quantile(tailQuantile);
}

function countBy(group: readonly LoggedEvent[], name: string): Record<string, number> {
    return Object.fromEntries(
        [...groupBy(group, fieldReader(name))].map(([value, members]) => [value, members.length]),
    );
}

function groupBy<K>(events: readonly LoggedEvent[], keyOf: (event: LoggedEvent) => K): Map<K, LoggedEvent[]> {
    const grouped = new Map<K, LoggedEvent[]>();
    for (const event of events) {
        const key = keyOf(event);
        const group = grouped.get(key);
        if (group === undefined) {
            grouped.set(key, [event]);
        }
        else {
            group.push(event);
        }
    }
    return grouped;
}

function fieldReader(name: string): (event: LoggedEvent) => string {
    return ({ values }) => String(values[name]);
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
    return Object.entries(counts).sort(([, a], [, b]) => b - a).map(([name, count]) => `${name} ${count}`).join(", ");
}
