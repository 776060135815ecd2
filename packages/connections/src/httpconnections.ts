/**
 * A client's connection to an HTTP server. Its input is given to the server's parser in slices: no further request is read
 * while as many as allowed are under way, and what is held for the client is counted and bounded.
 */
import { steadyNow } from "@winchpath/core";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type ConnectionLimits, maxRequestLineBytes } from "./connectionlimits.js";
import {
    type CloseReason,
    type ConnectionPool,
    type Expendability,
    type PooledConnection,
    type PooledListener,
} from "./connectionpools.js";
import { HeldBytes } from "./heldbytes.js";
import { countChunks, type InputPhase, sliceLength } from "./inputslices.js";
import { type WaitingInput } from "./inputturns.js";
import { OutputProgress } from "./outputprogress.js";
import { type RefusalStatus, refuseConnection } from "./refusals.js";

/** Memory of a request beside its bytes: message, response, listeners and promises, in bytes. */
const requestOverheadBytes = 8 * 1024;
/** Requests that a connection may begin before others get their turn. */
const requestsPerTurn = 2;
/** Chunks of a body that may wait for the handler of its request; each is an object, however short it is. */
const maxUnreadChunks = 256;
/** Time after which it is checked whether the handler has read them, in milliseconds. */
const unreadCheckMs = 10;
/** Bytes that are read after this side has ended, so that the client's own end is noticed. */
const maxBytesAfterEnd = 64 * 1024;
/** Time for the server's own response to a head that comes too late, in milliseconds. */
const headReserveMs = 1000;

/** A request under way. */
interface Exchange {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly startedAt: number;
    /** Bytes that are held because of it. */
    bytes: number;
    /** Bytes of its body that are missing at most; undefined if its length is unknown. */
    bodyLeft: number | undefined;
    /** Whether its response is sent, or it was refused, so that what is left of its body is discarded. */
    isSettled: boolean;
}

export class HttpConnection implements PooledConnection, WaitingInput {
    public hasServed = false;
    public progressAt = steadyNow();
    public readonly remoteAddress: string;
    /** Input that has been read, but not parsed. */
    private unparsed: Buffer | undefined;
    /** Whether the socket was paused here, rather than by the server. */
    private isPausedHere = false;
    /** Requests that have begun. */
    private begun = 0;
    private pending = 0;
    private latest: Exchange | undefined;
    private unreadChunks = 0;
    private unreadTimer: NodeJS.Timeout | undefined;
    /** Bytes since the last request, which belong to the next head or are empty lines, and when the first of them came. */
    private headBytes = 0;
    private headSince = steadyNow();
    private bytesAfterEnd = 0;
    private readonly held: HeldBytes;
    private readonly output: OutputProgress;
    /** Whether the head that arrives is larger than allowed; it is refused once earlier requests are answered. */
    private isHeadTooLarge = false;
    private isRefused = false;

    /** `parse`: gives input to the server's parser. */
    public constructor(
        private readonly socket: Socket,
        private readonly parse: (slice: Buffer) => void,
        private readonly limits: () => ConnectionLimits,
        private readonly pool: ConnectionPool,
        private readonly listener: PooledListener,
    ) {
        this.remoteAddress = socket.remoteAddress ?? "";
        this.held = new HeldBytes(pool);
        this.output = new OutputProgress(socket);
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        socket.on("resume", () => this.continueAfterServer());
        socket.once("close", () => this.release());
    }

    public get heldBytes(): number {
        return this.held.total;
    }

    public get expendability(): Expendability {
        if (this.isRefused || !this.socket.writable) {
            return "closing";
        }
        if (this.pending === 0) {
            return this.headBytes > 0 ? "incomplete" : "idle";
        }
        if (this.pending === 1 && this.isBodyArriving) {
            return "incomplete";
        }
        if (this.output.isStalled(this.socket.writableLength)) {
            return "unread";
        }
        return this.pending >= this.limits().requestsAhead ? "ahead" : "needed";
    }

