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
    const { status, framing, body } = response;
    const headers = withoutConnectionHeaders(response.headers);
    if (close || framing === ResponseFraming.close) {
        headers.push("Connection", "close");
    }
    if (framing === ResponseFraming.none) {
        // Its length, if any, is that of a body that is not sent.
        res.writeHead(status, headers).end();
        return;
    }
    const withoutLength = withoutContentLength(headers);
    if (framing === ResponseFraming.close) {
        // The body may be truncated, so it is forwarded without a length, as it was received.
        res.useChunkedEncodingByDefault = false;
    }
    else {
        withoutLength.push("Content-Length", String(body.length));
    }
    res.writeHead(status, withoutLength).end(body);
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
