/** Whether a client takes something of the output that waits for it. */
import { steadyNow, takenOutputBytes } from "@winchpath/core";
import { type Socket } from "node:net";

/** Time after which output that the client doesn't take makes its connection expendable, in milliseconds. */
const minStalledMs = 1000;

export class OutputProgress {
    private takenBytes = 0;
    private progressAt = steadyNow();

    public constructor(private readonly socket: Socket) {}

    /** Called at short intervals, with the bytes that wait. */
    public update(waitingBytes: number, now: number): void {
        const takenBytes = takenOutputBytes(this.socket);
        if (waitingBytes === 0 || takenBytes !== this.takenBytes) {
            this.progressAt = now;
        }
        this.takenBytes = takenBytes;
    }

    /** Time since the client last took something, or had nothing to take, in milliseconds. */
    public pauseMs(now: number): number {
        return now - this.progressAt;
    }

    /** Whether output waits that the client doesn't seem to take. */
    public isStalled(waitingBytes: number): boolean {
        return waitingBytes > 0 && this.pauseMs(steadyNow()) >= minStalledMs;
    }
}
