/** Guards the connections of HTTP/2 servers: their number, the time until the first call, and idle ones when others come. */
import { steadyNow } from "@winchpath/core";
import { type Http2Server, type ServerHttp2Session, type ServerHttp2Stream } from "node:http2";
import { type Socket } from "node:net";
import { defaultConnectionLimits } from "./connectionlimits.js";
import {
    type CloseReason,
    type ConnectionPool,
    type Expendability,
    type PooledConnection,
    type PooledListener,
} from "./connectionpools.js";
import { type ListenerOptions } from "./httpguards.js";
import { replaceListeners } from "./listenerreplacements.js";

/** Calls that a peer may have under way on one connection. */
export const maxConcurrentCalls = 256;

class SessionConnection implements PooledConnection {
    /** The protocol bounds what a session holds; it isn't counted here. */
    public readonly heldBytes = 0;
    public hasServed = false;
    public progressAt = steadyNow();
    public readonly remoteAddress: string;
    private calls = 0;

    public constructor(
        private readonly socket: Socket,
        private readonly pool: ConnectionPool,
        private readonly listener: PooledListener,
    ) {
        this.remoteAddress = socket.remoteAddress ?? "";
        socket.once("close", () => this.pool.delete(this.listener, this));
    }

    public get expendability(): Expendability {
        return this.calls === 0 ? "idle" : "needed";
    }

    public begin(stream: ServerHttp2Stream): void {
        this.calls += 1;
        this.hasServed = true;
        this.listener.idle.delete(this);
        stream.once("close", () => this.settle());
    }

    public checkTimes(now: number): CloseReason | undefined {
        const { headerTimeoutMs } = defaultConnectionLimits;
        return !this.hasServed && now - this.progressAt > headerTimeoutMs ? "head-late" : undefined;
    }

    public close(): void {
        this.socket.destroy();
        this.pool.delete(this.listener, this);
    }

    private settle(): void {
        this.calls -= 1;
        this.progressAt = steadyNow();
        if (this.calls === 0 && this.listener.connections.has(this)) {
            this.listener.idle.add(this);
        }
    }
}

/** Guards a server's connections. Call it once all other listeners for its connections are registered. */
export function guardHttp2Server(server: Http2Server, pool: ConnectionPool, options: ListenerOptions): void {
    const listener = pool.register(options.name, options.weight);
    const connections = new WeakMap<ServerHttp2Session, SessionConnection>();
    /** The connection for which a session is being created. */
    let accepted: SessionConnection | undefined;

    replaceListeners<(socket: Socket) => void>(server, "connection", accept => socket => {
        if (!pool.makeRoom(listener)) {
            socket.destroy();
            return;
        }
        accepted = new SessionConnection(socket, pool, listener);
        pool.add(listener, accepted);
        accept(socket);
    });
    server.on("session", session => {
        if (accepted !== undefined) {
            connections.set(session, accepted);
            accepted = undefined;
        }
    });
    server.on("stream", (stream: ServerHttp2Stream) => {
        if (stream.session !== undefined) {
            connections.get(stream.session as ServerHttp2Session)?.begin(stream);
        }
    });
}
