import { expect } from "earl";
import { describe, it } from "node:test";
import Type from "typebox";
import { safeParse } from "../schemas.js";

describe("safeParse", () => {
    const schema = Type.Object({
        size: Type.Integer({ minimum: 1 }),
        unit: Type.String({ default: "bytes" }),
    }, { additionalProperties: false });

    describe("a value that matches", () => {
        it("is returned with defaults filled in", () => {
            expect(safeParse(schema, { size: 2 }).unwrap()).toEqual({ size: 2, unit: "bytes" });
        });
    });

    describe("a value that does not match", () => {
        it("yields one issue for each invalid, unknown and missing key", () => {
            const result = safeParse(schema, { unit: 3, colour: 1 });
            const paths = result.err ? result.val.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`) : [];
            expect(paths.sort()).toEqual(["colour: unknown key", "size: key is missing", "unit: must be string"]);
        });
    });
});
