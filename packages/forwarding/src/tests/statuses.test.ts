/** Guards against answers that reach their callers although their status code is that of no response (RFC 9110, section 15). */
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { completeResponse, type ReceivedRequest, TestSetup } from "./testservers.js";

/** What follows the protocol version in the status line. */
const invalidStatuses = [
    "000 X",
    "0 X",
    "001 X",
    "099 X",
    "20 X",
    "2000 X",
    "abc X",
    "",
    "101 X",
    "199 X",
    "600 X",
    "601 X",
    "700 X",
    "999 X",
    "1000 X",
] as const;
const routes = {
    safe: { kind: "safe", maxAttempts: 2 },
    unsafe: { kind: "unsafe", maxAttempts: 1 },
    streaming: { kind: "streaming", maxAttempts: 1 },
} as const;
const framings = ["a length", "chunks", "its connection"] as const;

function answer({ id, socket }: ReceivedRequest, status: string, framing: typeof framings[number]): void {
    if (framing === "a length") {
        socket.write(completeResponse(id, "wrong", "", status));
        return;
    }
    const head = `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n`;
    if (framing === "chunks") {
        socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n`);
        return;
    }
    socket.end(`${head}Connection: close\r\n\r\nwrong`);
}

describe("an upstream's answer whose status code is that of no response", () => {
    let setup: TestSetup;
    afterEach(() => setup.stop());

    for (const [name, route] of Object.entries(routes)) {
        for (const framing of framings) {
            it(`never reaches the caller of a ${name} request if it is framed by ${framing}`, async () => {
                let status = "";
                setup = await TestSetup.start(route, [received => answer(received, status, framing)], undefined, 1e6);
                for (status of invalidStatuses) {
                    const res = await setup.entry.call(`r-${name}-${status.slice(0, 4)}`.replace(/\s/g, ""), {
                        method: "POST",
                        headers: { "X-Deadline": "400" },
                        body: "b",
                    });
                    const isOwnFailure = res.status === 502 || res.status === 504 || res.status === 503;
                    expect({ status, isOwnFailure, hasBody: res.body.includes("wrong") })
                        .toEqual({ status, isOwnFailure: true, hasBody: false });
                    // None of them says that the request hasn't run.
                    expect(name === "unsafe" && res.status === 503).toEqual(false);
                }
            });
        }
    }

    it("is replaced by another upstream's answer where the request may be repeated", async () => {
        const handlers = [
            (received: ReceivedRequest) => answer(received, "600 X", "a length"),
            ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "right")),
        ];
        setup = await TestSetup.start(routes.safe, handlers, undefined, 1e6);
        for (let index = 0; index < 8; index++) {
            const res = await setup.entry.call(`r${index}`);
            expect([res.status, res.body]).toEqual([200, "right"]);
        }
    });

    for (const status of ["200 OK", "299 X", "400 X", "404 X", "499 X", "500 X", "599 X"]) {
        it(`is told from a valid one: ${status}`, async () => {
            const respond = ({ id, socket }: ReceivedRequest) =>
                socket.write(completeResponse(id, "right", "", status));
            setup = await TestSetup.start(routes.unsafe, [respond]);
            const res = await setup.entry.call("r");
            expect([res.status, res.body]).toEqual([Number(status.slice(0, 3)), "right"]);
        });
    }
});
