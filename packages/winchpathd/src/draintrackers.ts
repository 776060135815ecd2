/** Tracks when this process first saw each drained upstream. */
export class DrainTracker {
    private readonly firstSeenAt = new Map<string, number>();

    public constructor(private readonly drained: () => ReadonlySet<string>) {}

    /** Maps each drained upstream to the time (`Date.now()`) at which the drain was first seen. */
    public startTimes(): ReadonlyMap<string, number> {
        const drained = this.drained();
        for (const name of drained) {
            if (!this.firstSeenAt.has(name)) {
                this.firstSeenAt.set(name, Date.now());
            }
        }
        for (const name of this.firstSeenAt.keys()) {
            if (!drained.has(name)) {
                this.firstSeenAt.delete(name);
            }
        }
        return this.firstSeenAt;
    }
}
