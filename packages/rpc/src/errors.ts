/** Classification of errors that the RPC library raises. */
import { Code, ConnectError } from "@connectrpc/connect";

/** Parts of the messages with which the library ends a session itself: closed by the peer, or without an answer to a ping. */
const sessionEndMessages = ["GOAWAY", "PING timed out"];

/**
 * Whether an uncaught exception only reports the end of an HTTP/2 session: its peer closed it while it was idle, or did not
 * answer a ping. The library raises it after removing its error listener if the session is dropped at the same time. Calls
 * on the session have failed by themselves, and the next one opens another.
 */
export function isSessionClosedError(err: unknown): boolean {
    return err instanceof ConnectError && sessionEndMessages.some(message => err.rawMessage.includes(message));
}

/** Codes of calls that end without a response of the peer: its host or the connection is gone, or it was not waited for. */
const unansweredCodes = new Set([Code.DeadlineExceeded, Code.Unavailable, Code.Canceled, Code.Aborted]);

/** Whether an error was sent by the peer, so that its process runs and the connection to it works. */
export function isResponse(err: unknown): boolean {
    return err instanceof ConnectError && !unansweredCodes.has(err.code);
}

/** Whether the peer's host refused the connection, so that no process of the peer runs there. */
export function isRefusal(err: unknown): boolean {
    const cause = err instanceof Error ? err.cause as { readonly code?: string; } | undefined : undefined;
    return cause?.code === "ECONNREFUSED";
}

/** Whether a call has ended at its timeout. */
export function isTimeout(err: unknown): boolean {
    return err instanceof ConnectError && err.code === Code.DeadlineExceeded;
}

/**
 * Whether a call got no response. Its session may use a dead connection, which would fail further calls
 * for seconds after the peer is back, so the caller should disconnect.
 */
export function isNoResponseError(err: unknown): boolean {
    return err instanceof ConnectError && (err.code === Code.DeadlineExceeded || err.code === Code.Unavailable);
}
