/**
 * Structured logging: one JSON line per event on standard output. Writing never
 * blocks. Each kind of event is rate-limited; suppressed lines are counted and
 * reported.
 */
import { pino } from "pino";
import { steadyNow } from "./clocks.js";

/** Fields of an event. Must not contain secrets. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Log of a process's decisions and state changes. */
export interface EventLog {
    /** Logs a normal decision or change. */
    info(event: string, values?: EventFields): void;
    /** Logs a failure or loss; has a higher rate limit. */
    warn(event: string, values?: EventFields): void;
}

/** Discards all events; for tests and tools. */
export const silentLog: EventLog = { info: () => undefined, warn: () => undefined };

/** Lines per second for each kind of normal event; a busy entry forwards a few hundred requests per second. */
const maxInfoLinesPerSecond = 300;
/** Lines per second for each kind of failure. */
const maxWarnLinesPerSecond = 600;
/** Bytes buffered for a slow reader of standard output before lines are dropped. */
const maxBufferedBytes = 1 << 20;
/** Bytes that are buffered before a write. */
const minWriteBytes = 4096;
/** Interval in milliseconds at which buffered lines are written regardless of their size. */
const flushIntervalMs = 250;

interface LineCount {
    written: number;
    suppressed: number;
}

/** Writes events to standard output through a bounded buffer. */
export class StdoutEventLog implements EventLog {
    private readonly output = pino.destination({
        dest: 1,
        sync: false,
        minLength: minWriteBytes,
        maxLength: maxBufferedBytes,
    });
    private logger;
    private readonly lineCounts = new Map<string, LineCount>();
    private readonly timer: NodeJS.Timeout;
    private windowStart = steadyNow();
    private droppedLines = 0;

    public constructor(process: string) {
        this.logger = pino({ base: { process }, timestamp: pino.stdTimeFunctions.epochTime }, this.output);
        this.output.on("drop", () => this.droppedLines++);
        // A closed standard output must not terminate the process.
        this.output.on("error", () => this.droppedLines++);
        this.timer = setInterval(() => this.flush(), flushIntervalMs);
        this.timer.unref();
    }

    /** Adds the host to all further lines, once it is known from the settings. */
    public setHost(host: string): void {
        this.logger = this.logger.child({ host });
    }

    /** Number of lines dropped since the start, because of a slow reader or the rate limit. */
    public get dropped(): number {
        return this.droppedLines;
    }

    public info(event: string, values: EventFields = {}): void {
        if (this.tryAcquire(event, maxInfoLinesPerSecond)) {
            this.logger.info({ event, steadyMs: Math.round(steadyNow()), ...values });
        }
    }

    public warn(event: string, values: EventFields = {}): void {
        if (this.tryAcquire(event, maxWarnLinesPerSecond)) {
            this.logger.warn({ event, steadyMs: Math.round(steadyNow()), ...values });
        }
    }

    /** Writes the buffered lines before the process exits. */
    public close(): void {
        clearInterval(this.timer);
        try {
            this.output.flushSync();
        }
        catch {
            // Standard output is closed or blocked; the process exits regardless.
        }
    }

    private tryAcquire(event: string, perSecond: number): boolean {
        if (steadyNow() - this.windowStart >= 1000) {
            this.startWindow();
        }
        let count = this.lineCounts.get(event);
        if (count === undefined) {
            count = { written: 0, suppressed: 0 };
            this.lineCounts.set(event, count);
        }
        if (count.written >= perSecond) {
            count.suppressed += 1;
            this.droppedLines += 1;
            return false;
        }
        count.written += 1;
        return true;
    }

    private startWindow(): void {
        const suppressed = [...this.lineCounts].filter(([, count]) => count.suppressed > 0);
        this.lineCounts.clear();
        this.windowStart = steadyNow();
        for (const [kind, count] of suppressed) {
            this.logger.warn({ event: "log.left-out", kind, lines: count.suppressed });
        }
    }

    private flush(): void {
        this.output.flush(() => undefined);
    }
}
