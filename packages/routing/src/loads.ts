/** How much each upstream has to do, as far as this entry can tell. */
import { type RoutedReplica } from "./replicas.js";

/** Counts of the past that are kept to compare with late reports. */
const keptSamples = 64;

interface Running {
    now: number;
    /** When the count changed, and to what; oldest first. */
    readonly samples: { readonly at: number; readonly count: number; }[];
}

/** This entry's own running requests, now and in the recent past. */
export class LoadBook {
    private readonly upstreams = new Map<string, Running>();

    public started(upstream: string): void {
        this.change(upstream, 1);
    }

    public ended(upstream: string): void {
        this.change(upstream, -1);
    }

    public running(upstream: string): number {
        return this.upstreams.get(upstream)?.now ?? 0;
    }

    /**
     * Requests at a replica: this entry's own as of now, and those of others as of
     * the report. What this entry had there at that time is in the report already.
     */
    public estimate(replica: RoutedReplica): number {
        const known = this.upstreams.get(replica.upstream);
        const sample = known?.samples.findLast(({ at }) => at <= replica.reportedAt) ?? known?.samples[0];
        const ownThen = sample?.count ?? 0;
        return (known?.now ?? 0) + Math.max(0, replica.reportedLoad - ownThen);
    }

    private change(upstream: string, by: number): void {
        const known = this.upstreams.get(upstream) ?? { now: 0, samples: [] };
        known.now += by;
        known.samples.push({ at: Date.now(), count: known.now });
        if (known.samples.length > keptSamples) {
            known.samples.shift();
        }
        this.upstreams.set(upstream, known);
    }
}