    /** Called for each request before it is handled. Returns whether it may run; otherwise the caller refuses it. */
    public begin(req: IncomingMessage, res: ServerResponse): boolean {
        const length = Number(req.headers["content-length"]);
        // What won't fit is known before it is read. A body that is too large isn't held at all.
        const reserved = requestOverheadBytes + (length <= this.limits().bodyBytes ? length : 0);
        const exchange: Exchange = {
            req,
            res,
            startedAt: steadyNow(),
            bytes: this.headBytes + reserved,
            bodyLeft: Number.isInteger(length) ? length : undefined,
            isSettled: false,
        };
        this.latest = exchange;
        this.begun += 1;
        this.pending += 1;
        this.headBytes = 0;
        this.listener.idle.delete(this);
        // The request may be complete already, so that the connection must not be closed for the sake of this.
        this.held.addRequestBytes(reserved, this);
        res.once("close", () => this.settle(exchange));
        const isAdmitted = this.pool.admit(this.listener, this, reserved);
        if (!isAdmitted) {
            this.discard(exchange);
        }
        return isAdmitted;
    }

    public takeTurn(): void {
        if (this.isPausedHere) {
            this.parseWhile(1);
        }
    }

    public checkTimes(now: number): CloseReason | undefined {
        const { writableLength } = this.socket;
        this.output.update(writableLength, now);
        this.updateBuffered();
        const { headerTimeoutMs, requestTimeoutMs, unreadTimeoutMs } = this.limits();
        const { latest } = this;
        if (this.isRefused) {
            return undefined;
        }
        if (writableLength > 0 && this.output.pauseMs(now) > unreadTimeoutMs) {
            return "unread-output";
        }
        if (this.isBodyArriving && now - latest!.startedAt > requestTimeoutMs) {
            return "request-late";
        }
        const awaitsHead = this.pending === 0 && (this.headBytes > 0 || this.begun === 0);
        return awaitsHead && now - this.headSince > headerTimeoutMs + headReserveMs ? "head-late" : undefined;
    }

    public close(reason: CloseReason): void {
        const mayRespond = this.expendability === "incomplete" && !this.isAnswered;
        if (mayRespond && (reason === "head-too-large" || reason === "memory")) {
            this.refuse(reason === "memory" ? 503 : 431);
        }
        else {
            this.socket.destroy();
        }
        this.release();
    }

    /** Whether a response to the request whose body is arriving has begun. */
    private get isAnswered(): boolean {
        return this.pending > 0 && this.latest!.res.headersSent;
    }

    /** Whether the latest request's body is not complete. */
    private get isBodyArriving(): boolean {
        return this.latest !== undefined && !this.latest.req.complete;
    }

    private get phase(): InputPhase {
        return this.isBodyArriving ? { kind: "body", bodyLeft: this.latest!.bodyLeft } : { kind: "head" };
    }

    private receive(bytes: Buffer): void {
        this.progressAt = steadyNow();
        this.pool.addInput(bytes.buffer.byteLength);
        if (this.isRefused) {
            return;
        }
        if (this.unparsed === undefined) {
            this.unparsed = bytes;
            this.parseWhile(requestsPerTurn);
        }
        else {
            this.unparsed = Buffer.concat([this.unparsed, bytes]);
            this.pause();
        }
    }

    /**
     * The server pauses the socket itself while responses wait to be sent or a body isn't consumed, and resumes it whenever
     * a body is read, also if it was paused here. Nothing has been read yet when this is called.
     */
    private continueAfterServer(): void {
        if (this.isPausedHere) {
            this.socket.pause();
        }
        else if (this.unparsed !== undefined) {
            this.parseWhile(requestsPerTurn);
        }
    }

    /** Parses what is allowed now, until `maxRequests` have begun. */
    private parseWhile(maxRequests: number): void {
        const lastBegun = this.begun + maxRequests;
        while (this.unparsed !== undefined) {
            if (this.socket.destroyed || this.isRefused) {
                this.unparsed = undefined;
                return;
            }
            if (!this.mayRead()) {
                this.pause();
                return;
            }
            if (this.begun >= lastBegun && !this.isBodyArriving) {
                this.pause();
                this.pool.turns.add(this);
                return;
            }
            if (this.hasUnreadChunks()) {
                this.pause();
                this.unreadTimer = setTimeout(() => this.takeTurn(), unreadCheckMs);
                return;
            }
            this.resume();
            this.parseSlice();
            if (this.isHeadTooLarge) {
                this.unparsed = undefined;
                this.pause();
                return;
            }
            if (this.socket.isPaused()) {
                this.updateBuffered();
                return;
            }
        }
        this.resume();
    }

