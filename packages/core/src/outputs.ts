/** How much of its output a connection has handed over. */
import { type Socket } from "node:net";

/** What the runtime knows of a connection and doesn't offer otherwise. */
interface SocketHandle {
    /** Bytes of writes under way that the kernel hasn't taken. */
    readonly writeQueueSize?: number;
}

/**
 * Bytes that the kernel has taken of a connection's output; only the difference between two calls has a meaning. The public
 * counters of a socket change once a whole write is complete, which is a whole answer where that was written at once.
 */
export function takenOutputBytes(socket: Socket): number {
    const { _handle: handle } = socket as { readonly _handle?: SocketHandle | null; };
    return socket.bytesWritten - socket.writableLength - (handle?.writeQueueSize ?? 0);
}
