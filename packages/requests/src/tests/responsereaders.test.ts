/** Guards against event streams without an end marker that reach their callers as complete. */
import { create } from "@bufbuild/protobuf";
import { RunChunkSchema } from "@winchpath/upstream";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ResponseProgress, ResponseReader } from "../index.js";
import { createJob, FakeAgents } from "./fakes.js";

const lineEnds = { LF: "\n", CRLF: "\r\n", CR: "\r" };
const agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [] }, ["a"]);

/** Returns the judgement of a response that the agent calls finished. */
function resultOf(text: string, requiresEndMarker = true): string | undefined {
    const job = createJob(agents, { requiresEndMarker: () => requiresEndMarker });
    const reader = new ResponseReader(job, new ResponseProgress());
    const body = Buffer.from(text);
    reader.read(create(RunChunkSchema, { head: { status: 200 }, body, end: { bodyBytes: BigInt(body.length) } }));
    return reader.result?.tag;
}

describe("a stream that requires an end marker", () => {
    for (const [name, lineEnd] of Object.entries(lineEnds)) {
        describe(`with ${name}`, () => {
            const event = (text: string) => `data: ${text}${lineEnd}${lineEnd}`;
            const whole = event("one") + event("[DONE]");

            it("is whole only after the blank line that ends the marker", () => {
                for (let bytes = 0; bytes <= whole.length; bytes++) {
                    // Of the last CRLF, CR alone ends the line.
                    const isWhole = bytes >= whole.length - lineEnd.length + 1;
                    expect({ bytes, result: resultOf(whole.slice(0, bytes)) })
                        .toEqual({ bytes, result: isWhole ? "whole" : "broken" });
                }
            });

            it("is broken if the marker is only text of another event", () => {
                expect(resultOf(event("one") + event("say data: [DONE]"))).toEqual("broken");
                expect(resultOf(event("one") + event("[DONE] is the marker"))).toEqual("broken");
            });

            it("is broken if another event follows the marker", () => {
                expect(resultOf(whole + event("two"))).toEqual("broken");
            });

            it("is whole if the marker has other fields, or only comments follow", () => {
                expect(resultOf(`${event("one")}id: 2${lineEnd}data:[DONE]${lineEnd}id: 3${lineEnd}${lineEnd}`))
                    .toEqual("whole");
                expect(resultOf(`${whole}: end${lineEnd}`)).toEqual("whole");
            });

            it("is whole if it consists of the marker", () => {
                expect(resultOf(event("[DONE]"))).toEqual("whole");
            });

            it("is broken if the marker begins in the middle of a long line", () => {
                const marker = event("[DONE]");
                for (let padding = 30; padding < 80; padding++) {
                    expect(resultOf("x".repeat(padding) + marker)).toEqual("broken");
                }
            });
        });
    }

    it("does not apply to other responses", () => {
        expect(resultOf("data: one\n\n", false)).toEqual("whole");
    });
});
