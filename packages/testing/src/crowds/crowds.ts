/** Runs a crowd of clients that send more than they should and read nothing, and measures the process that they call. */
import { sleep } from "@winchpath/core";
import { readdir, readFile } from "node:fs/promises";
import { TestProcess } from "../deployments/processes.js";
import { type CrowdSpec } from "./schemas.js";

/** Interval at which open descriptors are counted, in milliseconds. */
const sampleMs = 50;
const bytesPerKilobyte = 1024;

/** What a process has used at most. */
export interface PeakUsage {
    /** Resident memory since the start of the process, in megabytes of 1,000,000 bytes. */
    readonly memoryMb: number;
    /** Open descriptors while the crowd ran. */
    readonly fileDescriptors: number;
}

/**
 * Runs a crowd for `durationMs` and until `meanwhile`, which is called then, is done. Resolves to what the process `target`
 * has used at most by then; undefined if it has ended.
 */
export async function runCrowd(
    spec: CrowdSpec,
    target: TestProcess,
    durationMs: number,
    meanwhile: () => Promise<void> = async () => {},
): Promise<PeakUsage | undefined> {
    const crowd = await startCrowd(spec);
    try {
        let fileDescriptors = 0;
        for (const end = Date.now() + durationMs; Date.now() < end && target.running; await sleep(sampleMs)) {
            fileDescriptors = Math.max(fileDescriptors, await countDescriptors(target.pid));
        }
        if (target.running) {
            await meanwhile();
        }
        return target.running ? { memoryMb: await peakMemoryMb(target.pid), fileDescriptors } : undefined;
    }
    finally {
        await crowd.kill();
    }
}

/** Starts a crowd that runs until it is killed. */
export function startCrowd(spec: CrowdSpec): Promise<TestProcess> {
    return TestProcess.startCrowd(JSON.stringify(spec)).waitUntilReady();
}

/** 0 if the process has ended. */
async function countDescriptors(pid: number): Promise<number> {
    return readdir(`/proc/${pid}/fd`).then(names => names.length, () => 0);
}

async function peakMemoryMb(pid: number): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]);
    return kilobytes * bytesPerKilobyte / 1_000_000;
}
