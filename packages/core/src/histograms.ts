/** Counters and latency histograms in the Prometheus text format. */
import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

/** Histograms hold integers, so durations are recorded in microseconds for sub-millisecond resolution. */
const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 3_600_000_000;
const quantiles = [0.5, 0.95, 0.99];

/** A histogram of durations in milliseconds. */
export class Histogram {
    private readonly inner: HdrHistogram = build({
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 3,
        bitBucketSize: 32,
        autoResize: true,
    });
    private sum = 0;

    public record(ms: number): void {
        this.sum += ms;
        this.inner.recordValue(Math.max(0, Math.round(ms * microsecondsPerMillisecond)));
    }

    /** Returns a quantile (0 to 1) in milliseconds. */
    public quantile(quantile: number): number {
        return this.inner.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
    }

    public get count(): number {
        return this.inner.totalCount;
    }

    public get total(): number {
        return this.sum;
    }
}

/** Registry of a process's metrics, by name and labels. */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly histograms = new Map<string, Histogram>();

    /** Increments a counter such as `requests_total{outcome="ran"}`. */
    public count(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
        const key = keyOf(name, labels);
        this.counters.set(key, (this.counters.get(key) ?? 0) + by);
    }

    /** Sets a value that may go up and down, such as `feature_enabled{feature="fair-shares"}`. */
    public setGauge(name: string, value: number, labels: Readonly<Record<string, string>> = {}): void {
        this.gauges.set(keyOf(name, labels), value);
    }

    /** Returns the histogram of a name and labels, creating it on first use. */
    public histogram(name: string, labels: Readonly<Record<string, string>> = {}): Histogram {
        const key = keyOf(name, labels);
        let histogram = this.histograms.get(key);
        if (histogram === undefined) {
            histogram = new Histogram();
            this.histograms.set(key, histogram);
        }
        return histogram;
    }

    /** All metrics in the Prometheus text format, with durations in seconds. */
    public toText(): string {
        const lines: string[] = [];
        for (const [key, value] of [...this.counters, ...this.gauges].sort()) {
            lines.push(`winchpath_${key} ${value}`);
        }
        for (const [key, histogram] of [...this.histograms].sort(([a], [b]) => a < b ? -1 : 1)) {
            lines.push(...summaryLines(key, histogram));
        }
        return lines.join("\n") + "\n";
    }
}

function keyOf(name: string, labels: Readonly<Record<string, string>>): string {
    const pairs = Object.entries(labels).map(([label, value]) => `${label}=${JSON.stringify(value)}`);
    return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}

function summaryLines(key: string, histogram: Histogram): string[] {
    const [name, rest = ""] = key.split(/\{(.*)\}/s);
    const lines = quantiles.map(quantile => {
        const labels = [rest, `quantile="${quantile}"`].filter(part => part !== "").join(",");
        return `winchpath_${name}_seconds{${labels}} ${histogram.quantile(quantile) / 1000}`;
    });
    const suffix = rest === "" ? "" : `{${rest}}`;
    lines.push(`winchpath_${name}_seconds_count${suffix} ${histogram.count}`);
    lines.push(`winchpath_${name}_seconds_sum${suffix} ${histogram.total / 1000}`);
    return lines;
}
