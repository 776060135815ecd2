/**
 * Bounds what the connections of all listeners of a process take together: descriptors and memory. A process that has
 * reached a bound closes the connections whose loss matters least, so that others are served.
 */
import { type EventLog, eventLoop, type Metrics, steadyNow } from "@winchpath/core";
import { BufferCollector } from "./buffercollectors.js";
import { type PoolLimits } from "./connectionlimits.js";
import { InputTurns } from "./inputturns.js";

/** Interval of the checks for connections that take too long, in milliseconds. */
const checkMs = 500;
/** Share of the held bytes' bound from which on connections have one request under way each. */
const scarceShare = 0.8;
/** Share of that bound to which connections are closed once it is exceeded. */
const relievedShare = 0.9;
/** Bytes of a request that is small; it is admitted up to a multiple of that bound, so that large ones don't keep it out. */
const smallRequestBytes = 64 * 1024;
const maxSmallShare = 1.5;
/** Bytes of one connection that don't count where that is allowed, as a multiple of that bound. */
const maxExemptShare = 1;
/** Connections that a listener gets also while requests of others need all descriptors, so that its callers are answered. */
const reservedConnections = 4;
/** Time to the next search for connections to close if too few were found, in milliseconds. */
const releaseIntervalMs = 50;
/** Further bytes after which the search begins earlier, as a share of that bound. */
const releaseShare = 0.1;

/** Why a connection was closed by its guard. */
export type CloseReason =
    | "head-too-large"
    | "head-late"
    | "request-late"
    | "unread-output"
    | "memory"
    | "connections";

/**
 * What closing a connection costs: nothing once it is being closed; little while it is idle; a request that isn't complete;
 * answers that its client doesn't take; or requests that it has sent ahead. Others are never closed for lack of resources.
 */
export type Expendability = "closing" | "idle" | "incomplete" | "unread" | "ahead" | "needed";

/** A connection as its pool sees it. */
export interface PooledConnection {
    /** Bytes that the process holds because of it. */
    readonly heldBytes: number;
    readonly expendability: Expendability;
    /** Whether a request on it was answered. */
    readonly hasServed: boolean;
    /** Monotonic time at which it last gave or took something. */
    readonly progressAt: number;
    /** Whether one of this kind may hold more than the bound on all, while the others are within it. */
    readonly mayExceed?: boolean;
    /** Address of the client, for logs. */
    readonly remoteAddress: string;
    /** Closes it if it takes too long; returns why. */
    checkTimes(now: number): CloseReason | undefined;
    /** Closes it, with a response if the client may read one. */
    close(reason: CloseReason): void;
}

/** Connections of one listener. */
export class PooledListener {
    public readonly connections = new Set<PooledConnection>();
    /** Connections without a request under way, in the order in which they became so. */
    public readonly idle = new Set<PooledConnection>();

    /**
     * `weight`: its part of the connections when all listeners need them, relative to the others. `forwards`: whether a
     * request on a connection may need one to an upstream.
     */
    public constructor(
        public readonly name: string,
        public readonly weight: number,
        public readonly forwards: boolean,
    ) {}

    /** Descriptors of its connections, and of those to upstreams that they may need. */
    public get descriptors(): number {
        const { size } = this.connections;
        return this.forwards ? 2 * size - this.idle.size : size;
    }
}

/** Order in which connections are closed for lack of memory. */
const memoryOrder: readonly Expendability[] = ["closing", "idle", "incomplete", "unread", "ahead"];

/** A connection that may be closed for lack of memory. */
interface MemoryCandidate {
    readonly listener: PooledListener;
    readonly connection: PooledConnection;
    /** Its place in `memoryOrder`. */
    readonly order: number;
    readonly heldBytes: number;
}

export class ConnectionPool {
    public readonly turns = new InputTurns();
    private readonly listeners: PooledListener[] = [];
    private readonly collector: BufferCollector;
    private requestBytes = 0;
    private bufferedBytes = 0;
    private open = 0;
    private lastCheckAt = Number.NEGATIVE_INFINITY;
    /** Monotonic time before which no connection would be found to release bytes. */
    private nextReleaseAt = Number.NEGATIVE_INFINITY;
    /** Held bytes below which none would be found. */
    private nextReleaseBytes = 0;

    public constructor(
        private readonly limits: PoolLimits,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.collector = new BufferCollector(limits.heldBytes, metrics);
    }

    /** Starts the periodic checks; returns how to stop them. */
    public start(): () => void {
        return eventLoop.onTick(() => {
            this.collector.check();
            const now = steadyNow();
            if (now - this.lastCheckAt >= checkMs) {
                this.lastCheckAt = now;
                this.check(now);
            }
        });
    }

