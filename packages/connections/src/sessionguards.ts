/** Guards the connections of HTTP/2 servers: their number, and what calls on them hold and how long they take. */
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
import { HeldBytes } from "./heldbytes.js";
import { type ListenerOptions } from "./httpguards.js";
import { replaceListeners } from "./listenerreplacements.js";
import { OutputProgress } from "./outputprogress.js";

/** Calls that a peer may have under way on one connection. */
export const maxConcurrentCalls = 256;

const { headerTimeoutMs, requestTimeoutMs, unreadTimeoutMs } = defaultConnectionLimits;

/** A call under way. */
interface Call {
    readonly stream: ServerHttp2Stream;
    readonly startedAt: number;
    /** Bytes of its request's message so far. */
    messageBytes: number;
    isComplete: boolean;
}

class SessionConnection implements PooledConnection {
    /** A replica that lacks much is sent all of it in one message, which must get through. */
    public readonly mayExceed = true;
    public hasServed = false;
    public progressAt = steadyNow();
    public readonly remoteAddress: string;
    private readonly calls = new Set<Call>();
    private readonly held: HeldBytes;
    /** Bytes of answers that wait for the peer. */
    private outputBytes = 0;
    private readonly output: OutputProgress;

    public constructor(
        private readonly socket: Socket,
        private readonly pool: ConnectionPool,
        private readonly listener: PooledListener,
    ) {
        this.remoteAddress = socket.remoteAddress ?? "";
        this.held = new HeldBytes(pool);
        this.output = new OutputProgress(socket);
        socket.once("close", () => this.release());
    }

    public get heldBytes(): number {
        return this.held.total;
    }

    public get expendability(): Expendability {
        if (this.socket.destroyed) {
            return "closing";
        }
        if (this.calls.size === 0) {
            return "idle";
        }
        if ([...this.calls].some(({ isComplete }) => !isComplete)) {
            return "incomplete";
        }
        return this.output.isStalled(this.outputBytes) ? "unread" : "needed";
    }

    public begin(stream: ServerHttp2Stream): void {
        const call: Call = { stream, startedAt: steadyNow(), messageBytes: 0, isComplete: false };
        this.calls.add(call);
        this.hasServed = true;
        this.listener.idle.delete(this);
        onRead(stream, bytes => this.addMessageBytes(call, bytes));
        stream.once("end", () => call.isComplete = true);
        stream.once("close", () => this.settle(call));
    }

    public checkTimes(now: number): CloseReason | undefined {
        this.updateOutput(now);
        if (!this.hasServed && now - this.progressAt > headerTimeoutMs) {
            return "head-late";
        }
        if ([...this.calls].some(call => !call.isComplete && now - call.startedAt > requestTimeoutMs)) {
            return "request-late";
        }
        return this.outputBytes > 0 && this.output.pauseMs(now) > unreadTimeoutMs ? "unread-output" : undefined;
    }

    public close(): void {
        this.socket.destroy();
        this.release();
    }

    private addMessageBytes(call: Call, bytes: number): void {
        this.progressAt = steadyNow();
        this.pool.addInput(bytes);
        call.messageBytes += bytes;
        this.held.addRequestBytes(bytes);
    }

    private settle(call: Call): void {
        this.calls.delete(call);
        this.progressAt = steadyNow();
        this.held.addRequestBytes(-call.messageBytes);
        if (this.calls.size === 0 && this.listener.connections.has(this)) {
            this.listener.idle.add(this);
        }
    }

    /** Counts what waits for the peer. */
    private updateOutput(now: number): void {
        const bytes = [...this.calls].reduce((sum, { stream }) => sum + stream.writableLength, 0);
        this.output.update(bytes, now);
        this.held.setBufferedBytes(bytes);
        this.outputBytes = bytes;
    }

    private release(): void {
        this.held.release();
        this.pool.delete(this.listener, this);
    }
}

/** Calls back with the length of each piece that the stream's reader reads, without reading itself. */
function onRead(stream: ServerHttp2Stream, callback: (bytes: number) => void): void {
    const addReader = (event: string | symbol) => {
        if (event === "data") {
            stream.removeListener("newListener", addReader);
            stream.on("data", (piece: Buffer) => callback(piece.length));
        }
    };
    stream.on("newListener", addReader);
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
    // Before the call is handled, so that all of its message is counted.
    server.prependListener("stream", (stream: ServerHttp2Stream) => {
        if (stream.session !== undefined) {
            connections.get(stream.session as ServerHttp2Session)?.begin(stream);
        }
    });
}
