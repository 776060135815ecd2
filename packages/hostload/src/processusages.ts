/** Reads what this process uses of its host. */
import { steadyNow } from "@winchpath/core";
import { bytesPerMb } from "./hostlimits.js";

/** What a process uses at a moment. */
export interface ProcessUsage {
    /** Processor time since the process started, in milliseconds. */
    readonly processorMs: number;
    /** Resident memory in megabytes. */
    readonly memoryMb: number;
}

/** Minimum time between two readings of the resident memory, in milliseconds; each parses a file of the kernel. */
const memoryIntervalMs = 500;
const microsecondsPerMillisecond = 1000;

export class ProcessUsageReader {
    private memoryMb = 0;
    private memoryReadAt = Number.NEGATIVE_INFINITY;

    public read(): ProcessUsage {
        const { user, system } = process.cpuUsage();
        return { processorMs: (user + system) / microsecondsPerMillisecond, memoryMb: this.readMemory() };
    }

    private readMemory(): number {
        const now = steadyNow();
        if (now - this.memoryReadAt >= memoryIntervalMs) {
            this.memoryReadAt = now;
            this.memoryMb = process.memoryUsage.rss() / bytesPerMb;
        }
        return this.memoryMb;
    }
}
