/** Rates of work per account, from totals that entries report. */
import { steadyNow } from "@winchpath/core";
import { type WorkCounts } from "./sharemessages.js";

/**
 * Half-life of the averages in milliseconds: two regular reports of an entry, so that the average doesn't fall to
 * nothing between them.
 */
export const rateHalfLifeMs = 1000;

/** Regular interval between reports, in milliseconds; an average holds for this long before it decays. */
const reportIntervalMs = 500;

/** Exponentially weighted average of work per second, from increments that are reported at irregular intervals. */
export class DecayingRate {
    private rate = 0;
    private updatedAt = steadyNow() - reportIntervalMs;

    /** Adds the work since the last call. */
    public add(work: number): void {
        const elapsedMs = Math.max(1, steadyNow() - this.updatedAt);
        const kept = 2 ** (-elapsedMs / rateHalfLifeMs);
        this.rate = this.rate * kept + work * 1000 / elapsedMs * (1 - kept);
        this.updatedAt = steadyNow();
    }

    public get perSecond(): number {
        const overdueMs = Math.max(0, steadyNow() - this.updatedAt - reportIntervalMs);
        return this.rate * 2 ** (-overdueMs / rateHalfLifeMs);
    }
}

/** Last totals of one entry. */
interface EntryWork {
    readonly process: number;
    readonly counts: WorkCounts;
    readonly asked: DecayingRate;
    readonly served: DecayingRate;
}

/** Work of one account at one service over all entries. */
export class AccountWorkRates {
    /** Work served since the leader took over. */
    public servedTotal = 0;
    private readonly entries = new Map<string, EntryWork>();

    /**
     * Adds the increase of an entry's totals. Totals of a new process, or that decrease, start at 0. `isBaseline`:
     * whether earlier totals of the entry are unknown, so that nothing is added if these are its first.
     */
    public record(entry: string, process: number, isBaseline: boolean, counts: WorkCounts): void {
        const last = this.entries.get(entry);
        const base = last === undefined ? (isBaseline ? counts : zero) : baseOf(last, process, counts);
        const { asked, served } = last ?? { asked: new DecayingRate(), served: new DecayingRate() };
        this.servedTotal += counts.served - base.served;
        served.add(counts.served - base.served);
        asked.add(counts.asked - base.asked);
        this.entries.set(entry, { process, counts, asked, served });
    }

    public removeEntry(entry: string): void {
        this.entries.delete(entry);
    }

    /** Work per second that is asked for over all entries. */
    public get askedPerSecond(): number {
        return this.sumOf(({ asked }) => asked.perSecond);
    }

    /** Work per second that is served over all entries. */
    public get servedPerSecond(): number {
        return this.sumOf(({ served }) => served.perSecond);
    }

    /** Fraction of the account's demand that arrives at the entry. */
    public entryShare(entry: string, entries: number): number {
        const total = this.askedPerSecond;
        return total > 0 ? (this.entries.get(entry)?.asked.perSecond ?? 0) / total : 1 / entries;
    }

    private sumOf(rateOf: (work: EntryWork) => number): number {
        let sum = 0;
        for (const work of this.entries.values()) {
            sum += rateOf(work);
        }
        return sum;
    }
}

type Totals = Pick<WorkCounts, "served" | "asked">;

const zero: Totals = { served: 0, asked: 0 };

function baseOf({ counts: before, process: known }: EntryWork, process: number, counts: WorkCounts): Totals {
    const decreased = counts.served < before.served || counts.asked < before.asked;
    return process !== known || decreased ? zero : before;
}
