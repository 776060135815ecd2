/** The latest removals of upstreams, by position. */

/** Removals kept; a poll from before the oldest one gets a full snapshot. */
const maxRemovals = 2000;

export class RemovalLog {
    private removals: { readonly id: string; readonly position: number; }[] = [];
    private floor = 0;

    public add(id: string, position: number): void {
        this.removals.push({ id, position });
        while (this.removals.length > maxRemovals) {
            this.floor = this.removals.shift()!.position;
        }
    }

    /** Whether all removals after a position are kept. */
    public isCompleteSince(position: number): boolean {
        return position >= this.floor;
    }

    /** Ids that were removed after a position, as far as they are kept. */
    public since(position: number): string[] {
        return this.removals.filter(removal => removal.position > position).map(({ id }) => id);
    }

    public clear(): void {
        this.removals = [];
        this.floor = 0;
    }
}
