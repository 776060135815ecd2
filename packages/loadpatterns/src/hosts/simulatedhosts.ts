/** A host with a share of a processor, whose process handles connections in turns of an event loop. */
import { Metrics, silentLog } from "@winchpath/core";
import { ConnectionLimiter, HostLoad } from "@winchpath/hostload";

/** Processor time to accept a connection, to reject it, and for each turn that a request passes, in milliseconds. */
const acceptMs = 0.5;
const rejectMs = 0.3;
const stepMs = 0.8;
const turnsOfRequest = 5;
const tickMs = 100;

/** Processor time of a request that is served, in milliseconds. */
export const requestMs = acceptMs + turnsOfRequest * stepMs;

/** A connection with one request. */
export interface SimulatedCall {
    readonly startedAt: number;
    /** Called with whether the request was served or rejected. */
    readonly onEnd: (isServed: boolean) => void;
}

interface RunningCall {
    readonly call: SimulatedCall;
    turnsLeft: number;
}

export class SimulatedHost {
    public readonly load: HostLoad;
    private readonly limiter = new ConnectionLimiter();
    private readonly waiting: SimulatedCall[] = [];
    private running: RunningCall[] = [];
    /** Requests that have yet to be handled in this turn. */
    private pending: RunningCall[] = [];
    private isAccepting = true;
    private budgetMs = 0;
    private usedMs = 0;
    private tickDueAt = Date.now() + tickMs;

    /** `share`: of one core; `rejects`: whether connections beyond its capacity are rejected. */
    public constructor(
        public readonly name: string,
        public readonly share: number,
        private readonly rejects: boolean,
        objectiveMs: number,
    ) {
        this.limiter.setObjective(objectiveMs);
        this.load = new HostLoad(
            {
                limits: { processorShare: share, memoryMb: undefined, fileDescriptors: undefined },
                usage: () => ({ processorMs: this.usedMs, memoryMb: 0 }),
                connections: () => this.running.length,
                activeRequests: () => this.running.length,
                heldShare: () => 0,
                takeConnections: () => this.limiter.takeCounts(),
            },
            silentLog,
            new Metrics(),
        );
        this.load.setObjective(objectiveMs);
    }

    public connect(call: SimulatedCall): void {
        this.waiting.push(call);
    }

    /** Runs for a millisecond. */
    public run(): void {
        this.budgetMs += this.share;
        while (this.budgetMs > 0 && this.runNext()) {
            // Continues with the next piece of work.
        }
        this.budgetMs = Math.min(this.budgetMs, 0);
    }

    /** Returns whether there was something to do. */
    private runNext(): boolean {
        if (this.isAccepting) {
            // The runtime accepts one connection in a turn.
            const call = this.waiting.shift();
            this.isAccepting = false;
            this.pending = [...this.running];
            if (call === undefined) {
                this.limiter.recordEmpty();
            }
            else {
                this.accept(call);
            }
            return call !== undefined || this.pending.length > 0;
        }
        const next = this.pending.shift();
        if (next === undefined) {
            this.endTurn();
            return this.waiting.length > 0 || this.running.length > 0;
        }
        this.use(stepMs);
        next.turnsLeft -= 1;
        if (next.turnsLeft === 0) {
            this.running.splice(this.running.indexOf(next), 1);
            next.call.onEnd(true);
        }
        return true;
    }

    private accept(call: SimulatedCall): void {
        const isAdmitted = this.limiter.admit();
        if (this.rejects && !isAdmitted) {
            this.use(rejectMs);
            call.onEnd(false);
            return;
        }
        this.load.recordRequest();
        this.use(acceptMs);
        this.running.push({ call, turnsLeft: turnsOfRequest });
    }

    private endTurn(): void {
        this.isAccepting = true;
        const now = Date.now();
        if (now >= this.tickDueAt) {
            this.load.sample(now - this.tickDueAt);
            this.tickDueAt = now + tickMs;
        }
    }

    private use(ms: number): void {
        this.budgetMs -= ms;
        this.usedMs += ms;
    }
}
