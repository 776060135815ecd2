/**
 * Connections of clients to an HTTP server. A request is handled only if its response can still be sent, and a connection
 * is closed only once its responses are sent and the client has had time to use it again.
 */
import { type ServerResponse } from "node:http";
import { Server, type Socket } from "node:net";
import { steadyNow } from "./clocks.js";
import { Notifier, sleep } from "./tasks.js";

/**
 * How long a connection stays open during a shutdown after its last response was sent or input was received, in
 * milliseconds. A client that doesn't know of the shutdown may have sent its next request by then; on an open connection
 * it is answered.
 */
export const reuseWaitMs = 500;
/**
 * Time for a client to close its side after this one has been ended, in milliseconds. Closing a connection with unread
 * input resets it, and a reset can overtake the end of the response.
 */
export const closeWaitMs = 1000;
/** Interval at which connections are checked during a shutdown, in milliseconds. */
const checkMs = 25;
/** Longest time between two checks whether it is a response's turn, in milliseconds. */
const turnCheckMs = 1000;

/** The part of a response that its connection needs to know. */
export type SentResponse = Pick<ServerResponse, "once">;
/** The part of a socket that is used here. */
export type ClientSocket = Pick<
    Socket,
    "writable" | "destroyed" | "bytesRead" | "end" | "destroy" | "destroySoon" | "once"
>;

/** A connection of one client. */
export class ClientConnection {
    /** Responses that have not been sent completely, in the order of their requests. */
    private readonly pending: SentResponse[] = [];
    private readonly advanced = new Notifier();
    private usedAt = steadyNow();
    private bytesRead = 0;
    private closeTimer: NodeJS.Timeout | undefined;
    private closedHere = false;

    public constructor(private readonly socket: ClientSocket) {
        // The HTTP server calls this after a response that announced the close of its connection.
        socket.destroySoon = () => this.end();
        socket.once("close", () => this.onClose());
    }

    /** Number of responses that have not been sent completely. */
    public get pendingResponses(): number {
        return this.pending.length;
    }

    /** Whether this process has ended or closed the connection, rather than the client. */
    public get isClosedHere(): boolean {
        return this.closedHere;
    }

    /**
     * Waits until the responses to all earlier requests are sent. Resolves to whether the connection can carry this one:
     * not if it was closed meanwhile, or if an earlier response announced its close.
     */
    public async awaitTurn(res: SentResponse): Promise<boolean> {
        this.pending.push(res);
        res.once("finish", () => this.onSent(res));
        while (this.pending.length > 0 && this.pending[0] !== res && this.socket.writable) {
            await this.advanced.wait(turnCheckMs);
        }
        return this.socket.writable;
    }

    /** Whether a later request than the one of this response has been read, which is answered after it. */
    public hasLaterRequest(res: SentResponse): boolean {
        return this.pending.length > 0 && this.pending.at(-1) !== res;
    }

    /** Closes the connection if nothing is pending and it has not been used for a while. */
    public closeIfUnused(): void {
        const { bytesRead } = this.socket;
        if (bytesRead !== this.bytesRead) {
            this.bytesRead = bytesRead;
            this.usedAt = steadyNow();
        }
        const isUnused = this.pending.length === 0 && steadyNow() - this.usedAt >= reuseWaitMs;
        if (isUnused && this.closeTimer === undefined) {
            // A request that arrives now remains unread, so that its client knows that it was not executed.
            this.close();
        }
    }

    /** Closes the connection at once, whatever is pending. */
    public close(): void {
        this.closedHere = true;
        this.socket.destroy();
    }

    private onSent(res: SentResponse): void {
        this.usedAt = steadyNow();
        this.bytesRead = this.socket.bytesRead;
        this.pending.splice(this.pending.indexOf(res), 1);
        this.advanced.notify();
    }

    /** Ends this side, and closes the connection once the client has ended its own or has had time to. */
    private end(): void {
        if (this.closeTimer === undefined && !this.socket.destroyed) {
            this.closedHere = true;
            this.closeTimer = setTimeout(() => this.socket.destroy(), closeWaitMs);
            this.socket.end();
        }
    }

    private onClose(): void {
        clearTimeout(this.closeTimer);
        this.pending.length = 0;
        this.advanced.notify();
    }
}

/** All connections of an HTTP server. */
export class ClientConnections {
    private readonly connections = new Map<Socket, ClientConnection>();

    /** Call before the server listens. */
    public constructor(private readonly server: Server) {
        server.on("connection", socket => this.of(socket));
    }

    /** Number of responses that have not been sent completely. */
    public get pendingResponses(): number {
        let count = 0;
        this.connections.forEach(({ pendingResponses }) => count += pendingResponses);
        return count;
    }

    public of(socket: Socket): ClientConnection {
        let connection = this.connections.get(socket);
        if (connection === undefined) {
            connection = new ClientConnection(socket);
            this.connections.set(socket, connection);
            socket.once("close", () => this.connections.delete(socket));
        }
        return connection;
    }

    /** Whether a later request than the one of this response has been read from an open connection. */
    public hasLaterRequest(socket: Socket, res: SentResponse): boolean {
        return this.connections.get(socket)?.hasLaterRequest(res) ?? false;
    }

    /**
     * Stops listening, and closes each connection once it is out of use; those that are left at the deadline, a monotonic
     * time, are closed then. Requests that arrive meanwhile must be answered with `Connection: close`. Resolves to the
     * number of responses that were cut off.
     */
    public async close(deadline: number): Promise<number> {
        // The `close` of an HTTP server also closes connections whose responses are ended, but not sent yet.
        Reflect.apply(Server.prototype.close, this.server, []);
        while (this.connections.size > 0 && steadyNow() < deadline) {
            this.connections.forEach(connection => connection.closeIfUnused());
            await sleep(Math.min(checkMs, Math.max(0, deadline - steadyNow())));
        }
        const { pendingResponses } = this;
        this.connections.forEach(connection => connection.close());
        return pendingResponses;
    }
}
