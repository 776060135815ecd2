/** Bounded queues of requests that wait for a replica, ordered by priority and fair between clients. */
import { Deferred, steadyNow } from "@winchpath/core";
import { type AttemptedReplicas, type Route, type RoutedReplica, type Router } from "@winchpath/routing";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

/** Polls, because this entry is not notified when requests of other entries end. */
const pollIntervalMs = 25;
/** Retry-After for a model without a ready replica. */
const noReplicaRetryMs = 3000;
/** Retry-After for a model that cannot be placed: an operator has to act first. */
const unplaceableRetryMs = 60_000;
/** Random share added to Retry-After, so that clients do not all retry when a backoff ends. */
const retryJitter = 0.25;
/** Smoothing factor of the average service time. */
const serviceWeight = 0.1;

interface QueuedRequest {
    readonly job: Job;
    readonly attemptedReplicas: AttemptedReplicas;
    readonly admitted: Deferred<RoutedReplica>;
    readonly number: number;
}

/** Queue of one model, adapter or service. */
export class TargetQueue {
    private queued: QueuedRequest[] = [];
    private timer: NodeJS.Timeout | undefined;
    private nextNumber = 0;
    private meanServiceMs = 0;
    /** Recently dispatched requests by client; halved when they exceed a limit. */
    private readonly servedCounts = new Map<string, number>();

    public constructor(private readonly router: Router, private readonly limit: number) {}

    public get waiting(): number {
        return this.queued.length;
    }

    /** Waits for a replica; rejects with `not-run` as soon as none can be available in time. */
    public async admit(job: Job, attemptedReplicas: AttemptedReplicas): Promise<RoutedReplica> {
        const route = this.router.route(job.replicas(), attemptedReplicas, job);
        if (this.queued.length === 0 && route.tag === "replica") {
            this.countServed(job.caller);
            return route.replica;
        }
        rejectIfBackingOff(job, route);
        this.rejectIfUnservable(job);
        const entry = {
            job,
            attemptedReplicas,
            admitted: new Deferred<RoutedReplica>(),
            number: this.nextNumber++,
        };
        this.queued.push(entry);
        const removeOnAbort = () =>
            this.fail(
                entry,
                new RequestFailure(ProblemCode.callerLeft, "not-run", "the caller left the queue"),
            );
        job.signal.addEventListener("abort", removeOnAbort, { once: true });
        this.schedulePoll();
        try {
            return await entry.admitted.promise;
        }
        finally {
            job.signal.removeEventListener("abort", removeOnAbort);
        }
    }

    /** Updates the average service time. */
    public recordServiceTime(ms: number): void {
        this.meanServiceMs += (ms - this.meanServiceMs) * (this.meanServiceMs === 0 ? 1 : serviceWeight);
    }

    /** Dispatches requests that can start, and rejects those whose time is up. */
    public dispatch(): void {
        for (const entry of this.inDispatchOrder()) {
            const { job, attemptedReplicas, admitted } = entry;
            const route = this.router.route(job.replicas(), attemptedReplicas, job);
            if (route.tag === "replica") {
                this.countServed(job.caller);
                this.remove(entry);
                admitted.resolve(route.replica);
            }
            else if (Date.now() >= job.deadline) {
                this.fail(
                    entry,
                    new RequestFailure(
                        ProblemCode.noReplica,
                        "not-run",
                        "no replica was ready in time",
                        noReplicaRetryMs,
                    ),
                );
            }
            else if (route.tag === "resting" && backoffEndsTooLate(job, route.until)) {
                this.fail(entry, backoffFailure(route.until));
            }
            else if (route.tag === "full" && Date.now() >= job.startBy) {
                this.fail(
                    entry,
                    overloadFailure(
                        "no replica had room in time",
                        this.expectedWaitMs(job) + this.meanServiceMs,
                    ),
                );
            }
        }
    }

    /** Rejects all queued requests at shutdown. */
    public close(): void {
        for (const entry of [...this.queued]) {
            this.fail(entry, new RequestFailure(ProblemCode.stopping, "not-run", "the entry is stopping", 1000));
        }
    }

