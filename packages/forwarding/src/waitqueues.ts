/** A queue of requests waiting for an upstream. */
import { Deferred } from "@winchpath/core";

/** The order in which waiting requests are served. */
export interface WaitOrder<R> {
    /** Returns a negative number if `a` goes first, a positive one if `b` does; 0: in order of arrival. */
    compare(a: R, b: R): number;
}

/** Serves requests by priority; 0 is the most urgent. */
export class PriorityOrder implements WaitOrder<{ readonly priority: number; }> {
    public compare(a: { readonly priority: number; }, b: { readonly priority: number; }): number {
        return a.priority - b.priority;
    }
}

/** Serves requests by the first of several orders that distinguishes them. */
export class ChainedOrder<R> implements WaitOrder<R> {
    public constructor(private readonly orders: readonly WaitOrder<R>[]) {}

    public compare(a: R, b: R): number {
        for (const order of this.orders) {
            const result = order.compare(a, b);
            if (result !== 0) {
                return result;
            }
        }
        return 0;
    }
}

interface Waiter<R, T> {
    readonly request: R;
    /** Number of the request in order of arrival. */
    readonly arrival: number;
    /** Returns the awaited value once it is available. */
    readonly tryAcquire: () => T | undefined;
    readonly done: Deferred<T | undefined>;
}

export class WaitQueue<R extends object, T> {
    private waiters: Waiter<R, T>[] = [];
    /** Kept between waits, since a request that waits again keeps its place. */
    private readonly arrivals = new WeakMap<R, number>();
    private arrivalCount = 0;
    private retrying = false;

    public constructor(private readonly order: WaitOrder<R>) {}

    public get size(): number {
        return this.waiters.length;
    }

    public has(request: R): boolean {
        return this.waiters.some(waiter => waiter.request === request);
    }

    /** Records the arrival of a request that may wait later, unless it is recorded already; returns its number. */
    public arrived(request: R): number {
        let arrival = this.arrivals.get(request);
        if (arrival === undefined) {
            arrival = this.arrivalCount++;
            this.arrivals.set(request, arrival);
        }
        return arrival;
    }

    /** Waits until `tryAcquire` returns a value; resolves to undefined after `ms` or when `abortSignal` is aborted. */
    public async wait(
        request: R,
        ms: number,
        abortSignal: AbortSignal,
        tryAcquire: () => T | undefined,
    ): Promise<T | undefined> {
        if (abortSignal.aborted) {
            return undefined;
        }
        const waiter: Waiter<R, T> = { request, arrival: this.arrived(request), tryAcquire, done: new Deferred() };
        const remove = () => this.remove(waiter);
        this.insert(waiter);
        const timer = setTimeout(remove, ms);
        abortSignal.addEventListener("abort", remove, { once: true });
        try {
            return await waiter.done.promise;
        }
        finally {
            clearTimeout(timer);
            abortSignal.removeEventListener("abort", remove);
        }
    }

    /** Lets every waiter try again, in order. */
    public retryAll(): void {
        if (this.retrying) {
            return;
        }
        this.retrying = true;
        try {
            this.waiters = this.waiters.filter(waiter => !this.tryServe(waiter));
        }
        finally {
            this.retrying = false;
        }
    }

    /** Ends the wait of a request, if it waits: its `wait` resolves to undefined. */
    public cancel(request: R): void {
        this.waiters.filter(waiter => waiter.request === request).forEach(waiter => this.remove(waiter));
    }

    private tryServe(waiter: Waiter<R, T>): boolean {
        const acquired = waiter.tryAcquire();
        if (acquired === undefined) {
            return false;
        }
        waiter.done.resolve(acquired);
        return true;
    }

    private insert(waiter: Waiter<R, T>): void {
        const index = this.waiters.findIndex(other => this.isAfter(other, waiter));
        this.waiters.splice(index === -1 ? this.waiters.length : index, 0, waiter);
    }

    private isAfter(a: Waiter<R, T>, b: Waiter<R, T>): boolean {
        const compared = this.order.compare(a.request, b.request);
        return compared > 0 || (compared === 0 && a.arrival > b.arrival);
    }

    private remove(waiter: Waiter<R, T>): void {
        this.waiters = this.waiters.filter(other => other !== waiter);
        waiter.done.resolve(undefined);
    }
}
