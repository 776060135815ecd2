/** Guards the connections of HTTP servers. */
import { type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type ConnectionLimits, defaultConnectionLimits } from "./connectionlimits.js";
import { type ConnectionPool } from "./connectionpools.js";
import { HttpConnection } from "./httpconnections.js";
import { replaceListeners } from "./listenerreplacements.js";
import { retryAfterSeconds } from "./refusals.js";

export interface ListenerOptions {
    /** Name in logs and metrics. */
    readonly name: string;
    readonly weight: ListenerWeight;
    /** Whether a request may need a connection to an upstream. */
    readonly forwards?: boolean;
    /** Limits of each connection, as of now; `defaultConnectionLimits` by default. */
    readonly limits?: () => ConnectionLimits;
}

/** Part of the process's connections that a listener gets when all need them, relative to the other listeners'. */
export const ListenerWeight = {
    clients: 16,
    control: 4,
    peers: 4,
    operators: 2,
    /** For listeners with a few callers that ask small questions. */
    small: 1,
} as const;
export type ListenerWeight = typeof ListenerWeight[keyof typeof ListenerWeight];

const badRequest = 400;
const expectationFailed = 417;
const unavailable = 503;

type ConnectionListener = (socket: Socket) => void;
type RequestListener = (req: IncomingMessage, res: ServerResponse) => void;

/** Guards a server's connections. Call it once all other listeners for its connections and requests are registered. */
export function guardHttpServer(server: Server, pool: ConnectionPool, options: ListenerOptions): void {
    const listener = pool.register(options.name, options.weight, options.forwards);
    const limits = options.limits ?? (() => defaultConnectionLimits);
    const connections = new WeakMap<Socket, HttpConnection>();
    // Else the server itself responds to requests without `Host`, unseen by the guard, which responds in its place.
    Object.assign(server, { requireHostHeader: false });

    replaceListeners<ConnectionListener>(server, "connection", accept => socket => {
        if (!pool.makeRoom(listener)) {
            socket.destroy();
            return;
        }
        accept(socket);
        // The server's parser, which is given the input in slices from here on.
        const parsers = socket.listeners("data") as ((slice: Buffer) => void)[];
        parsers.forEach(parser => socket.removeListener("data", parser));
        const connection = new HttpConnection(
            socket,
            slice => parsers.forEach(parser => void Reflect.apply(parser, socket, [slice])),
            limits,
            pool,
            listener,
        );
        connections.set(socket, connection);
        pool.add(listener, connection);
    });

    replaceListeners<RequestListener>(server, "request", handle => (req, res) => {
        const isAdmitted = connections.get(req.socket)?.begin(req, res) ?? true;
        if (req.httpVersion === "1.1" && req.headers.host === undefined) {
            reject(req, res, badRequest);
        }
        else if (!isAdmitted) {
            reject(req, res, unavailable, { "Retry-After": retryAfterSeconds });
        }
        else {
            handle(req, res);
        }
    });

    // Without a listener the server responds itself, unseen by the guard.
    server.on("checkExpectation", (req: IncomingMessage, res: ServerResponse) => {
        connections.get(req.socket)?.begin(req, res);
        reject(req, res, expectationFailed);
    });
}

function reject(req: IncomingMessage, res: ServerResponse, status: number, headers: OutgoingHttpHeaders = {}): void {
    res.writeHead(status, { ...headers, "Connection": "close", "Content-Length": 0 });
    res.end();
    req.resume();
}
