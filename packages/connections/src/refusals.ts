/** Responses to clients whose requests are refused before they are complete; none of these requests has been executed. */
import { STATUS_CODES } from "node:http";
import { type Socket } from "node:net";

/** Time for a client to read the response, in milliseconds; longer than a round trip between data centres. */
const lingerMs = 1000;
/** When a client may come back that was refused for lack of memory or descriptors, in seconds. */
export const retryAfterSeconds = 0.1;

export type RefusalStatus = 431 | 503;

/**
 * Sends a response that announces the close of the connection, and closes it after a while: closing it at once would reset
 * it because of its unread input, and a reset can overtake the response. For lack of memory it is closed as soon as the
 * response is sent, since its request is held until then.
 */
export function refuseConnection(socket: Socket, status: RefusalStatus): void {
    const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, "Content-Length: 0", "Connection: close"];
    const isMemoryScarce = status === 503;
    if (isMemoryScarce) {
        lines.push(`Retry-After: ${retryAfterSeconds}`);
    }
    const timer = setTimeout(() => socket.destroy(), lingerMs);
    socket.once("close", () => clearTimeout(timer));
    socket.end([...lines, "", ""].join("\r\n"), () => {
        if (isMemoryScarce) {
            socket.destroy();
        }
    });
}
