/** A simulated clock that replaces the runtime's clock and timers, so that production code runs on it unchanged. */
import { mock } from "node:test";

const stepMs = 1;
const epochMs = 1_000_000_000;

export class SimulatedClock {
    /** Replaces the runtime's clock and timers. Only one simulated clock can be installed in a process. */
    public static install(): SimulatedClock {
        mock.timers.enable({ apis: ["Date", "setTimeout", "setInterval"], now: epochMs });
        return new SimulatedClock();
    }

    /** Milliseconds since the clock was installed. */
    public get now(): number {
        return Date.now() - epochMs;
    }

    /** Advances the clock step by step, and runs due timers and the callbacks that follow from them. */
    public async advance(ms: number): Promise<void> {
        const end = this.now + ms;
        while (this.now < end) {
            mock.timers.tick(stepMs);
            await flushPendingCallbacks();
        }
    }

    /** Restores the runtime's clock and timers. */
    public restore(): void {
        mock.timers.reset();
    }
}

/** Resolves once pending microtasks have run. */
function flushPendingCallbacks(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
