/** Opens connections to upstreams, and knows which ones are open. */
import { FramingGuard, ResetDetector, startFairTimer, steadyNow } from "@winchpath/core";
import { connect, type Socket } from "node:net";
import { type buildConnector } from "undici";

/**
 * Idle time before TCP keep-alive probes start, in milliseconds. Node.js sends ten probes one second apart, so that a
 * dead connection is closed after about eleven seconds.
 */
const keepAliveProbeDelayMs = 1000;

/** Tells resets from regular closes, and knows on which open connections something has been read lately. */
export class ConnectionMonitor extends ResetDetector {
    /** Bounds what responses have besides their content. */
    public readonly framing = new FramingGuard();
    /** Monotonic time of the last input, by open connection. */
    private readonly open = new Map<Socket, number>();

    /**
     * Whether something was read within the last `ms` milliseconds on a connection that is open, as far as the ends of
     * connections have been read. One that has gone silent stays open, whatever became of its peer.
     */
    public hasReadWithin(ms: number): boolean {
        const from = steadyNow() - ms;
        return [...this.open.values()].some(readAt => readAt >= from);
    }

    public override attach(socket: Socket): void {
        super.attach(socket);
        this.framing.attach(socket);
        this.open.set(socket, steadyNow());
        socket.prependListener("readable", () => {
            if (this.open.has(socket)) {
                this.open.set(socket, steadyNow());
            }
        });
        socket.prependListener("end", () => this.open.delete(socket));
        socket.once("close", () => this.open.delete(socket));
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
