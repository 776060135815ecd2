/** The results of attempts to send a request to one upstream. */
import { excessiveFramingReason } from "@winchpath/core";
import { type BufferedResponse } from "./bufferedresponses.js";

/** Reason of an attempt that timed out without response headers. */
export const headTimeoutReason = "silent";

/** Reasons of attempts that were given up because the upstream sent more than it may. */
export const longEventReason = "an event exceeds its bound";
export const longFailureReason = "the body of the failure exceeds its bound";
/**
 * Reasons with which the signal of a request is aborted if this process, not the client, ended the response or its
 * connection.
 */
export const slowReaderReason = "slow reader";
export const connectionEndedReason = "connection ended by this entry";
export type LocalEndReason = typeof slowReaderReason | typeof connectionEndedReason;

/** The reason for which this process ended the response; undefined if the client left. */
export function localEndReason(signal: AbortSignal): LocalEndReason | undefined {
    const { reason } = signal as { readonly reason: unknown; };
    return reason === slowReaderReason || reason === connectionEndedReason ? reason : undefined;
}

const endlessReasons: ReadonlySet<string> = new Set([excessiveFramingReason, longEventReason, longFailureReason]);

/** Whether an attempt was given up because the upstream sent more than it may, or what is no response. */
export function exceededBound(outcome: AttemptOutcome): boolean {
    return "reason" in outcome && outcome.reason !== undefined && endlessReasons.has(outcome.reason);
}

/** The result of an attempt. */
export type AttemptOutcome =
    /** The complete response was forwarded. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The upstream returned a non-success response, which has not been forwarded yet. */
    | { readonly kind: "failure"; readonly response: BufferedResponse; }
    /** The upstream has certainly not executed the request. */
    | {
        readonly kind: "not-run";
        readonly reason: string;
        readonly misdirected: boolean;
        readonly unreachable: boolean;
        /** Whether the upstream responded; false if nothing was sent to it. If undefined, it responded unless it is unreachable. */
        readonly responded: boolean;
    }
    /** The upstream may have executed the request; nothing was forwarded. `lost`: the connection broke. */
    | { readonly kind: "unknown"; readonly reason: string; readonly lost: boolean; }
    /** The response broke off after part of it was forwarded. */
    | { readonly kind: "broken"; readonly reason: string; readonly lost: boolean; }
    /** The process fell behind while the request waited for a connection; the client may have left. Nothing was sent. */
    | { readonly kind: "postponed"; }
    /** The deadline passed. */
    | { readonly kind: "late"; }
    /** The client left; `sent`: whether the request had been sent; `reason`: set if this process ended the response. */
    | { readonly kind: "caller-gone"; readonly sent: boolean; readonly reason?: LocalEndReason; };

/** The outcome of an attempt of which nothing was sent. */
export function unsentOutcome(reason: string, unreachable: boolean): AttemptOutcome {
    return { kind: "not-run", reason, misdirected: false, unreachable, responded: false };
}
