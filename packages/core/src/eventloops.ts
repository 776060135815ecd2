/**
 * How far this process has fallen behind with its input. A process that didn't run for a while, or that has more to do
 * than its share of a processor allows, holds old input while newer input lies unread in the kernel. Decisions that
 * newer input could change wait here until it has been read.
 */
import { steadyNow } from "./clocks.js";
import { type EventLog } from "./eventlogs.js";
import { Metrics } from "./histograms.js";

/** Interval of the timer that measures the delay, in milliseconds. */
const tickMs = 100;
/** Delay from which on the process counts as behind, in milliseconds; longer than usual garbage collection. */
const behindMs = 100;
/** A timer that fires later than this is judged only after the input has been read, in milliseconds. */
const lateTimerMs = 20;
/** Turns of the loop after which all earlier input is read: the current one, accepting a connection, reading from it. */
const inputTurns = 3;
/** Turns after which the end of an open connection is read: the current one, and reading. */
const openConnectionTurns = 2;
/** Time for which tasks of one turn run before input is read again, in milliseconds. */
const sliceMs = 50;

export class EventLoop {
    private log: EventLog | undefined;
    private metrics = new Metrics();
    private tickTimer: NodeJS.Timeout | undefined;
    private lastTickAt = 0;
    /** Time up to which input was read when the process fell behind; undefined once it has caught up. */
    private behindSince: number | undefined;
    private readonly tickListeners = new Set<(delayMs: number) => void>();
    private waitingTasks = 0;
    private pacing = false;
    /** Monotonic time at which the tasks of the current turn began. */
    private turnStartedAt = 0;

    /** Starts measuring. Processes call this once; without it the process never counts as behind. */
    public start(log: EventLog, metrics: Metrics): void {
        this.log = log;
        this.metrics = metrics;
        this.lastTickAt = steadyNow();
        this.tickTimer = setInterval(() => this.tick(), tickMs);
        this.tickTimer.unref();
    }

    public stop(): void {
        clearInterval(this.tickTimer);
        this.tickTimer = undefined;
        this.behindSince = undefined;
    }

    /** Calls back with the delay of the loop, in milliseconds, each time it is measured. Returns how to stop that. */
    public onTick(listener: (delayMs: number) => void): () => void {
        this.tickListeners.add(listener);
        return () => this.tickListeners.delete(listener);
    }

    /** By how much the measuring timer is overdue, in milliseconds; 0 if it is not. */
    public get delayMs(): number {
        return this.tickTimer === undefined ? 0 : Math.max(0, steadyNow() - this.lastTickAt - tickMs);
    }

    /**
     * Monotonic time up to which all input is known to have been read. Silence of a peer is judged by this time: what
     * it has sent since may lie unread.
     */
    public get readUntil(): number {
        this.checkDelay();
        return this.behindSince ?? steadyNow();
    }

    /** Whether input that has arrived may lie unread for longer than usual. */
    public get isBehind(): boolean {
        this.checkDelay();
        return this.behindSince !== undefined;
    }

    /** Resolves once all input that has arrived by now has been read, new connections included. */
    public async inputRead(): Promise<void> {
        await turns(inputTurns);
    }

    /**
     * Resolves once the end of every open connection that has arrived by now has been read. Tasks that wait for this
     * together continue in order, a bounded time each turn, so that the ends that arrive meanwhile are read too.
     */
    public async departuresRead(): Promise<void> {
        this.waitingTasks += 1;
        this.startPacing();
        try {
            await turns(openConnectionTurns);
            while (steadyNow() - this.turnStartedAt > sliceMs) {
                await turns(1);
            }
        }
        finally {
            this.waitingTasks -= 1;
        }
    }

    /** Counts a timer that fired late, and whether what it waited for had arrived. */
    public countLateTimer(outcome: "arrived" | "expired"): void {
        this.metrics.count("late_timers_total", { outcome });
    }

    private tick(): void {
        const { delayMs } = this;
        this.metrics.histogram("event_loop_delay").record(delayMs);
        if (delayMs >= behindMs && this.behindSince === undefined) {
            this.fallBehind();
        }
        this.lastTickAt = steadyNow();
        this.tickListeners.forEach(listener => listener(delayMs));
    }

    private checkDelay(): void {
        if (this.behindSince === undefined && this.delayMs >= behindMs) {
            this.fallBehind();
        }
    }

    private fallBehind(): void {
        this.behindSince = this.lastTickAt;
        this.metrics.count("event_loop_behind_total");
        this.log?.warn("loop.behind", { delayMs: this.delayMs, waitingTasks: this.waitingTasks });
        void this.catchUp();
    }

    private async catchUp(): Promise<void> {
        await this.inputRead();
        this.behindSince = undefined;
    }

    /** Marks the start of each turn while tasks wait: its immediate was queued before theirs. */
    private startPacing(): void {
        if (this.pacing) {
            return;
        }
        this.pacing = true;
        const pace = () => {
            this.turnStartedAt = steadyNow();
            this.pacing = this.waitingTasks > 0;
            if (this.pacing) {
                setImmediate(pace);
            }
        };
        setImmediate(pace);
    }
}

/** The event loop of this process. */
export const eventLoop = new EventLoop();

/** A running timer. */
export interface FairTimer {
    cancel(): void;
}

/**
 * Calls back after `ms` unless cancelled. If the process was too late to fire the timer in time, input that has arrived
 * meanwhile is read first and may still cancel it.
 */
export function startFairTimer(callback: () => void, ms: number): FairTimer {
    const dueAt = steadyNow() + ms;
    let state: "waiting" | "late" | "done" = "waiting";
    const expire = () => {
        state = "done";
        callback();
    };
    const expireAfterInput = async () => {
        state = "late";
        await eventLoop.inputRead();
        if (state === "late") {
            eventLoop.countLateTimer("expired");
            expire();
        }
    };
    const timer = setTimeout(() => {
        if (steadyNow() - dueAt > lateTimerMs) {
            void expireAfterInput();
        }
        else {
            expire();
        }
    }, ms);
    return {
        cancel: () => {
            clearTimeout(timer);
            if (state === "late") {
                eventLoop.countLateTimer("arrived");
            }
            state = "done";
        },
    };
}

async function turns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
