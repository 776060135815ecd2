/** Requests that wait at the entry, the most urgent first. */
import { Deferred, steadyNow } from "@winchpath/core";

interface Waiter<T> {
    readonly priority: number;
    readonly arrivedAt: number;
    /** Gives what the request waits for, once it is there. */
    readonly attempt: () => T | undefined;
    readonly done: Deferred<T | undefined>;
}

export class WaitingRoom<T> {
    private waiters: Waiter<T>[] = [];
    private pumping = false;

    public get size(): number {
        return this.waiters.length;
    }

    /** Waits until `attempt` gives something; undefined after `ms`, or once `gone` is aborted. */
    public async wait(
        priority: number,
        ms: number,
        gone: AbortSignal,
        attempt: () => T | undefined,
    ): Promise<T | undefined> {
        if (gone.aborted) {
            return undefined;
        }
        const waiter: Waiter<T> = { priority, arrivedAt: steadyNow(), attempt, done: new Deferred() };
        const leave = () => this.remove(waiter);
        this.insert(waiter);
        const timer = setTimeout(leave, ms);
        gone.addEventListener("abort", leave, { once: true });
        try {
            return await waiter.done.promise;
        }
        finally {
            clearTimeout(timer);
            gone.removeEventListener("abort", leave);
        }
    }

    /** Something changed: lets every waiter try again, in order. */
    public pump(): void {
        if (this.pumping) {
            return;
        }
        this.pumping = true;
        try {
            this.waiters = this.waiters.filter(waiter => !this.serve(waiter));
        }
        finally {
            this.pumping = false;
        }
    }

    private serve(waiter: Waiter<T>): boolean {
        const found = waiter.attempt();
        if (found === undefined) {
            return false;
        }
        waiter.done.resolve(found);
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