    /** Rejects a request at once if it cannot start in time. */
    private rejectIfUnservable(job: Job): void {
        const reason = job.unplaceableReason();
        if (reason !== undefined) {
            throw new RequestFailure(ProblemCode.noReplica, "not-run", reason, unplaceableRetryMs);
        }
        if (this.queued.length >= this.limit) {
            throw overloadFailure(`${this.limit} requests wait already`, this.expectedWaitMs(job));
        }
        const expectedMs = this.expectedWaitMs(job);
        const remaining = job.startBy - Date.now();
        if (expectedMs > remaining) {
            throw overloadFailure(
                `the wait of about ${Math.round(expectedMs)} ms is over the ${Math.round(remaining)} ms there are`,
                expectedMs,
            );
        }
    }

    /** Estimated wait behind queued requests of equal or higher priority; 0 while no replica is ready. */
    private expectedWaitMs(job: Job): number {
        const capacity = job.replicas().reduce((sum, replica) => sum + replica.capacity, 0);
        const ahead = this.queued.filter(entry => entry.job.priority >= job.priority).length;
        return capacity === 0 ? 0 : ahead * this.meanServiceMs / capacity;
    }

    /** By priority, then by the client with the fewest dispatched requests, then by age. */
    private inDispatchOrder(): QueuedRequest[] {
        const servedOf = (entry: QueuedRequest) => this.servedCounts.get(entry.job.caller) ?? 0;
        return [...this.queued].sort((a, b) =>
            b.job.priority - a.job.priority || servedOf(a) - servedOf(b) || a.number - b.number
        );
    }

    private countServed(caller: string): void {
        const maxCount = 1000;
        const count = (this.servedCounts.get(caller) ?? 0) + 1;
        this.servedCounts.set(caller, count);
        if (count > maxCount || this.servedCounts.size > maxCount) {
            this.halveServedCounts();
        }
    }

    private halveServedCounts(): void {
        for (const [name, value] of this.servedCounts) {
            if (value < 2) {
                this.servedCounts.delete(name);
            }
            else {
                this.servedCounts.set(name, value / 2);
            }
        }
    }

    private fail(entry: QueuedRequest, failure: RequestFailure): void {
        this.remove(entry);
        entry.admitted.reject(failure);
    }

    private remove(entry: QueuedRequest): void {
        this.queued = this.queued.filter(other => other !== entry);
    }

    private schedulePoll(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.dispatch();
            if (this.queued.length > 0) {
                this.schedulePoll();
            }
        }, pollIntervalMs);
    }
}

/** Rejects a request at once if all replicas back off until after its start time. */
function rejectIfBackingOff(job: Job, route: Route): void {
    if (route.tag === "resting" && backoffEndsTooLate(job, route.until)) {
        throw backoffFailure(route.until);
    }
}

function backoffEndsTooLate(job: Job, until: number): boolean {
    return until - steadyNow() > job.startBy - Date.now();
}

function backoffFailure(until: number): RequestFailure {
    const retryAfterMs = Math.max(0, until - steadyNow()) * (1 + retryJitter * Math.random());
    return overloadFailure("all replicas have asked for rest", retryAfterMs);
}

function overloadFailure(detail: string, retryAfterMs: number): RequestFailure {
    return new RequestFailure(ProblemCode.overloaded, "not-run", detail, retryAfterMs);
}

export class TargetQueues {
    private readonly queues = new Map<string, TargetQueue>();

    public constructor(private readonly router: Router, private readonly limit: number) {}

    public forTarget(resource: string): TargetQueue {
        let queue = this.queues.get(resource);
        if (queue === undefined) {
            queue = new TargetQueue(this.router, this.limit);
            this.queues.set(resource, queue);
        }
        return queue;
    }

    public waiting(resource: string): number {
        return this.queues.get(resource)?.waiting ?? 0;
    }

    /** Dispatches queued requests of all targets. */
    public dispatch(): void {
        this.queues.forEach(queue => queue.waiting > 0 && queue.dispatch());
    }

    public close(): void {
        this.queues.forEach(queue => queue.close());
    }
}
