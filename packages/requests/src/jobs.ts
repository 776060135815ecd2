/** A client request that has been parsed and validated. */
import { type RoutedReplica } from "@winchpath/routing";
import { type Header } from "@winchpath/upstream";

export interface Job {
    readonly requestId: string;
    /** Declared name of the model, adapter or service. */
    readonly resource: string;
    /** Name under which demand is counted: the model, or the service. */
    readonly demandName: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly Header[];
    /** Whether the request may be run again if an earlier attempt may have run. */
    readonly repeatable: boolean;
    readonly idempotencyKey: string | undefined;
    /** Digest of method, URL and body. */
    readonly fingerprint: string;
    /** Client identity for fair queueing. */
    readonly caller: string;
    /** 9 is the highest. */
    readonly priority: number;
    /** Digest of the prompt prefix, for cache affinity. */
    readonly prefix: string | undefined;
    /** Date.now() by which the response must be complete. */
    readonly deadline: number;
    /** Date.now() after which the request is rejected if all replicas are still busy. */
    readonly startBy: number;
    /** Aborted when the client disconnects. */
    readonly signal: AbortSignal;
    /** Whether a complete response ends with the event stream's end marker. */
    readonly requiresEndMarker: (status: number, headers: readonly Header[]) => boolean;
    /** Request body for a replica that serves the target as `item`. */
    bodyFor(item: string): Uint8Array;
    /** Replicas that are currently ready. */
    replicas(): RoutedReplica[];
    /** Why no replica can become ready; undefined if one may. */
    unplaceableReason(): string | undefined;
    /** Revision of the declaration that this entry uses. */
    revision(): number;
}

/** Part of a response. */
export type ResponseEvent =
    | { readonly tag: "head"; readonly status: number; readonly headers: readonly Header[]; }
    | { readonly tag: "body"; readonly bytes: Uint8Array; };

export function remainingMs(job: Job): number {
    return Math.max(1, job.deadline - Date.now());
}
