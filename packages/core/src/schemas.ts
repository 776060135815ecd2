/** Checks of outside data against typebox schemas, with issues in place of exceptions. */
import { type Static, type StaticDecode, type TSchema } from "typebox";
import Value from "typebox/value";
import { Failure, FailureCode, type Issue } from "./errors.js";
import { Err, Ok, type Result } from "./results.js";

/** Fills in defaults and checks; the value is left as it is when it does not match. */
export function safeParse<S extends TSchema>(schema: S, value: unknown): Result<Static<S>, Failure> {
    const filled = Value.Default(schema, Value.Clone(value));
    if (Value.Check(schema, filled)) {
        return Ok(filled as Static<S>);
    }
    return Err(new Failure(issuesOf(schema, filled)));
}

/** Like {@link safeParse}, and turns written forms (durations, sizes) into what they stand for. */
export function safeDecode<S extends TSchema>(schema: S, value: unknown): Result<StaticDecode<S>, Failure> {
    const filled = Value.Default(schema, Value.Clone(value));
    if (Value.Check(schema, filled)) {
        return Ok(Value.Decode(schema, filled));
    }
    return Err(new Failure(issuesOf(schema, filled)));
}

/** Like {@link safeParse}, but throws the failure. */
export function parse<S extends TSchema>(schema: S, value: unknown): Static<S> {
    const result = safeParse(schema, value);
    if (result.err) {
        throw result.val;
    }
    return result.val;
}

function issuesOf(schema: TSchema, value: unknown): Issue[] {
    const issues: Issue[] = [];
    for (const error of Value.Errors(schema, value)) {
        const path = pathOf(error.instancePath);
        const params = error.params as { additionalProperties?: string[]; requiredProperties?: string[]; };
        const names = params.additionalProperties ?? params.requiredProperties;
        if (names === undefined) {
            issues.push({ code: FailureCode.invalid, path, message: error.message });
            continue;
        }
        const message = params.additionalProperties ? "unknown key" : "key is missing";
        for (const name of names) {
            issues.push({ code: FailureCode.invalid, path: [...path, name], message });
        }
    }
    return withoutNoise(issues);
}

/** A forbidden key is reported twice by the checker; the clearer report is kept. */
function withoutNoise(issues: Issue[]): Issue[] {
    const unknown = new Set(issues.filter(issue => issue.message === "unknown key").map(issue => issue.path.join("/")));
    return issues.filter(issue => issue.message === "unknown key" || !unknown.has(issue.path.join("/")));
}

function pathOf(pointer: string): string[] {
    return pointer.split("/").slice(1).map(part => part.replaceAll("~1", "/").replaceAll("~0", "~"));
}
