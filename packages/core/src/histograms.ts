/** Counters and latency histograms of one process, with the Prometheus text form. */
import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

/** Values are recorded in microseconds so that a tenth of a millisecond still shows. */
const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 3_600_000_000;
const quantiles = [0.5, 0.95, 0.99];

/** Durations in milliseconds. */
export class Histogram {
    private readonly inner: HdrHistogram = build({
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 3,
        bitBucketSize: 32,
        autoResize: true,
    });
    private sum = 0;

    /** Records one duration in milliseconds. */
    public record(ms: number): void {
        this.sum += ms;
        this.inner.recordValue(Math.max(0, Math.round(ms * microsecondsPerMillisecond)));
    }

    /** The duration in milliseconds that `quantile` (0 to 1) of the recorded ones do not exceed. */
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

/** The metrics of one process, by name and labels. */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly histograms = new Map<string, Histogram>();

    /** Adds to a counter, `requests_total{outcome="ran"}` for one. */
    public count(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
        const key = keyOf(name, labels);
        this.counters.set(key, (this.counters.get(key) ?? 0) + by);
    }

    /** The histogram of that name and labels, made at its first use. */
    public histogram(name: string, labels: Readonly<Record<string, string>> = {}): Histogram {
        const key = keyOf(name, labels);
        let histogram = this.histograms.get(key);
        if (histogram === undefined) {
            histogram = new Histogram();
            this.histograms.set(key, histogram);
        }
        return histogram;
    }

    /** All metrics in the Prometheus text form; durations in seconds. */
    public toText(): string {
        const lines: string[] = [];
        for (const [key, value] of [...this.counters].sort()) {
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
