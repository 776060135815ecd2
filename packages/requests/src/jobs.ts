/** A caller's request, ready to be run. */
import { type RoutedReplica } from "@winchpath/routing";
import { type Header } from "@winchpath/upstream";

export interface Job {
    readonly requestId: string;
    /** Declared name of the model, adapter or service. */
    readonly resource: string;
    /** Model whose demand it counts as; the service's name for a service. */
    readonly demandOf: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly Header[];
    /** Whether it may be run again when it is not known whether it ran. */
    readonly repeatable: boolean;
    readonly idempotencyKey: string | undefined;
    /** Digest of what is asked for. */
    readonly fingerprint: string;
    /** Who asks; overload is shared out fairly between callers. */
    readonly caller: string;
    /** 9 goes first. */
    readonly priority: number;
    /** Digest of the prompt's beginning. */
    readonly prefix: string | undefined;
    /** Date.now() by which the answer has to be whole. */
    readonly deadline: number;
    /** Date.now() after which it need not start any more while others keep the replicas busy. */
    readonly startBy: number;
    /** Aborted when the caller leaves. */
    readonly signal: AbortSignal;
    /** Whether a whole answer ends with the event-stream's end mark. */
    readonly endsWithMark: (status: number, headers: readonly Header[]) => boolean;
    /** The body for a replica that knows the target as `item`. */
    bodyFor(item: string): Uint8Array;
    /** Replicas that are ready now. */
    replicas(): RoutedReplica[];
    /** Why no replica will be ready however long it waits; undefined where one may be. */
    unplaceable(): string | undefined;
    /** Version of the declaration that the entry acts on. */
    revision(): number;
}

/** Part of an answer. */
export type AnswerEvent =
    | { readonly tag: "head"; readonly status: number; readonly headers: readonly Header[]; }
    | { readonly tag: "body"; readonly bytes: Uint8Array; };

export function timeLeft(job: Job): number {
    return Math.max(1, job.deadline - Date.now());
}
