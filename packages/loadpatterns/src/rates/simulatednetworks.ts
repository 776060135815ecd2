/** Delayed message delivery on a simulated clock that advances in steps. */
import { steadyNow } from "@winchpath/core";
import { type SeededRandom } from "../seededrandoms.js";

/** Maximum one-way delay of a message, in milliseconds. */
const maxDelayMs = 5;

interface ScheduledAction {
    readonly dueAt: number;
    readonly action: () => void;
}

/** Queues messages and other delayed actions until they are due. */
export class SimulatedNetwork {
    private scheduled: ScheduledAction[] = [];

    public constructor(private readonly random: SeededRandom) {}

    /** Schedules an action after a delay in milliseconds. */
    public schedule(ms: number, action: () => void): void {
        this.scheduled.push({ dueAt: steadyNow() + ms, action });
    }

    /** Delivers a message after a random network delay. */
    public send(deliver: () => void): void {
        this.schedule(1 + this.random.uniform() * (maxDelayMs - 1), deliver);
    }

    /** Runs all due actions in order of time. */
    public runDue(): void {
        const now = steadyNow();
        const due = this.scheduled.filter(({ dueAt }) => dueAt <= now);
        this.scheduled = this.scheduled.filter(({ dueAt }) => dueAt > now);
        due.sort((a, b) => a.dueAt - b.dueAt).forEach(({ action }) => action());
    }
}
