/** Lets connections whose input waits here continue one after the other, a bounded time in each turn of the event loop. */
import { steadyNow } from "@winchpath/core";

/** Time for connections that wait, in each turn of the event loop, in milliseconds. */
const turnMs = 5;

/** A connection with input that has been read, but not parsed. */
export interface WaitingInput {
    /** Parses a part of the input. */
    takeTurn(): void;
}

export class InputTurns {
    private readonly waiting = new Set<WaitingInput>();
    private isScheduled = false;

    public add(input: WaitingInput): void {
        this.waiting.add(input);
        this.schedule();
    }

    public delete(input: WaitingInput): void {
        this.waiting.delete(input);
    }

    private schedule(): void {
        if (!this.isScheduled && this.waiting.size > 0) {
            this.isScheduled = true;
            setImmediate(() => this.run());
        }
    }

    private run(): void {
        this.isScheduled = false;
        const end = steadyNow() + turnMs;
        // Those that wait again are added at the end.
        for (const input of [...this.waiting]) {
            this.waiting.delete(input);
            input.takeTurn();
            if (steadyNow() >= end) {
                break;
            }
        }
        this.schedule();
    }
}
