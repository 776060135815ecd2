/** Paused time for tests that let whole tasks run in it. */
import { mock } from "node:test";

/** Time moves in steps of so many milliseconds. */
const stepMs = 5;

/** Lets so many milliseconds of paused time pass, and everything run that is due meanwhile. */
export async function pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
        mock.timers.tick(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
}
