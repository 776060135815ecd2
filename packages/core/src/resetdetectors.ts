/** Tells resets of connections from regular closes. */
import { type Socket } from "node:net";

/**
 * undici treats a response without a length as complete if the connection fails with ECONNRESET. Under any other code
 * it reports an error.
 */
const resetErrorCode = "ECONNRESET";
const truncatedErrorCode = "UPSTREAM_RESET";

/** Detects connections that were reset by the upstream. */
export class ResetDetector {
    private resetting = false;

    /** Whether the connection that is emitting its end event was reset. */
    public get wasReset(): boolean {
        return this.resetting;
    }

    /** Registers listeners that run before those of undici. */
    public attach(socket: Socket): void {
        socket.prependListener("error", (err: NodeJS.ErrnoException) => {
            if (err.code === resetErrorCode) {
                err.code = truncatedErrorCode;
            }
        });
        // A reset that arrives together with data is reported as a regular end. The socket has no remote address after
        // a reset, but still has one after a regular close.
        socket.prependListener("end", () => {
            this.resetting = socket.remoteAddress === undefined;
            process.nextTick(() => {
                this.resetting = false;
            });
        });
    }
}
