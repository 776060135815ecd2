/** Measures demand at an entry for placement. */

interface Count {
    arrivals: number;
    running: number;
    waiting: number;
    refused: number;
}

/** Demand for one model since the previous `read`. */
export interface DemandSample extends Readonly<Count> {
    readonly name: string;
}

export class DemandMeter {
    private readonly counts = new Map<string, Count>();

    public arrived(name: string): void {
        const count = this.of(name);
        count.arrivals += 1;
        count.waiting += 1;
    }

    /** A waiting request was sent to an upstream. */
    public started(name: string): void {
        this.of(name).waiting -= 1;
        this.of(name).running += 1;
    }

    /** A request ended; `started` tells whether it had been sent to an upstream. */
    public ended(name: string, started: boolean): void {
        const count = this.of(name);
        if (started) {
            count.running -= 1;
            return;
        }
        count.waiting -= 1;
        count.refused += 1;
    }

    /** Returns the counts, and resets arrivals and refusals. */
    public read(): DemandSample[] {
        const samples = [...this.counts].map(([name, count]) => ({ name, ...count }));
        for (const [name, count] of this.counts) {
            count.arrivals = 0;
            count.refused = 0;
            if (count.running + count.waiting === 0) {
                this.counts.delete(name);
            }
        }
        return samples;
    }

    private of(name: string): Count {
        let count = this.counts.get(name);
        if (count === undefined) {
            count = { arrivals: 0, running: 0, waiting: 0, refused: 0 };
            this.counts.set(name, count);
        }
        return count;
    }
}
