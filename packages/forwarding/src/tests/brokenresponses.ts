/** Responses of every framing that end after any number of bytes, for tests. */
import { type Socket } from "node:net";

export type Framing = "length" | "chunked" | "close";

/** How an upstream ends the connection in the middle of a response. */
export type ConnectionEnd = "FIN" | "reset";

/** When the bytes of a response arrive, and when the connection ends after them. */
export type Delivery = "at once" | "byte by byte" | "end later";

const lateEndMs = 3;

export const lineEnds = { LF: "\n", CRLF: "\r\n", CR: "\r" } as const;

/** Formats three events with ids from 1 to 3. */
export function threeEvents(lineEnd: string): readonly string[] {
    return ["one", "two", "three"].map((text, index) => `id: ${index + 1}${lineEnd}data: ${text}${lineEnd}${lineEnd}`);
}

/** Formats a response body, one chunk for each part. */
export function encodeBody(framing: Framing, parts: readonly string[]): string {
    return framing === "chunked"
        ? [...parts, ""].map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join("")
        : parts.join("");
}

/** The head announces the end of the connection, so that no other request is sent on it. */
export function encodeHead(id: string, framing: Framing, bodyBytes: number, status = "200 OK"): string {
    const framingHeader = {
        length: `Content-Length: ${bodyBytes}\r\n`,
        chunked: "Transfer-Encoding: chunked\r\n",
        close: "",
    }[framing];
    return `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\nConnection: close\r\n${framingHeader}\r\n`;
}

/** Sends the bytes and ends the connection. */
export async function sendAndEnd(socket: Socket, text: string, end: ConnectionEnd, delivery: Delivery): Promise<void> {
    const parts = delivery === "byte by byte" ? [...text] : [text];
    socket.setNoDelay(true);
    for (const part of parts) {
        await new Promise<void>(resolve => socket.write(part, () => resolve()));
    }
    if (delivery === "end later") {
        await new Promise(resolve => setTimeout(resolve, lateEndMs));
    }
    if (end === "FIN") {
        socket.end();
    }
    else {
        socket.resetAndDestroy();
    }
}
