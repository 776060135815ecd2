/** The demand for each model over all entries, smoothed. */
import { type ReportDemandRequest } from "./gen/winchpath/placement/v1/placement_pb.js";
import { type Demand } from "./views.js";

/** Averages over about 3 s and 60 s; the higher counts, so that demand rises fast and falls slowly. */
const fastMs = 3000;
const slowMs = 60_000;
const staleMs = 5000;

interface Averages {
    rate: number;
    fastBusy: number;
    slowBusy: number;
}

interface EntryDemand {
    heardAt: number;
    readonly models: Map<string, Averages>;
}

export class DemandBook {
    private readonly entries = new Map<string, EntryDemand>();

    /** Takes in what one entry saw since its last report. */
    public take(report: ReportDemandRequest): void {
        const entry = this.entries.get(report.entry) ?? { heardAt: 0, models: new Map<string, Averages>() };
        entry.heardAt = Date.now();
        const seen = new Set(report.models.map(({ name }) => name));
        for (const { name, arrivals, running, waiting, refused } of report.models) {
            const rate = arrivals * 1000 / Math.max(1, report.intervalMs);
            average(entry.models, name, rate, running + waiting + refused, report.intervalMs);
        }
        [...entry.models.keys()].filter(name => !seen.has(name)).forEach(name => {
            average(entry.models, name, 0, 0, report.intervalMs);
        });
        this.entries.set(report.entry, entry);
    }

    /** The sum over all entries that still report. */
    public current(): Map<string, Demand> {
        const sums = new Map<string, Demand>();
        for (const [name, entry] of this.entries) {
            if (Date.now() - entry.heardAt > staleMs) {
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

function average(models: Map<string, Averages>, name: string, rate: number, busy: number, intervalMs: number): void {
    const averages = models.get(name) ?? { rate: 0, fastBusy: 0, slowBusy: 0 };
    averages.rate += (rate - averages.rate) * weight(intervalMs, fastMs);
    averages.fastBusy += (busy - averages.fastBusy) * weight(intervalMs, fastMs);
    averages.slowBusy += (busy - averages.slowBusy) * weight(intervalMs, slowMs);
    models.set(name, averages);
}

function weight(intervalMs: number, spanMs: number): number {
    return 1 - Math.exp(-intervalMs / spanMs);
}
