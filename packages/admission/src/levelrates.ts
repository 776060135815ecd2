/** Demand and outcomes of one service by priority level, as rates that follow the last seconds. */

/** Priority levels are below this number; 0 is the most urgent. */
export const levelCount = 10;

/** Counts of one level since an earlier report. */
export interface LevelCounts {
    readonly level: number;
    readonly arrived: number;
    /** Work of the requests that arrived, in a unit common to the service. */
    readonly work: number;
    readonly admitted: number;
    readonly rejected: number;
    readonly declined: number;
}

/** Rates of one level, per second. */
export interface LevelRate {
    readonly level: number;
    /** Work that arrived. */
    readonly demand: number;
    /** Work that was sent to upstreams and not declined there. */
    readonly accepted: number;
    readonly arrived: number;
    /** Requests that were sent to an upstream, and those of them that it declined. */
    readonly sent: number;
    readonly declined: number;
    /** Requests that found no capacity: rejected, or declined by an upstream. */
    readonly turnedAway: number;
}

interface Sums {
    arrived: number;
    work: number;
    admitted: number;
    rejected: number;
    declined: number;
}

/** Time constant of the rates, in milliseconds: two reports of each entry, so that single reports don't show as steps. */
const timeConstantMs = 1000;
/** Counts above this are errors, since no entry handles as many requests between two reports. */
const maxCount = 1_000_000;
/** Rates below this many requests per second are forgotten. */
const minRate = 0.01;

export class LevelRates {
    private readonly sums = new Map<number, Sums>();
    private updatedAt = Number.NEGATIVE_INFINITY;

    /** `now`: monotonic time in milliseconds; a value before the last one counts as that one. */
    public add(counts: readonly LevelCounts[], now: number): void {
        this.decay(now);
        for (const { level, ...values } of counts) {
            if (!Number.isInteger(level) || level < 0 || level >= levelCount) {
                continue;
            }
            const sums = this.sumsOf(level);
            for (const name of ["arrived", "work", "admitted", "rejected", "declined"] as const) {
                sums[name] += name === "work" ? validWork(values.work) : validCount(values[name]);
            }
        }
    }

    /** Returns the rates of all levels with recent requests, the most urgent first. */
    public rates(now: number): LevelRate[] {
        this.decay(now);
        return [...this.sums].sort(([a], [b]) => a - b).map(([level, sums]) => rateOf(level, sums));
    }

    private decay(now: number): void {
        const elapsedMs = Math.max(0, now - this.updatedAt);
        this.updatedAt = Math.max(this.updatedAt, now);
        const factor = Math.exp(-elapsedMs / timeConstantMs);
        for (const [level, sums] of this.sums) {
            for (const name of ["arrived", "work", "admitted", "rejected", "declined"] as const) {
                sums[name] *= factor;
            }
            if (sums.arrived + sums.admitted + sums.rejected + sums.declined < minRate) {
                this.sums.delete(level);
            }
        }
    }

    private sumsOf(level: number): Sums {
        let sums = this.sums.get(level);
        if (sums === undefined) {
            sums = { arrived: 0, work: 0, admitted: 0, rejected: 0, declined: 0 };
            this.sums.set(level, sums);
        }
        return sums;
    }
}

function rateOf(level: number, { arrived, work, admitted, rejected, declined }: Sums): LevelRate {
    const perSecond = 1000 / timeConstantMs;
    const workPerRequest = arrived > 0 ? work / arrived : 0;
    return {
        level,
        demand: work * perSecond,
        accepted: Math.max(0, admitted - declined) * workPerRequest * perSecond,
        arrived: arrived * perSecond,
        sent: admitted * perSecond,
        declined: declined * perSecond,
        turnedAway: (rejected + declined) * perSecond,
    };
}

function validCount(value: number): number {
    return value > 0 && value <= maxCount ? value : 0;
}

function validWork(value: number): number {
    return value > 0 && Number.isFinite(value) ? value : 0;
}
