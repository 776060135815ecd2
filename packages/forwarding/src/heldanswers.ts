/** Answers of upstreams that were read whole before any of them is handed on. */
import { type ServerResponse } from "node:http";
import { headerOf, withoutConnectionHeaders } from "./codecs.js";

/** An answer of an upstream that was read whole. */
export interface HeldAnswer {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
}

/** Hands on an answer that was read whole. */
export function writeHeldAnswer(res: ServerResponse, answer: HeldAnswer, close: boolean): void {
    const headers = withoutLength(withoutConnectionHeaders(answer.headers));
    const framed = isFramed(answer.headers);
    if (framed) {
        headers.push("Content-Length", String(answer.body.length));
    }
    else {
        // Nobody knows whether it is whole, so it must not look more whole than it came.
        res.useChunkedEncodingByDefault = false;
    }
    if (close || !framed) {
        headers.push("Connection", "close");
    }
    res.writeHead(answer.status, headers);
    res.end(answer.body);
}

/** Whether an answer tells where it ends; otherwise it ends with its connection. */
export function isFramed(headers: readonly string[]): boolean {
    return headerOf(headers, "content-length") !== undefined || headerOf(headers, "transfer-encoding") !== undefined;
}

/** Headers without the length of the body. */
export function withoutLength(headers: readonly string[]): string[] {
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() !== "content-length") {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
}
