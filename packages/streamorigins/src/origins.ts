/** Which software version of an upstream began a stream, so that only that version continues it. */

/** Identifies a stream over all attempts of its client. */
export interface StreamIdentity {
    /** Id of the client attempt that brought the first event. */
    readonly id: string;
    readonly service: string;
    /** Host header, path and query of the request. */
    readonly host: string;
    readonly url: string;
    /** Account of the client; undefined if there is none. */
    readonly account: string | undefined;
}

export type StreamOrigin =
    /** Opaque text; empty for upstreams that announce none. */
    | { readonly kind: "known"; readonly softwareVersion: string; }
    /** No record was found, or none could be asked for in time, and upstreams of several versions may have begun it. */
    | { readonly kind: "unknown"; readonly reason: "not-found" | "unreachable"; };

/** Records of the software versions that began streams, shared by all entries. */
export interface StreamOrigins {
    /** Records that the first event of the stream is about to be forwarded, or that the stream goes on. */
    record(stream: StreamIdentity, softwareVersion: string): void;
    /** Finds the origin of a stream that its client takes up again, at whichever entry it began. */
    find(stream: StreamIdentity, signal: AbortSignal): Promise<StreamOrigin>;
}
