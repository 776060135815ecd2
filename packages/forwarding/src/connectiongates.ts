/**
 * Accepts the connections of clients. On a host that lacks processor time, connections beyond its capacity are answered
 * with a 503 before anything is read from them, which takes a small part of the time of reading a request.
 */
import { type EventLog, eventLoop, type Metrics } from "@winchpath/core";
import { type ConnectionCounts, ConnectionLimiter } from "@winchpath/hostload";
import { type Server, type Socket } from "node:net";
import { LocalResponse } from "./localresponses.js";

/** Retry-After of rejected connections, in milliseconds: the client connects anew, mostly to another host. */
const rejectedRetryMs = 100;
/** Time for a client to read the response, in milliseconds; longer than a round trip between data centres. */
const lingerMs = 1000;
/** Bound on the rejected connections that are kept open for that time; the oldest are closed early. */
const maxLingering = 512;

const { status, reason } = LocalResponse.hostLoaded;
const body = JSON.stringify({ error: reason });
const rejection = [
    `HTTP/1.1 ${status} Service Unavailable`,
    "Content-Type: application/json",
    `Content-Length: ${body.length}`,
    `Retry-After: ${(rejectedRetryMs / 1000).toFixed(2)}`,
    "Connection: close",
    "",
    body,
].join("\r\n");

export class ConnectionGate {
    private readonly limiter = new ConnectionLimiter();
    private openConnections = 0;
    private rejected = 0;
    private readonly lingering = new Set<Socket>();
    /** Whether turns of the event loop are being watched, and whether a connection has arrived in the current one. */
    private watching = false;
    private arrivedInTurn = false;
    /** Whether this host is known to lack processor time that others have, so that the queue may stand for less time. */
    private isHostScarce = false;

    public constructor(private readonly log: EventLog, private readonly metrics: Metrics) {}

    /** Number of open connections, including rejected ones that their clients have yet to close. */
    public get open(): number {
        return this.openConnections;
    }

    /** Connections that have arrived since the last call. */
    public takeCounts(): ConnectionCounts {
        return this.limiter.takeCounts();
    }

    /** Sets the tightest objective among the routes, in milliseconds. */
    public setObjective(objectiveMs: number): void {
        this.limiter.setObjective(objectiveMs);
    }

    /** Puts itself before the server's own handling of new connections. */
    public guard(server: Server): void {
        const listeners = server.listeners("connection");
        server.removeAllListeners("connection");
        // As by the option of this name, which an HTTP server doesn't pass on: nothing is read before a decision.
        Object.assign(server, { pauseOnConnect: true });
        server.on("connection", (socket: Socket) => {
            this.count(socket);
            if (this.admits()) {
                listeners.forEach(listener => void Reflect.apply(listener, server, [socket]));
                socket.resume();
            }
            else {
                this.rejected += 1;
                this.reject(socket);
            }
        });
    }

    /** Called at short intervals while this host lacks processor time; reports what has been rejected since the last call. */
    public sample(): void {
        this.isHostScarce = true;
        this.report();
    }

    /** Called in place of `sample` while no lack is known: connections are rejected only once they have waited for long. */
    public reset(): void {
        this.isHostScarce = false;
        this.report();
    }

    private report(): void {
        if (this.rejected > 0) {
            this.metrics.count("connections_rejected_total", {}, this.rejected);
            this.log.info("connections.rejected", {
                count: this.rejected,
                open: this.openConnections,
                loopDelayMs: eventLoop.delayMs,
            });
            this.rejected = 0;
        }
    }

    private admits(): boolean {
        this.arrivedInTurn = true;
        if (!this.watching) {
            this.watching = true;
            void this.watchTurns();
        }
        return this.limiter.admit(this.isHostScarce);
    }

    /** Runs until a turn of the event loop finds no connection. */
    private async watchTurns(): Promise<void> {
        while (this.arrivedInTurn) {
            // To the end of the current turn, and of the next one, which would find a connection that waits.
            await endOfTurn();
            this.arrivedInTurn = false;
            await endOfTurn();
        }
        this.watching = false;
        this.limiter.recordEmpty();
    }

    /**
     * Responds without reading the request, and leaves the client time to read the response: closing a connection with
     * unread input resets it.
     */
    private reject(socket: Socket): void {
        const timer = setTimeout(() => socket.destroy(), lingerMs);
        this.lingering.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            clearTimeout(timer);
            this.lingering.delete(socket);
        });
        socket.end(rejection);
        const [oldest] = this.lingering;
        if (this.lingering.size > maxLingering) {
            oldest.destroy();
        }
    }

    private count(socket: Socket): void {
        this.openConnections += 1;
        socket.once("close", () => this.openConnections -= 1);
    }
}

async function endOfTurn(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}
