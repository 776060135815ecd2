/** Upstreams with slots that all entries share. */

export class UpstreamPool {
    private readonly free: number[];

    public constructor(upstreams: number, slots: number) {
        this.free = Array.from({ length: upstreams }, () => slots);
    }

    /** Selects the upstream with the most free slots; `isSpare`: whether another slot would still be free. */
    public select(): { readonly index: number; readonly isSpare: boolean; } | undefined {
        let index = 0;
        let open = 0;
        this.free.forEach((count, each) => {
            open += count > 0 ? 1 : 0;
            index = count > this.free[index] ? each : index;
        });
        return open === 0 ? undefined : { index, isSpare: open > 1 || this.free[index] > 1 };
    }

    public acquire(index: number): void {
        this.free[index] -= 1;
    }

    public release(index: number): void {
        this.free[index] += 1;
    }
}
