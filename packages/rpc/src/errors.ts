/** Errors that the RPC library raises where nobody can catch them. */
import { ConnectError } from "@connectrpc/connect";

/**
 * Whether an uncaught exception is only the end of an HTTP/2 session. When a
 * peer closes an idle session (GOAWAY), the library destroys its side with an
 * error, and may have taken its own listener off by then. No call is lost with
 * it: the session had none, and the next call opens another.
 */
export function isEndOfSession(err: unknown): boolean {
    return err instanceof ConnectError && err.rawMessage.includes("GOAWAY");
}
