/** Guards against dropped responses that readers get as complete, without their head. */
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RunEndSchema, RunHeadSchema } from "../gen/winchpath/upstream/v1/upstream_pb.js";
import { FenceOutcome, Refusal, type RunChunk } from "../index.js";
import { RunRecord } from "../runrecords.js";

async function finishedRecord(body: string): Promise<RunRecord> {
    const record = new RunRecord(true, () => undefined);
    record.setHead(create(RunHeadSchema, { status: 200 }));
    if (body !== "") {
        await record.append(Buffer.from(body));
    }
    record.finish(FenceOutcome.FINISHED, { end: create(RunEndSchema, { bodyBytes: BigInt(body.length) }) });
    return record;
}

async function readLast(record: RunRecord, offset = 0): Promise<RunChunk> {
    let last: RunChunk | undefined;
    for await (const chunk of record.read(offset)) {
        last = chunk;
    }
    return last!;
}

describe("RunRecord", () => {
    for (const body of ["", "abc"]) {
        describe(`with a body of ${body.length} bytes`, () => {
            it("returns the head with the end", async () => {
                const { head, end } = await readLast(await finishedRecord(body));
                expect({ status: head?.status, bodyBytes: end?.bodyBytes })
                    .toEqual({ status: 200, bodyBytes: BigInt(body.length) });
            });

            it("refuses a reader from the start once the response is dropped", async () => {
                const record = await finishedRecord(body);
                record.dropResponse();
                const { end, refused } = await readLast(record);
                expect({ end, refusal: refused?.refusal })
                    .toEqual({ end: undefined, refusal: Refusal.UNKNOWN_REQUEST });
            });
        });
    }

    it("returns the end to a reader that has the whole body of a dropped response", async () => {
        const record = await finishedRecord("abc");
        record.dropResponse();
        expect((await readLast(record, 3)).end?.bodyBytes).toEqual(3n);
    });
});