    private parseSlice(): void {
        const input = this.unparsed;
        if (input === undefined) {
            // The connection was closed for lack of memory as its socket was resumed.
            return;
        }
        const length = sliceLength(input, this.phase);
        this.unparsed = length === input.length ? undefined : input.subarray(length);
        const slice = length === input.length ? input : input.subarray(0, length);
        this.countInput(length);
        if (this.isBodyChunked) {
            this.unreadChunks += countChunks(slice);
        }
        if (!this.isHeadTooLarge && !this.isRefused && !this.socket.destroyed) {
            this.parse(slice);
        }
    }

    private get isBodyChunked(): boolean {
        return this.isBodyArriving && this.latest!.bodyLeft === undefined;
    }

    /** Whether the handler of the latest request has yet to read many chunks of its body. */
    private hasUnreadChunks(): boolean {
        if (!this.isBodyChunked || this.latest!.req.readableLength === 0) {
            this.unreadChunks = 0;
        }
        return this.unreadChunks >= maxUnreadChunks;
    }

    /** Whether input may be given to the parser: for the body under way, or if a further request may begin. */
    private mayRead(): boolean {
        if (this.isHeadTooLarge) {
            return false;
        }
        if (!this.socket.writable) {
            return this.bytesAfterEnd < maxBytesAfterEnd && this.pending < this.limits().requestsAhead;
        }
        return this.pending === 0 || this.isBodyArriving
            || (this.pending < this.limits().requestsAhead && !this.pool.isMemoryScarce);
    }

    private countInput(length: number): void {
        if (!this.socket.writable) {
            this.bytesAfterEnd += length;
        }
        if (this.isBodyArriving) {
            this.countBody(this.latest!, length);
            return;
        }
        if (this.headBytes === 0) {
            this.headSince = steadyNow();
        }
        this.headBytes += length;
        this.held.addRequestBytes(length);
        if (this.headBytes > this.limits().headerBytes + maxRequestLineBytes) {
            this.isHeadTooLarge = true;
            this.refuseLargeHead();
        }
    }

    /** A body of a known length is counted from its start. */
    private countBody(exchange: Exchange, length: number): void {
        if (exchange.bodyLeft !== undefined) {
            exchange.bodyLeft -= length;
        }
        else if (!exchange.isSettled) {
            exchange.bytes += length;
            this.held.addRequestBytes(length);
        }
    }

    /** Holds nothing of a request any more; what comes of its body is discarded. */
    private discard(exchange: Exchange): void {
        exchange.isSettled = true;
        this.held.addRequestBytes(-exchange.bytes);
        exchange.bytes = 0;
    }

    private refuseLargeHead(): void {
        if (this.isHeadTooLarge && this.pending === 0 && !this.isRefused) {
            this.pool.closeConnection(this.listener, this, "head-too-large");
        }
    }

    /** Called once a response is sent or can't be sent any more. */
    private settle(exchange: Exchange): void {
        this.pending -= 1;
        this.discard(exchange);
        this.hasServed = true;
        this.progressAt = steadyNow();
        if (exchange === this.latest && exchange.req.complete) {
            // The message isn't kept for as long as the connection is idle.
            this.latest = undefined;
        }
        if (this.pending === 0 && this.listener.connections.has(this)) {
            this.listener.idle.add(this);
        }
        this.refuseLargeHead();
        if (this.unparsed !== undefined && this.isPausedHere) {
            this.pool.turns.add(this);
        }
    }

    private refuse(status: RefusalStatus): void {
        this.isRefused = true;
        this.unparsed = undefined;
        this.pause();
        refuseConnection(this.socket, status);
    }

    private pause(): void {
        this.isPausedHere = true;
        this.socket.pause();
        this.updateBuffered();
    }

    private resume(): void {
        if (this.isPausedHere) {
            this.isPausedHere = false;
            this.socket.resume();
            this.updateBuffered();
        }
    }

    /** Counts what lies in buffers: input that has been read, and output that waits for the client. */
    private updateBuffered(): void {
        const { readableLength, writableLength } = this.socket;
        this.held.setBufferedBytes((this.unparsed?.buffer.byteLength ?? 0) + readableLength + writableLength);
    }

    /** Stops counting the connection's bytes; the connection itself counts until its socket is closed. */
    private release(): void {
        this.held.release();
        this.pool.turns.delete(this);
        clearTimeout(this.unreadTimer);
        if (this.socket.destroyed) {
            this.unparsed = undefined;
            this.pool.delete(this.listener, this);
        }
    }
}
