/** Counts the requests at an entry by service and priority level. */
import { type LevelCounts } from "./levelrates.js";

/** Counts of one level of a service since the last report. */
export interface ServiceLevelCounts extends LevelCounts {
    readonly service: string;
    /** Requests that are waiting for capacity now. */
    readonly waiting: number;
}

type MutableCounts = { -readonly [K in keyof ServiceLevelCounts]: ServiceLevelCounts[K]; };

export class LevelCounter {
    private readonly counts = new Map<string, MutableCounts>();

    /** @param work in a unit common to the service */
    public arrived(service: string, level: number, work: number): void {
        const counts = this.countsOf(service, level);
        counts.arrived += 1;
        counts.work += work;
    }

    /** A request was sent to an upstream. */
    public admitted(service: string, level: number): void {
        this.countsOf(service, level).admitted += 1;
    }

    /** A request was rejected for lack of capacity. */
    public rejected(service: string, level: number): void {
        this.countsOf(service, level).rejected += 1;
    }

    /** An upstream declined a request. */
    public declined(service: string, level: number): void {
        this.countsOf(service, level).declined += 1;
    }

    public waitStarted(service: string, level: number): void {
        this.countsOf(service, level).waiting += 1;
    }

    public waitEnded(service: string, level: number): void {
        this.countsOf(service, level).waiting -= 1;
    }

    public get isEmpty(): boolean {
        return this.counts.size === 0;
    }

    /** Returns the counts since the last call, and starts new ones. */
    public take(): ServiceLevelCounts[] {
        const taken = [...this.counts.values()].map(counts => ({ ...counts }));
        for (const [key, counts] of this.counts) {
            Object.assign(counts, { arrived: 0, work: 0, admitted: 0, rejected: 0, declined: 0 });
            if (counts.waiting === 0) {
                this.counts.delete(key);
            }
        }
        return taken;
    }

    private countsOf(service: string, level: number): MutableCounts {
        const key = `${level} ${service}`;
        let counts = this.counts.get(key);
        if (counts === undefined) {
            counts = { service, level, arrived: 0, work: 0, admitted: 0, rejected: 0, declined: 0, waiting: 0 };
            this.counts.set(key, counts);
        }
        return counts;
    }
}
