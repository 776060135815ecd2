/** How the body of a response is delimited (RFC 9112, section 6.3). */
import { headerValue, headerValues, type RawHeaders } from "./rawheaders.js";

export const ResponseFraming = {
    /** The response has no body. */
    none: "none",
    /** Content-Length states the size of the body. */
    length: "length",
    /** The body consists of chunks, and an empty one ends it. */
    chunked: "chunked",
    /** The body ends when the connection closes, so the framing does not tell a complete body from a truncated one. */
    close: "close",
} as const;
export type ResponseFraming = typeof ResponseFraming[keyof typeof ResponseFraming];

const statusNoContent = 204;
const statusNotModified = 304;

export function framingOf(method: string, status: number, headers: RawHeaders): ResponseFraming {
    if (method === "HEAD" || status === statusNoContent || status === statusNotModified) {
        return ResponseFraming.none;
    }
    const transferEncoding = [...headerValues(headers, "transfer-encoding")].join(",");
    if (transferEncoding !== "") {
        // Only a final chunked coding delimits the body.
        return /(^|,)\s*chunked\s*$/i.test(transferEncoding) ? ResponseFraming.chunked : ResponseFraming.close;
    }
    return headerValue(headers, "content-length") === undefined ? ResponseFraming.close : ResponseFraming.length;
}
