/** Requests that wait for a replica: bounded, by priority, fair between callers, never past their time. */
import { Deferred, steadyNow } from "@winchpath/core";
import { type Route, type RoutedReplica, type Router, type Tried } from "@winchpath/routing";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

/** Others' requests end without this entry being told. */
const lookAgainMs = 25;
/** When to come back to a model without a ready replica. */
const noReplicaRetryMs = 3000;
/** When to come back to a model that fits nowhere: operators have to act first. */
const unplaceableRetryMs = 60_000;
/** Callers that are sent away until the end of a rest come back over this share of its time more, drawn for each. */
const restSpread = 0.25;
/** Weight of the newest service time in the average. */
const serviceWeight = 0.1;

interface Ticket {
    readonly job: Job;
    readonly tried: Tried;
    readonly admitted: Deferred<RoutedReplica>;
    readonly number: number;
}

/** The queue of one target. */
export class TargetQueue {
    private tickets: Ticket[] = [];
    private timer: NodeJS.Timeout | undefined;
    private issued = 0;
    private meanServiceMs = 0;
    /** Requests of each caller that were let through lately; halved as they add up. */
    private readonly served = new Map<string, number>();

    public constructor(private readonly router: Router, private readonly limit: number) {}

    public get waiting(): number {
        return this.tickets.length;
    }

    /** A replica for the job; waits for one within the job's time, and fails with `not-run` as soon as that can't be. */
    public async admit(job: Job, tried: Tried): Promise<RoutedReplica> {
        const route = this.router.route(job.replicas(), tried, job);
        if (this.tickets.length === 0 && route.tag === "replica") {
            this.countServed(job.caller);
            return route.replica;
        }
        refuseIfResting(job, route);
        this.refuseEarly(job);
        const ticket = { job, tried, admitted: new Deferred<RoutedReplica>(), number: this.issued++ };
        this.tickets.push(ticket);
        const leave = () =>
            this.fail(ticket, new RequestFailure(ProblemCode.callerLeft, "not-run", "the caller left the queue"));
        job.signal.addEventListener("abort", leave, { once: true });
        this.lookAgainLater();
        try {
            return await ticket.admitted.promise;
        }
        finally {
            job.signal.removeEventListener("abort", leave);
        }
    }

    /** Takes in how long a request took. */
    public noteService(ms: number): void {
        this.meanServiceMs += (ms - this.meanServiceMs) * (this.meanServiceMs === 0 ? 1 : serviceWeight);
    }

    /** Something has changed: lets through whom it can, and gives up those whose time is over. */
    public pump(): void {
        for (const ticket of this.inOrder()) {
            const { job, tried, admitted } = ticket;
            const route = this.router.route(job.replicas(), tried, job);
            if (route.tag === "replica") {
                this.countServed(job.caller);
                this.remove(ticket);
                admitted.resolve(route.replica);
            }
            else if (Date.now() >= job.deadline) {
                this.fail(
                    ticket,
                    new RequestFailure(
                        ProblemCode.noReplica,
                        "not-run",
                        "no replica was ready in time",
                        noReplicaRetryMs,
                    ),
                );
            }
            else if (route.tag === "resting" && restsTooLong(job, route.until)) {
                this.fail(ticket, resting(route.until));
            }
            else if (route.tag === "full" && Date.now() >= job.startBy) {
                this.fail(
                    ticket,
                    overloaded("no replica had room in time", this.expectedWaitMs(job) + this.meanServiceMs),
                );
            }
        }
    }

    /** Fails all that wait, as the entry stops. */
    public close(): void {
        for (const ticket of [...this.tickets]) {
            this.fail(ticket, new RequestFailure(ProblemCode.stopping, "not-run", "the entry is stopping", 1000));
        }
    }

    /** Gives the final answer at once where waiting would be in vain. */
    private refuseEarly(job: Job): void {
        const reason = job.unplaceable();
        if (reason !== undefined) {
            throw new RequestFailure(ProblemCode.noReplica, "not-run", reason, unplaceableRetryMs);
        }
        if (this.tickets.length >= this.limit) {
            throw overloaded(`${this.limit} requests wait already`, this.expectedWaitMs(job));
        }
        const expected = this.expectedWaitMs(job);
        const left = job.startBy - Date.now();
        if (expected > left) {
            throw overloaded(
                `the wait of about ${Math.round(expected)} ms is over the ${Math.round(left)} ms there are`,
                expected,
            );
        }
    }

    /** How long those ahead will take; 0 while no replica is ready, since that can't be told from them. */
    private expectedWaitMs(job: Job): number {
        const capacity = job.replicas().reduce((sum, replica) => sum + replica.capacity, 0);
        const ahead = this.tickets.filter(ticket => ticket.job.priority >= job.priority).length;
        return capacity === 0 ? 0 : ahead * this.meanServiceMs / capacity;
    }

    /** By priority, then the caller that was served least, then age. */
    private inOrder(): Ticket[] {
        const servedOf = (ticket: Ticket) => this.served.get(ticket.job.caller) ?? 0;
        return [...this.tickets].sort((a, b) =>
            b.job.priority - a.job.priority || servedOf(a) - servedOf(b) || a.number - b.number
        );
    }

    private countServed(caller: string): void {
        const most = 1000;
        const count = (this.served.get(caller) ?? 0) + 1;
        this.served.set(caller, count);
        if (count > most || this.served.size > most) {
            this.halveServed();
        }
    }

    private halveServed(): void {
        for (const [name, value] of this.served) {
            if (value < 2) {
                this.served.delete(name);
            }
            else {
                this.served.set(name, value / 2);
            }
        }
    }

    private fail(ticket: Ticket, failure: RequestFailure): void {
        this.remove(ticket);
        ticket.admitted.reject(failure);
    }

    private remove(ticket: Ticket): void {
        this.tickets = this.tickets.filter(other => other !== ticket);
    }

    private lookAgainLater(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.pump();
            if (this.tickets.length > 0) {
                this.lookAgainLater();
            }
        }, lookAgainMs);
    }
}

/** Gives the final answer at once where all replicas rest until it is too late for the request. */
function refuseIfResting(job: Job, route: Route): void {
    if (route.tag === "resting" && restsTooLong(job, route.until)) {
        throw resting(route.until);
    }
}

function restsTooLong(job: Job, until: number): boolean {
    return until - steadyNow() > job.startBy - Date.now();
}

function resting(until: number): RequestFailure {
    const restMs = Math.max(0, until - steadyNow()) * (1 + restSpread * Math.random());
    return overloaded("all replicas have asked for rest", restMs);
}

function overloaded(detail: string, retryAfterMs: number): RequestFailure {
    return new RequestFailure(ProblemCode.overloaded, "not-run", detail, retryAfterMs);
}

/** The queues of all targets. */
export class Queues {
    private readonly queues = new Map<string, TargetQueue>();

    public constructor(private readonly router: Router, private readonly limit: number) {}

    public of(resource: string): TargetQueue {
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

    /** Lets through whom it can, after something has changed. */
    public pump(): void {
        this.queues.forEach(queue => queue.waiting > 0 && queue.pump());
    }

    public close(): void {
        this.queues.forEach(queue => queue.close());
    }
}
