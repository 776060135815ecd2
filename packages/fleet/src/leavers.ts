/** The entry's side of upstreams that leave: which leader has been told of which. */
import { type AvailabilityBook } from "@winchpath/availability";

/** A leaver is told to new leaders for this long, in milliseconds: it serves for some seconds after its word. */
const toldMs = 60_000;

export class ToldLeavers {
    /** Epoch of the leadership that was told last, by upstream. */
    private readonly toldTo = new Map<string, string>();

    public constructor(private readonly availability: Pick<AvailabilityBook, "recentLeavers">) {}

    /** Whether there are any that no leader has been told of. */
    public get hasNews(): boolean {
        return this.recent().some(upstream => !this.toldTo.has(upstream));
    }

    /** Those that a leadership has not been told of: a new one knows nothing of what earlier ones were told. */
    public toTell(epoch: string): string[] {
        return this.recent().filter(upstream => this.toldTo.get(upstream) !== epoch);
    }

    public told(upstreams: readonly string[], epoch: string): void {
        upstreams.forEach(upstream => this.toldTo.set(upstream, epoch));
        const recent = new Set(this.recent());
        for (const upstream of this.toldTo.keys()) {
            if (!recent.has(upstream)) {
                this.toldTo.delete(upstream);
            }
        }
    }

    private recent(): string[] {
        return this.availability.recentLeavers(toldMs);
    }
}
