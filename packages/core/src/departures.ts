/** Detects that a client can no longer receive its response. */
import { type IncomingMessage, type ServerResponse } from "node:http";

/**
 * Calls back at most once when the client ends its side of the connection, resets it, or the connection fails, unless
 * the response is complete by then. The end is reported as soon as it has been read: the `close` event of the response
 * comes only after all output has been taken, which a departed client never does.
 */
export function onClientGone(req: IncomingMessage, res: ServerResponse, callback: () => void): void {
    const { socket } = req;
    const stopListening = () => {
        socket.off("end", onEnd);
        res.off("close", onClose);
    };
    const onEnd = () => {
        // A complete response that is still being sent is delivered.
        if (!res.writableEnded) {
            stopListening();
            callback();
        }
    };
    const onClose = () => {
        stopListening();
        if (!res.writableFinished) {
            callback();
        }
    };
    socket.on("end", onEnd);
    res.on("close", onClose);
}
