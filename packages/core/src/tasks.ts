/** Primitives for asynchronous tasks. */
import { steadyNow } from "./clocks.js";
import { Failure, FailureCode } from "./errors.js";
import { eventLoop, startFairTimer } from "./eventloops.js";

/** A promise that can be resolved or rejected from outside. */
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
 * Runs a task for all callers that wait for it at the same time: those that come while it runs share the next run, which
 * begins when it has ended, so that each caller's run began after its call.
 */
export class SharedRun<T> {
    private current: Promise<unknown> | undefined;
    private next: Promise<T> | undefined;

    public constructor(private readonly task: () => Promise<T>) {}

    public run(): Promise<T> {
        if (this.current === undefined) {
            return this.start();
        }
        this.next ??= this.startAfter(this.current);
        return this.next;
    }

    private start(): Promise<T> {
        const running = this.task();
        const ended = running.then(() => undefined, () => undefined).then(() => {
            if (this.current === ended) {
                this.current = undefined;
            }
        });
        this.current = ended;
        return running;
    }

    private async startAfter(current: Promise<unknown>): Promise<T> {
        await current;
        this.next = undefined;
        return this.start();
    }
}

/**
 * Wakes every task that waits on it. A notification without waiters is kept for
 * the next wait, so that a task cannot miss one between two waits.
 */
export class Notifier {
    private waiters = new Set<() => void>();
    private pending = false;

    /** Wakes all waiters; if there are none, the next wait returns at once. */
    public notify(): void {
        if (this.waiters.size === 0) {
            this.pending = true;
            return;
        }
        const waiters = this.waiters;
        this.waiters = new Set();
        waiters.forEach(wake => wake());
    }

    /** Resolves after a notification or after `timeoutMs`. */
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

/** Resolves after `ms`, or earlier, without an error, when the signal is aborted. */
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

/** Settles like the promise, or fails with code `timeout` after `ms`. */
export async function withTimeout<T>(promise: Promise<T>, ms: number, operation: string): Promise<T> {
    const timeout = new Deferred<T>();
    const timer = startFairTimer(
        () => timeout.reject(Failure.of(FailureCode.timeout, `${operation} took over ${ms} ms`)),
        ms,
    );
    try {
        return await Promise.race([promise, timeout.promise]);
    }
    finally {
        timer.cancel();
    }
}

/** Makes a call with a signal that is aborted with a failure of code `timeout` after `ms`. */
export async function callWithTimeout<T>(
    call: (signal: AbortSignal) => Promise<T>,
    ms: number,
    operation: string,
): Promise<T> {
    const controller = new AbortController();
    const timer = startFairTimer(
        () => controller.abort(Failure.of(FailureCode.timeout, `${operation} took over ${ms} ms`)),
        ms,
    );
    try {
        return await call(controller.signal);
    }
    finally {
        timer.cancel();
    }
}

/** Resolves once `condition` holds, checking it after every `event`; fails with code `timeout` after `ms`. */
export async function waitUntil(
    condition: () => boolean,
    event: Notifier,
    ms: number,
    operation: string,
): Promise<void> {
    const deadline = steadyNow() + ms;
    while (!condition()) {
        const left = deadline - eventLoop.readUntil;
        if (left <= 0) {
            throw Failure.of(FailureCode.timeout, `${operation} took over ${ms} ms`);
        }
        await event.wait(left);
    }
}
