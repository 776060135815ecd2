/** Guards against slices in which many requests begin, and against input that is lost or changed by cutting it. */
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { countChunks, sliceLength } from "../index.js";

const head = { kind: "head" } as const;

function cut(text: string): string[] {
    const slices: string[] = [];
    for (let rest = Buffer.from(text, "latin1"); rest.length > 0;) {
        const length = sliceLength(rest, head);
        slices.push(rest.toString("latin1", 0, length));
        rest = rest.subarray(length);
    }
    return slices;
}

describe("sliceLength", () => {
    it("ends a slice with each request that has no body", () => {
        const requests = [
            "GET / HTTP/1.1\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
            "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        ];
        expect(cut(requests.join(""))).toEqual(requests);
    });

    it("never begins more than two requests in a slice, wherever the input was cut before", () => {
        const request = "GET / HTTP/1.1\r\n\r\n";
        fc.assert(
            fc.property(fc.integer({ min: 0, max: request.length - 1 }), start => {
                const slices = cut(request.repeat(50).slice(start));
                return slices.every(slice => slice.split("GET").length - 1 <= 2);
            }),
            { seed: 20261206 },
        );
    });

    it("loses no byte of any input", () => {
        const part = fc.constantFrom("\r\n", "\n", "GET / HTTP/1.1\r\n", "a: b\r\n", "x".repeat(5000));
        fc.assert(
            fc.property(fc.array(part), parts => cut(parts.join("")).join("") === parts.join("")),
            { seed: 20261206 },
        );
    });

    it("takes the rest of a body at once if its length is known, and little of one in chunks", () => {
        const input = Buffer.alloc(60_000);
        expect(sliceLength(input, { kind: "body", bodyLeft: 50_000 })).toEqual(50_000);
        expect(sliceLength(input, { kind: "body", bodyLeft: undefined })).toEqual(1024);
    });
});

describe("countChunks", () => {
    it("counts at least the chunks of a slice", () => {
        expect(countChunks(Buffer.from("1\r\na\r\n1\r\nb\r\n")) >= 2).toEqual(true);
        expect(countChunks(Buffer.from("4000\r\naaaaaaaaaaa")) <= 1).toEqual(true);
    });
});
