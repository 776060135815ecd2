/** Index of changed upstreams by position, which avoids a scan of all upstreams. */

/** The log keeps at least this many of the latest changes, and at most twice as many. */
const minRetainedChanges = 8192;

interface Change {
    readonly id: string;
    readonly position: number;
}

export class ChangeLog {
    private changes: Change[] = [];
    /** All changes after this position are retained. */
    private floor = 0;

    public add(id: string, position: number): void {
        this.changes.push({ id, position });
        if (this.changes.length > 2 * minRetainedChanges) {
            this.floor = this.changes[minRetainedChanges - 1].position;
            this.changes = this.changes.slice(minRetainedChanges);
        }
    }

    /** Distinct ids that changed after a position; undefined if changes since then were discarded. */
    public since(position: number): string[] | undefined {
        if (position < this.floor) {
            return undefined;
        }
        const ids = new Set<string>();
        for (let index = this.changes.length - 1; index >= 0 && this.changes[index].position > position; index--) {
            ids.add(this.changes[index].id);
        }
        return [...ids];
    }

    /** Discards all changes up to a position. */
    public clear(position: number): void {
        this.changes = [];
        this.floor = position;
    }
}
