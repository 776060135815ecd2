/**
 * Structured logs: one JSON line an event, on standard output. Writing never
 * blocks, and the volume is bounded: each kind of event has a number of lines
 * a second, and what is left out is counted and said.
 */
import { pino } from "pino";
import { steadyNow } from "./clocks.js";

/** Values that may stand in an event. Secrets are never passed. */
export type EventValues = Readonly<Record<string, unknown>>;

/** Where a process tells what it decides and believes. */
export interface EventLog {
    /** An ordinary decision or change. */
    info(event: string, values?: EventValues): void;
    /** Something that failed or was lost; left out last. */
    warn(event: string, values?: EventValues): void;
}

/** Drops everything; for tests and tools. */
export const silentLog: EventLog = { info: () => undefined, warn: () => undefined };

/** Lines a second of one kind of ordinary event; a busy entry forwards a few hundred requests a second. */
const infoPerSecond = 300;
/** Lines a second of one kind of failure. */
const warnPerSecond = 600;
/** Bytes that wait for a slow reader of standard output before lines are dropped. */
const maxBufferedBytes = 1 << 20;
/** Bytes that are gathered before they are written. */
const chunkBytes = 4096;
/** Time in milliseconds after which gathered lines are written, however few. */
const flushMs = 250;

interface Allowance {
    lines: number;
    left: number;
}

/** Writes to standard output through a buffer. */
export class StandardEventLog implements EventLog {
    private readonly output = pino.destination({
        dest: 1,
        sync: false,
        minLength: chunkBytes,
        maxLength: maxBufferedBytes,
    });
    private lines;
    private readonly kinds = new Map<string, Allowance>();
    private readonly timer: NodeJS.Timeout;
    private windowStart = steadyNow();
    private droppedLines = 0;

    public constructor(process: string) {
        this.lines = pino({ base: { process }, timestamp: pino.stdTimeFunctions.epochTime }, this.output);
        this.output.on("drop", () => this.droppedLines++);
        // A closed standard output must not end the process; there is nobody left to tell.
        this.output.on("error", () => this.droppedLines++);
        this.timer = setInterval(() => this.flush(), flushMs);
        this.timer.unref();
    }

    /** Names the host in all lines from now on, once the settings have told it. */
    public nameHost(host: string): void {
        this.lines = this.lines.child({ host });
    }

    /** Lines that were left out since the start, for a slow reader or too many of a kind. */
    public get dropped(): number {
        return this.droppedLines;
    }

    public info(event: string, values: EventValues = {}): void {
        if (this.admits(event, infoPerSecond)) {
            this.lines.info({ event, steadyMs: Math.round(steadyNow()), ...values });
        }
    }

    public warn(event: string, values: EventValues = {}): void {
        if (this.admits(event, warnPerSecond)) {
            this.lines.warn({ event, steadyMs: Math.round(steadyNow()), ...values });
        }
    }

    /** Writes what is gathered, before the process ends. */
    public end(): void {
        clearInterval(this.timer);
        try {
            this.output.flushSync();
        }
        catch {
            // The reader is gone or full; the process ends all the same.
        }
    }

    private admits(event: string, perSecond: number): boolean {
        if (steadyNow() - this.windowStart >= 1000) {
            this.startWindow();
        }
        let allowance = this.kinds.get(event);
        if (allowance === undefined) {
            allowance = { lines: 0, left: 0 };
            this.kinds.set(event, allowance);
        }
        if (allowance.lines >= perSecond) {
            allowance.left += 1;
            this.droppedLines += 1;
            return false;
        }
        allowance.lines += 1;
        return true;
    }

    private startWindow(): void {
        const left = [...this.kinds].filter(([, allowance]) => allowance.left > 0);
        this.kinds.clear();
        this.windowStart = steadyNow();
        for (const [kind, allowance] of left) {
            this.lines.warn({ event: "log.left-out", kind, lines: allowance.left });
        }
    }

    private flush(): void {
        this.output.flush(() => undefined);
    }
}
