/** Bounds the number and the bytes of the requests that wait at an entry for a longer time. */

export interface WaitBoundsOptions<R> {
    readonly maxCount: number;
    readonly maxBytes: number;
    /** Returns the memory that a waiting request occupies, in bytes. */
    readonly bytesOf: (request: R) => number;
    /** Returns a negative number if `a` is served before `b`, a positive one if after it. */
    readonly compare: (a: R, b: R) => number;
    /** Called for each request that loses its place to one that is served before it. */
    readonly onDisplaced: (request: R) => void;
}

export class WaitBounds<R> {
    /** The bytes that each request counts with, as measured when it was added. */
    private readonly waiting = new Map<R, number>();
    private bytes = 0;

    public constructor(private readonly options: WaitBoundsOptions<R>) {}

    public get count(): number {
        return this.waiting.size;
    }

    /** Memory occupied by the waiting requests, in bytes. */
    public get occupiedBytes(): number {
        return this.bytes;
    }

    public has(request: R): boolean {
        return this.waiting.has(request);
    }

    /**
     * Takes a place, displacing requests that are served later. Returns false if there are not enough of them, and true
     * without a change if the request has a place.
     */
    public tryAdd(request: R): boolean {
        if (this.waiting.has(request)) {
            return true;
        }
        const bytes = this.options.bytesOf(request);
        const displaced: R[] = [];
        const candidates = this.fits(bytes, displaced) ? [] : this.servedAfter(request);
        while (!this.fits(bytes, displaced)) {
            const last = candidates.pop();
            if (last === undefined) {
                return false;
            }
            displaced.push(last);
        }
        displaced.forEach(other => this.delete(other));
        this.waiting.set(request, bytes);
        this.bytes += bytes;
        displaced.forEach(other => this.options.onDisplaced(other));
        return true;
    }

    /** Gives up the request's place, if it has one. */
    public delete(request: R): void {
        this.bytes -= this.waiting.get(request) ?? 0;
        this.waiting.delete(request);
    }

    private fits(bytes: number, displaced: readonly R[]): boolean {
        const { maxCount, maxBytes } = this.options;
        const freed = displaced.reduce((sum, other) => sum + (this.waiting.get(other) ?? 0), 0);
        return this.waiting.size - displaced.length < maxCount && this.bytes - freed + bytes <= maxBytes;
    }

    /** The waiting requests that are served after the given one, in order. */
    private servedAfter(request: R): R[] {
        const { compare } = this.options;
        return [...this.waiting.keys()].filter(other => compare(other, request) > 0).sort(compare);
    }
}
