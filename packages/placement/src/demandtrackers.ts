/** Aggregates the entries' demand for each model as moving averages. */
import { type ReportDemandRequest } from "./gen/winchpath/placement/v1/placement_pb.js";
import { type Demand } from "./placementviews.js";

/** Two averaging windows; the higher average counts, so that demand rises fast and falls slowly. */
const fastWindowMs = 3000;
const slowWindowMs = 60_000;
const reportTimeoutMs = 5000;

interface Averages {
    rate: number;
    fastBusy: number;
    slowBusy: number;
}

interface EntryDemand {
    reportedAt: number;
    readonly models: Map<string, Averages>;
}

export class DemandTracker {
    private readonly entries = new Map<string, EntryDemand>();

    /** Adds an entry's report on the time since its previous one. */
    public record(report: ReportDemandRequest): void {
        const entry = this.entries.get(report.entry) ?? { reportedAt: 0, models: new Map<string, Averages>() };
        entry.reportedAt = Date.now();
        const seen = new Set(report.models.map(({ name }) => name));
        for (const { name, arrivals, running, waiting, refused } of report.models) {
            const rate = arrivals * 1000 / Math.max(1, report.intervalMs);
            updateAverages(entry.models, name, rate, running + waiting + refused, report.intervalMs);
        }
        [...entry.models.keys()].filter(name => !seen.has(name)).forEach(name => {
            updateAverages(entry.models, name, 0, 0, report.intervalMs);
        });
        this.entries.set(report.entry, entry);
    }

    /** Returns the sum over all entries with a recent report. */
    public current(): Map<string, Demand> {
        const sums = new Map<string, Demand>();
        for (const [name, entry] of this.entries) {
            if (Date.now() - entry.reportedAt > reportTimeoutMs) {
                this.entries.delete(name);
                continue;
            }
            for (const [model, averages] of entry.models) {
                const sum = sums.get(model) ?? { rate: 0, busy: 0 };
                const busy = Math.max(averages.fastBusy, averages.slowBusy);
                sums.set(model, { rate: sum.rate + averages.rate, busy: sum.busy + busy });
            }
        }
        return sums;
    }
}

function updateAverages(
    models: Map<string, Averages>,
    name: string,
    rate: number,
    busy: number,
    intervalMs: number,
): void {
    const averages = models.get(name) ?? { rate: 0, fastBusy: 0, slowBusy: 0 };
    averages.rate += (rate - averages.rate) * smoothingFactor(intervalMs, fastWindowMs);
    averages.fastBusy += (busy - averages.fastBusy) * smoothingFactor(intervalMs, fastWindowMs);
    averages.slowBusy += (busy - averages.slowBusy) * smoothingFactor(intervalMs, slowWindowMs);
    models.set(name, averages);
}

function smoothingFactor(intervalMs: number, spanMs: number): number {
    return 1 - Math.exp(-intervalMs / spanMs);
}