    public register(name: string, weight: number, forwards = false): PooledListener {
        const listener = new PooledListener(name, weight, forwards);
        this.listeners.push(listener);
        return listener;
    }

    /** Number of open connections. */
    public get size(): number {
        return this.open;
    }

    /** Bytes held because of connections. */
    public get heldBytes(): number {
        return this.requestBytes + this.bufferedBytes;
    }

    /** Whether no connection should have more than one request under way. */
    public get isMemoryScarce(): boolean {
        return this.heldBytes > (this.limits.heldBytes ?? Number.POSITIVE_INFINITY) * scarceShare;
    }

    /** Makes room for a connection of a listener; returns whether there is any. */
    public makeRoom(listener: PooledListener): boolean {
        const { connections = Number.POSITIVE_INFINITY } = this.limits;
        const isReserved = !listener.forwards && listener.connections.size < reservedConnections;
        const hasRoom = this.open < connections && (isReserved || this.hasDescriptors(1));
        const isAccepted = hasRoom || this.closeLeastNeeded(listener);
        if (!isAccepted) {
            this.metrics.count("connections_refused_total", { listener: listener.name });
        }
        return isAccepted;
    }

    /**
     * Whether a request on a connection, whose bytes are counted already, may run. Otherwise it must be refused, as nothing
     * is left to be closed for it. What waits for slow clients doesn't count here: it must not keep other requests out.
     */
    public admit(listener: PooledListener, connection: PooledConnection, bytes: number): boolean {
        const { heldBytes = Number.POSITIVE_INFINITY } = this.limits;
        const maxBytes = heldBytes * (bytes <= smallRequestBytes ? maxSmallShare : 1);
        const isAdmitted = this.requestBytes <= maxBytes
            && (this.hasDescriptors(0) || this.closeLeastNeeded(listener, connection));
        if (!isAdmitted) {
            this.metrics.count("requests_refused_total", { listener: listener.name });
            this.log.info("request.refused", {
                listener: listener.name,
                client: connection.remoteAddress,
                bytes,
                open: this.open,
                totalBytes: this.heldBytes,
            });
        }
        return isAdmitted;
    }

    public add(listener: PooledListener, connection: PooledConnection): void {
        this.open += 1;
        listener.connections.add(connection);
        listener.idle.add(connection);
    }

    public delete(listener: PooledListener, connection: PooledConnection): void {
        if (listener.connections.delete(connection)) {
            this.open -= 1;
            listener.idle.delete(connection);
        }
    }

    /** Called for each piece that was read from a client or for one; its buffer may soon be unused. */
    public addInput(bytes: number): void {
        this.collector.addInput(bytes);
    }

    /**
     * Counts bytes of requests that a connection begins to hold, or releases; `spared`: a connection that must not be closed
     * now.
     */
    public addRequestBytes(bytes: number, spared?: PooledConnection): void {
        this.requestBytes += bytes;
        this.releaseFor(bytes, spared);
    }

    /** The same for bytes in buffers. */
    public addBufferedBytes(bytes: number): void {
        this.bufferedBytes += bytes;
        this.releaseFor(bytes, undefined);
    }

    private releaseFor(bytes: number, spared: PooledConnection | undefined): void {
        const isDue = this.heldBytes >= this.nextReleaseBytes || steadyNow() >= this.nextReleaseAt;
        if (bytes > 0 && this.isExceeded && isDue) {
            this.releaseBytes(spared);
        }
    }

    private hasDescriptors(needed: number): boolean {
        const { descriptors } = this.limits;
        return descriptors === undefined
            || this.listeners.reduce((sum, listener) => sum + listener.descriptors, needed) <= descriptors;
    }

    private get isExceeded(): boolean {
        return this.heldBytes > (this.limits.heldBytes ?? Number.POSITIVE_INFINITY);
    }

    /** Closes connections that take too long, and those that hold too much. */
    public check(now = steadyNow()): void {
        for (const listener of this.listeners) {
            for (const connection of listener.connections) {
                const reason = connection.checkTimes(now);
                if (reason !== undefined) {
                    this.closeConnection(listener, connection, reason);
                }
            }
        }
        if (this.isExceeded) {
            this.releaseBytes(undefined);
        }
        this.metrics.setGauge("connection_held_bytes", this.heldBytes);
        this.metrics.setGauge("connections_open", this.open);
    }

