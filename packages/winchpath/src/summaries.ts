/** What became of all requests in a set of logs: why they were refused, when, for which model, at which upstream. */
import { Histogram } from "@winchpath/core";
import { type LoggedEvent } from "./logs.js";
import { formatTable } from "./tables.js";

/** Final answers of the entries' own. */
export interface ReasonCount {
    readonly reason: string;
    readonly status: number;
    readonly count: number;
    /** Those of them that asked for an adapter. */
    readonly adapters: number;
}

/** Final answers of the entries' own in one span of time. */
export interface SpanCounts {
    /** Seconds since the first line of the logs. */
    readonly second: number;
    readonly reasons: Readonly<Record<string, number>>;
}

export interface ModelCounts {
    readonly model: string;
    readonly reasons: Readonly<Record<string, number>>;
}

/** Tries at one upstream. Times in milliseconds. */
export interface UpstreamCounts {
    readonly upstream: string;
    readonly outcomes: Readonly<Record<string, number>>;
    /** From the request's arrival to the beginning of its answer, 95 in 100. */
    readonly firstP95: number;
    /** Longest silence within a stream, 95 in 100. */
    readonly pauseP95: number;
}

export interface LogSummary {
    readonly reasons: readonly ReasonCount[];
    readonly spans: readonly SpanCounts[];
    readonly models: readonly ModelCounts[];
    readonly upstreams: readonly UpstreamCounts[];
}

/** Models that are shown at most, those with the most answers of our own first. */
const shownModels = 15;
const slowest = 0.95;

/** `spanSeconds`: length of the spans that answers are counted in. */
export function summarize(events: readonly LoggedEvent[], spanSeconds: number): LogSummary {
    const own = events.filter(({ event }) => event === "request.own-answer");
    const attempts = events.filter(({ event }) => event === "request.attempt");
    const firstTime = events.reduce((first, { time }) => Math.min(first, time), Number.POSITIVE_INFINITY);
    const spanOf = ({ time }: LoggedEvent) => Math.floor((time - firstTime) / 1000 / spanSeconds) * spanSeconds;
    return {
        reasons: [...groups(own, textOf("reason"))].map(([reason, group]) => reasonCount(reason, group))
            .sort((a, b) => b.count - a.count),
        spans: [...groups(own, spanOf)].map(([second, group]) => ({ second, reasons: countBy(group, "reason") }))
            .sort((a, b) => a.second - b.second),
        models: [...groups(own.filter(({ values }) => values.model !== undefined), textOf("model"))]
            .sort(([, a], [, b]) => b.length - a.length).slice(0, shownModels)
            .map(([model, group]) => ({ model, reasons: countBy(group, "reason") })),
        upstreams: [...groups(attempts, textOf("upstream"))].map(([name, group]) => upstreamCounts(name, group))
            .sort((a, b) => b.firstP95 - a.firstP95),
    };
}

export function formatSummary(summary: LogSummary): string {
    return [
        formatTable(
            ["REASON", "STATUS", "ANSWERS", "FOR ADAPTERS"],
            summary.reasons.map(({ reason, status, count, adapters }) => [reason, status, count, adapters]),
        ),
        formatTable(["SECOND", "ANSWERS"], summary.spans.map(({ second, reasons }) => [second, textOfCounts(reasons)])),
        formatTable(["MODEL", "ANSWERS"], summary.models.map(({ model, reasons }) => [model, textOfCounts(reasons)])),
        formatTable(
            ["UPSTREAM", "FIRST P95", "PAUSE P95", "TRIES"],
            summary.upstreams.map((
                { upstream, firstP95, pauseP95, outcomes },
            ) => [upstream, Math.round(firstP95), Math.round(pauseP95), textOfCounts(outcomes)]),
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
        firstP95: slowestOf(group, "firstMs"),
        pauseP95: slowestOf(group, "longestPauseMs"),
    };
}

/** 0 where no event has the value. */
function slowestOf(group: readonly LoggedEvent[], name: string): number {
    const histogram = new Histogram();
    group.filter(({ values }) => values[name] !== undefined).forEach(({ values }) =>
        histogram.record(Number(values[name]))
    );
    return histogram.count === 0 ? 0 : histogram.quantile(slowest);
}

function countBy(group: readonly LoggedEvent[], name: string): Record<string, number> {
    return Object.fromEntries([...groups(group, textOf(name))].map(([value, members]) => [value, members.length]));
}

function groups<K>(events: readonly LoggedEvent[], keyOf: (event: LoggedEvent) => K): Map<K, LoggedEvent[]> {
    const found = new Map<K, LoggedEvent[]>();
    for (const event of events) {
        const key = keyOf(event);
        const group = found.get(key);
        if (group === undefined) {
            found.set(key, [event]);
        }
        else {
            group.push(event);
        }
    }
    return found;
}

function textOf(name: string): (event: LoggedEvent) => string {
    return ({ values }) => String(values[name]);
}

function textOfCounts(counts: Readonly<Record<string, number>>): string {
    return Object.entries(counts).sort(([, a], [, b]) => b - a).map(([name, count]) => `${name} ${count}`).join(", ");
}
