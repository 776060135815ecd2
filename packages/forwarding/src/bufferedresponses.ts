/** Upstream responses that are read completely before they are forwarded. */
import { type ServerResponse } from "node:http";
import { headerValue, withoutConnectionHeaders } from "./headercodecs.js";

export interface BufferedResponse {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
}

/** Forwards a buffered response. */
export function writeBufferedResponse(res: ServerResponse, response: BufferedResponse, close: boolean): void {
    const headers = withoutContentLength(withoutConnectionHeaders(response.headers));
    const hasLength = hasExplicitLength(response.headers);
    if (hasLength) {
        headers.push("Content-Length", String(response.body.length));
    }
    else {
        // The body may be truncated, so it is forwarded without a length, as it was received.
        res.useChunkedEncodingByDefault = false;
    }
    if (close || !hasLength) {
        headers.push("Connection", "close");
    }
    res.writeHead(response.status, headers);
    res.end(response.body);
}

/** Whether the headers delimit the body; otherwise it ends when the connection closes. */
export function hasExplicitLength(headers: readonly string[]): boolean {
    return headerValue(headers, "content-length") !== undefined
        || headerValue(headers, "transfer-encoding") !== undefined;
}

/** Returns the headers without Content-Length. */
export function withoutContentLength(headers: readonly string[]): string[] {
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() !== "content-length") {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
}
