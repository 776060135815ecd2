/** Mocked time for tests of asynchronous tasks. */
import { mock } from "node:test";

/** Step in which mocked time advances, in milliseconds. */
const stepMs = 5;

/** Advances mocked time, and runs the timers and tasks that become due. */
export async function advanceTime(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
        mock.timers.tick(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
}