    /** Closes a connection on behalf of its guard, and says why. */
    public closeConnection(listener: PooledListener, connection: PooledConnection, reason: CloseReason): void {
        this.metrics.count("connections_closed_total", { listener: listener.name, reason });
        this.log.info("connection.closed", {
            listener: listener.name,
            reason,
            client: connection.remoteAddress,
            heldBytes: connection.heldBytes,
            open: this.open,
            totalBytes: this.heldBytes,
        });
        connection.close(reason);
    }

    /**
     * Closes a connection in favour of a new one, or of a request: of the listener that exceeds its part by most, one that has
     * never served a request, or the one that has been idle for longest. Returns whether there was one.
     */
    private closeLeastNeeded(listener: PooledListener, spared?: PooledConnection): boolean {
        const found = this.leastNeeded(listener, spared);
        if (found === undefined) {
            return false;
        }
        this.closeConnection(found.listener, found.connection, "connections");
        return true;
    }

    private leastNeeded(
        newcomer: PooledListener,
        spared: PooledConnection | undefined,
    ): { readonly listener: PooledListener; readonly connection: PooledConnection; } | undefined {
        const excess = ({ connections, weight }: PooledListener) => connections.size / weight;
        const fullest = [...this.listeners].sort((a, b) => excess(b) - excess(a));
        for (const listener of fullest) {
            if (excess(listener) < excess(newcomer)) {
                return undefined;
            }
            const connection = oldestUnserved(listener) ?? first(listener.idle)
                ?? oldestExpendable(listener, spared);
            if (connection !== undefined) {
                return { listener, connection };
            }
        }
        return undefined;
    }

    /** Closes connections, those whose loss matters least first, until enough bytes are released. */
    private releaseBytes(spared: PooledConnection | undefined): void {
        const relievedBytes = this.limits.heldBytes! * relievedShare;
        const candidates = this.memoryCandidates(spared);
        const exempt = largestExempt(candidates);
        const exemptBytes = Math.min(exempt?.heldBytes ?? 0, this.limits.heldBytes! * maxExemptShare);
        const others = inClosingOrder(candidates.filter(each => each !== exempt));
        for (const { listener, connection } of exempt === undefined ? others : [...others, exempt]) {
            if (this.heldBytes > relievedBytes + exemptBytes) {
                this.closeConnection(listener, connection, "memory");
            }
        }
        if (this.heldBytes > relievedBytes) {
            this.nextReleaseAt = steadyNow() + releaseIntervalMs;
            this.nextReleaseBytes = this.heldBytes + this.limits.heldBytes! * releaseShare;
        }
    }

    private memoryCandidates(spared: PooledConnection | undefined): readonly MemoryCandidate[] {
        return this.listeners
            .flatMap(listener =>
                [...listener.connections].map(connection => ({
                    listener,
                    connection,
                    order: memoryOrder.indexOf(connection.expendability),
                    heldBytes: connection.heldBytes,
                }))
            )
            .filter(({ connection, order, heldBytes }) => order >= 0 && heldBytes > 0 && connection !== spared);
    }
}

/** The largest of those that may hold more than the bound while the others are within it. */
function largestExempt(candidates: readonly MemoryCandidate[]): MemoryCandidate | undefined {
    return candidates
        .filter(({ connection }) => connection.mayExceed)
        .sort((a, b) => b.heldBytes - a.heldBytes)[0];
}

/** By what their loss costs; of equal ones, those that hold much go first, and then those without progress for longest. */
function inClosingOrder(candidates: readonly MemoryCandidate[]): readonly MemoryCandidate[] {
    const meanBytes = candidates.reduce((sum, { heldBytes }) => sum + heldBytes, 0) / candidates.length;
    const holdsLittle = ({ heldBytes }: MemoryCandidate) => Number(heldBytes < meanBytes);
    return [...candidates].sort((a, b) =>
        a.order - b.order || holdsLittle(a) - holdsLittle(b) || a.connection.progressAt - b.connection.progressAt
    );
}

function first<T>(values: Iterable<T>): T | undefined {
    for (const value of values) {
        return value;
    }
    return undefined;
}

/** Idle connections that have not served a request, oldest first; looks at a bounded number of them. */
function oldestUnserved(listener: PooledListener): PooledConnection | undefined {
    const maxLooks = 256;
    let looks = 0;
    for (const connection of listener.idle) {
        looks += 1;
        if (!connection.hasServed) {
            return connection;
        }
        if (looks === maxLooks) {
            return undefined;
        }
    }
    return undefined;
}

function oldestExpendable(
    listener: PooledListener,
    spared: PooledConnection | undefined,
): PooledConnection | undefined {
    return [...listener.connections]
        .filter(connection => connection !== spared && connection.expendability !== "needed")
        .sort((a, b) => a.progressAt - b.progressAt)[0];
}
