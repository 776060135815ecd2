/** Tracks which draining upstreams an entry has reported to which leader. */
import { type AvailabilityTracker } from "@winchpath/availability";

/** Draining upstreams are reported to new leaders for this long. */
const reportWindowMs = 60_000;

export class DrainReports {
    /** Epoch of the leadership that each upstream was last reported to. */
    private readonly reportedEpochs = new Map<string, string>();

    public constructor(private readonly availability: Pick<AvailabilityTracker, "recentlyDraining">) {}

    /** Whether any draining upstream has not been reported to any leader. */
    public get hasUnreported(): boolean {
        return this.recentlyDraining().some(upstream => !this.reportedEpochs.has(upstream));
    }

    /** Draining upstreams that have not been reported to this leadership; a new leader needs all of them again. */
    public unreportedTo(epoch: string): string[] {
        return this.recentlyDraining().filter(upstream => this.reportedEpochs.get(upstream) !== epoch);
    }

    public markReported(upstreams: readonly string[], epoch: string): void {
        upstreams.forEach(upstream => this.reportedEpochs.set(upstream, epoch));
        const recent = new Set(this.recentlyDraining());
        for (const upstream of this.reportedEpochs.keys()) {
            if (!recent.has(upstream)) {
                this.reportedEpochs.delete(upstream);
            }
        }
    }

    private recentlyDraining(): string[] {
        return this.availability.recentlyDraining(reportWindowMs);
    }
}
