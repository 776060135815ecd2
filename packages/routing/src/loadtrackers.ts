/** Estimates the load of each upstream. */
import { type RoutedReplica } from "./replicas.js";

/** Number of past counts kept for comparison with delayed reports. */
const maxSamples = 64;

interface RunningRequests {
    current: number;
    /** History of the count, oldest first. */
    readonly samples: { readonly at: number; readonly count: number; }[];
}

/** Counts this entry's running requests, with recent history. */
export class LoadTracker {
    private readonly upstreams = new Map<string, RunningRequests>();

    public started(upstream: string): void {
        this.change(upstream, 1);
    }

    public ended(upstream: string): void {
        this.change(upstream, -1);
    }

    public running(upstream: string): number {
        return this.upstreams.get(upstream)?.current ?? 0;
    }

    /**
     * Estimates the requests at a replica: this entry's current ones plus those of other entries
     * at the time of the report. The report includes this entry's requests of that time, so they are subtracted.
     */
    public estimate(replica: RoutedReplica): number {
        const known = this.upstreams.get(replica.upstream);
        const sample = known?.samples.findLast(({ at }) => at <= replica.reportedAt) ?? known?.samples[0];
        const ownAtReport = sample?.count ?? 0;
        return (known?.current ?? 0) + Math.max(0, replica.reportedLoad - ownAtReport);
    }

    private change(upstream: string, delta: number): void {
        const known = this.upstreams.get(upstream) ?? { current: 0, samples: [] };
        known.current += delta;
        known.samples.push({ at: Date.now(), count: known.current });
        if (known.samples.length > maxSamples) {
            known.samples.shift();
        }
        this.upstreams.set(upstream, known);
    }
}
