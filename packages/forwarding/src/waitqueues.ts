/** A queue of requests waiting for an upstream, ordered by priority. */
import { Deferred, steadyNow } from "@winchpath/core";

interface Waiter<T> {
    readonly priority: number;
    readonly arrivedAt: number;
    /** Returns the awaited value once it is available. */
    readonly tryAcquire: () => T | undefined;
    readonly done: Deferred<T | undefined>;
}

export class WaitQueue<T> {
    private waiters: Waiter<T>[] = [];
    private retrying = false;

    public get size(): number {
        return this.waiters.length;
    }

    /** Waits until `tryAcquire` returns a value; resolves to undefined after `ms` or when `abortSignal` is aborted. */
    public async wait(
        priority: number,
        ms: number,
        abortSignal: AbortSignal,
        tryAcquire: () => T | undefined,
    ): Promise<T | undefined> {
        if (abortSignal.aborted) {
            return undefined;
        }
        const waiter: Waiter<T> = { priority, arrivedAt: steadyNow(), tryAcquire, done: new Deferred() };
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

    private tryServe(waiter: Waiter<T>): boolean {
        const acquired = waiter.tryAcquire();
        if (acquired === undefined) {
            return false;
        }
        waiter.done.resolve(acquired);
        return true;
    }

    private insert(waiter: Waiter<T>): void {
        const index = this.waiters.findIndex(other => other.priority > waiter.priority);
        this.waiters.splice(index === -1 ? this.waiters.length : index, 0, waiter);
    }

    private remove(waiter: Waiter<T>): void {
        this.waiters = this.waiters.filter(other => other !== waiter);
        waiter.done.resolve(undefined);
    }
}
