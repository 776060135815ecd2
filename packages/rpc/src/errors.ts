/** Errors that the RPC library raises where nobody can catch them. */
import { Code, ConnectError } from "@connectrpc/connect";

/**
 * Whether an uncaught exception is only the end of an HTTP/2 session. When a
 * peer closes an idle session (GOAWAY), the library destroys its side with an
 * error, and may have taken its own listener off by then. No call is lost with
 * it: the session had none, and the next call opens another.
 */
export function isEndOfSession(err: unknown): boolean {
    return err instanceof ConnectError && err.rawMessage.includes("GOAWAY");
}

/**
 * Whether a call got no answer at all. Its session may be on a connection that
 * hangs (the peer lost power or is cut off), and would go on hanging for
 * seconds after the peer is back: the caller should forget the session.
 */
export function isSilence(err: unknown): boolean {
    return err instanceof ConnectError && (err.code === Code.DeadlineExceeded || err.code === Code.Unavailable);
}
