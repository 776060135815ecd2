/**
 * How far this process has fallen behind with its input. A process that didn't run for a while, or that has more to do
 * than its share of a processor allows, decides with what it has read while newer input lies unread in the kernel.
 */
import { steadyNow } from "./clocks.js";
import { type EventLog } from "./eventlogs.js";
import { type Metrics } from "./histograms.js";

/** Interval of the timer that measures the delay, in milliseconds. */
const tickMs = 100;
/** Delay from which on the process counts as behind, in milliseconds; longer than usual garbage collection. */
const behindMs = 100;

export class EventLoop {
    private timer: NodeJS.Timeout | undefined;
    private lastTickAt = 0;

    /** Starts measuring. Processes call this once; without it the loop never counts as behind. */
    public start(log: EventLog, metrics: Metrics): void {
        this.lastTickAt = steadyNow();
        this.timer = setInterval(() => this.tick(log, metrics), tickMs);
        this.timer.unref();
    }

    public stop(): void {
        clearInterval(this.timer);
        this.timer = undefined;
    }

    /** By how much the measuring timer is overdue, in milliseconds; 0 if it is not. */
    public get delayMs(): number {
        return this.timer === undefined ? 0 : Math.max(0, steadyNow() - this.lastTickAt - tickMs);
    }

    private tick(log: EventLog, metrics: Metrics): void {
        const { delayMs } = this;
        this.lastTickAt = steadyNow();
        metrics.histogram("event_loop_delay").record(delayMs);
        if (delayMs >= behindMs) {
            metrics.count("event_loop_behind_total");
            log.warn("loop.behind", { delayMs });
        }
    }
}

/** The event loop of this process. */
export const eventLoop = new EventLoop();
