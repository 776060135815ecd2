/** Small tools for tasks that wait: for time, for an event, for one another. */
import { steadyNow } from "./clocks.js";
import { Failure, FailureCode } from "./errors.js";

/** A promise that is settled from outside. */
export class Deferred<T> {
    public readonly promise: Promise<T>;
    public resolve!: (value: T) => void;
    public reject!: (err: Error) => void;

    public constructor() {
        this.promise = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
        });
    }
}

/**
 * Wakes every task that waits on it. A notification with no waiter is kept
 * for the next one, so that none falls between two waits of a single task.
 */
export class Notifier {
    private waiters = new Set<() => void>();
    private pending = false;

    /** Wakes the waiters, or lets the next wait return at once. */
    public notify(): void {
        if (this.waiters.size === 0) {
            this.pending = true;
            return;
        }
        const waiters = this.waiters;
        this.waiters = new Set();
        waiters.forEach(wake => wake());
    }

    /** Returns after a notification, or after `timeoutMs`. */
    public async wait(timeoutMs: number): Promise<void> {
        if (this.pending) {
            this.pending = false;
            return;
        }
        const woken = new Deferred<void>();
        const wake = () => woken.resolve();
        this.waiters.add(wake);
        const timer = setTimeout(wake, timeoutMs);
        await woken.promise;
        clearTimeout(timer);
        this.waiters.delete(wake);
    }
}

/** Waits; returns early, without an error, when the signal is aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
        return;
    }
    const done = new Deferred<void>();
    const wake = () => done.resolve();
    const timer = setTimeout(wake, ms);
    signal?.addEventListener("abort", wake, { once: true });
    await done.promise;
    clearTimeout(timer);
    signal?.removeEventListener("abort", wake);
}

/** Settles as the promise does, or fails with `timeout` after `ms`. */
export async function withTimeout<T>(promise: Promise<T>, ms: number, what: string): Promise<T> {
    const late = new Deferred<T>();
    const timer = setTimeout(() => late.reject(Failure.of(FailureCode.timeout, `${what} took over ${ms} ms`)), ms);
    try {
        return await Promise.race([promise, late.promise]);
    }
    finally {
        clearTimeout(timer);
    }
}

/** Waits until `condition` holds, looking again at every `event`; fails after `ms`. */
export async function until(condition: () => boolean, event: Notifier, ms: number, what: string): Promise<void> {
    const deadline = steadyNow() + ms;
    while (!condition()) {
        const left = deadline - steadyNow();
        if (left <= 0) {
            throw Failure.of(FailureCode.timeout, `${what} took over ${ms} ms`);
        }
        await event.wait(left);
    }
}
