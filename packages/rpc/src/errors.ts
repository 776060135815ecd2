/** Classification of errors that the RPC library raises. */
import { Code, ConnectError } from "@connectrpc/connect";

/**
 * Whether an uncaught exception only reports that a peer closed an idle HTTP/2 session (GOAWAY). The
 * library may raise it after removing its error listener; no call is affected, and the next one opens
 * another session.
 */
export function isSessionClosedError(err: unknown): boolean {
    return err instanceof ConnectError && err.rawMessage.includes("GOAWAY");
}

/**
 * Whether a call got no response. Its session may use a dead connection, which would fail further calls
 * for seconds after the peer is back, so the caller should disconnect.
 */
export function isNoResponseError(err: unknown): boolean {
    return err instanceof ConnectError && (err.code === Code.DeadlineExceeded || err.code === Code.Unavailable);
}
