/** Opens connections to upstreams, tells resets from regular closes and knows which connections are open. */
import { startFairTimer } from "@winchpath/core";
import { connect, type Socket } from "node:net";
import { type buildConnector } from "undici";

/**
 * undici treats a response without a length as complete if the connection fails with ECONNRESET. Under any other code
 * it reports an error.
 */
const resetErrorCode = "ECONNRESET";
const truncatedErrorCode = "UPSTREAM_RESET";

/**
 * Idle time before TCP keep-alive probes start, in milliseconds. Node.js sends ten probes one second apart, so that a
 * dead connection is closed after about eleven seconds.
 */
const keepAliveProbeDelayMs = 1000;

/** Detects connections that were reset by the upstream, and counts the open ones. */
export class ConnectionMonitor {
    private readonly open = new Set<Socket>();
    private resetting = false;

    /** Whether any connection is open, as far as the ends of connections have been read. */
    public get hasOpenConnection(): boolean {
        return this.open.size > 0;
    }

    /** Whether the connection that is emitting its end event was reset. */
    public get wasReset(): boolean {
        return this.resetting;
    }

    /** Registers listeners that run before those of undici. */
    public attach(socket: Socket): void {
        this.open.add(socket);
        socket.once("close", () => this.open.delete(socket));
        socket.prependListener("error", (err: NodeJS.ErrnoException) => {
            if (err.code === resetErrorCode) {
                err.code = truncatedErrorCode;
            }
        });
        // A reset that arrives together with data is reported as a regular end. The socket has no remote address after
        // a reset, but still has one after a regular close.
        socket.prependListener("end", () => {
            this.open.delete(socket);
            this.resetting = socket.remoteAddress === undefined;
            process.nextTick(() => {
                this.resetting = false;
            });
        });
    }
}

/** Opens connections; `timeoutMs`: time to establish one, as far as answers to it have been read. */
export function upstreamConnector(timeoutMs: number, monitor: ConnectionMonitor): buildConnector.connector {
    return ({ hostname, port }, callback) => {
        const socket = connect({
            host: hostname,
            port: Number(port),
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: keepAliveProbeDelayMs,
        });
        const timer = startFairTimer(() => socket.destroy(new Error("connect timeout")), timeoutMs);
        const onError = (err: Error) => {
            timer.cancel();
            callback(err, noSocket);
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            timer.cancel();
            socket.off("error", onError);
            monitor.attach(socket);
            callback(noError, socket);
        });
    };
}

// undici's callback type requires null for an absent value.
// eslint-disable-next-line no-restricted-syntax
const noError = null;
// eslint-disable-next-line no-restricted-syntax
const noSocket = null;
