/** Observes the connections that the HTTP client opens. */
import { Socket } from "node:net";
import { type buildConnector } from "undici";

/** Calls `onOpen` with each new connection, before the HTTP client uses it. */
export function observedConnector(
    connect: buildConnector.connector,
    onOpen: (socket: Socket) => void,
): buildConnector.connector {
    return (options, callback) =>
        connect(options, (...result: Parameters<buildConnector.Callback>) => {
            const [, socket] = result;
            if (socket instanceof Socket) {
                onOpen(socket);
            }
            callback(...result);
        });
}
