/** Ends responses that cannot be completed. */
import { type ServerResponse } from "node:http";

/** Closes the connection of a response that has been started, so that its client does not take it for complete. */
export function breakOffResponse(res: ServerResponse): void {
    if (res.chunkedEncoding) {
        res.destroy();
    }
    else {
        // Without chunks, also for an HTTP/1.0 client, a regular close may mark the end of the body.
        res.socket?.resetAndDestroy();
    }
}
