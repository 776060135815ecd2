/** What one connection may cost a process, and all of them together. */

/** Limits of each connection of a listener. */
export interface ConnectionLimits {
    /** Bytes of a request's header lines, and of empty lines before the request. */
    readonly headerBytes: number;
    /** Bytes of a request's body. */
    readonly bodyBytes: number;
    /** Requests under way; further ones are read once earlier ones are answered. */
    readonly requestsAhead: number;
    /** Time for the head of a request, from its first byte or, for the first request, from the connection's start. */
    readonly headerTimeoutMs: number;
    /** Time for a whole request, from its head. */
    readonly requestTimeoutMs: number;
    /** Time in which a client takes something of an answer that waits for it. */
    readonly unreadTimeoutMs: number;
}

const kilobyte = 1024;

/** Limits for listeners whose clients no configuration describes. */
export const defaultConnectionLimits: ConnectionLimits = {
    headerBytes: 16 * kilobyte,
    bodyBytes: 1024 * kilobyte,
    requestsAhead: 16,
    headerTimeoutMs: 10_000,
    requestTimeoutMs: 60_000,
    unreadTimeoutMs: 60_000,
};

/** Bytes of a request line that are not counted against the header limit. */
export const maxRequestLineBytes = 8 * kilobyte;

/** What all connections of a process may take together; undefined for no limit. */
export interface PoolLimits {
    readonly connections: number | undefined;
    /** Connections, and those to upstreams that requests under way on them need. */
    readonly descriptors?: number;
    /** Bytes of input that is arriving or whose request is under way, and of output that waits for clients. */
    readonly heldBytes: number | undefined;
}

/** Share of a process's descriptors that its listeners' connections may take; the rest is for upstreams, peers and files. */
const connectionShare = 0.75;
/** Share that they and connections to upstreams may take; the rest is for idle ones to upstreams, peers and files. */
const descriptorShare = 0.875;

/** Limits for a bound on open descriptors. */
export function connectionLimitsFor(
    fileDescriptors: number | undefined,
): Pick<PoolLimits, "connections" | "descriptors"> {
    return fileDescriptors === undefined
        ? { connections: undefined }
        : {
            connections: Math.max(1, Math.floor(fileDescriptors * connectionShare)),
            descriptors: Math.max(2, Math.floor(fileDescriptors * descriptorShare)),
        };
}
