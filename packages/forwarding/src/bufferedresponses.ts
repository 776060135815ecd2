/** Upstream responses that are read completely before they are forwarded. */
import { ResponseFraming } from "@winchpath/core";
import { type ServerResponse } from "node:http";
import { withoutConnectionHeaders } from "./headercodecs.js";

export interface BufferedResponse {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** How the upstream delimited the body. */
    readonly framing: ResponseFraming;
}

/** Forwards a buffered response. */
export function writeBufferedResponse(res: ServerResponse, response: BufferedResponse, close: boolean): void {
    const headers = withoutContentLength(withoutConnectionHeaders(response.headers));
    const hasLength = response.framing !== ResponseFraming.close;
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
