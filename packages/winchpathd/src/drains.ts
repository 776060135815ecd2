/** Since when this process knows of each drain. */

export class DrainBook {
    private readonly since = new Map<string, number>();

    public constructor(private readonly drained: () => ReadonlySet<string>) {}

    /** Names of drained upstreams, with Date.now() as of when the drain was first seen here. */
    public current(): ReadonlyMap<string, number> {
        const drained = this.drained();
        for (const name of drained) {
            if (!this.since.has(name)) {
                this.since.set(name, Date.now());
            }
        }
        for (const name of this.since.keys()) {
            if (!drained.has(name)) {
                this.since.delete(name);
            }
        }
        return this.since;
    }
}
