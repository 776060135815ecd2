import { expect } from "earl";
import { describe, it } from "node:test";
import { framingOf, ResponseFraming } from "../index.js";

describe("the framing of a response", () => {
    const cases = [
        ["GET", 200, ["Content-Length", "5"], ResponseFraming.length],
        ["GET", 200, ["Transfer-Encoding", "chunked", "Content-Length", "5"], ResponseFraming.chunked],
        ["GET", 200, ["Transfer-Encoding", "gzip", "Transfer-Encoding", "chunked"], ResponseFraming.chunked],
        ["GET", 200, ["Transfer-Encoding", "chunked, gzip"], ResponseFraming.close],
        ["GET", 200, [], ResponseFraming.close],
        ["HEAD", 200, ["Content-Length", "5"], ResponseFraming.none],
        ["GET", 204, [], ResponseFraming.none],
    ] as const;
    for (const [method, status, headers, framing] of cases) {
        it(`is ${framing} for ${method} ${status} with ${headers.join(" ") || "no headers"}`, () => {
            expect(framingOf(method, status, headers)).toEqual(framing);
        });
    }
});
