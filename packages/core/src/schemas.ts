/** Validates external data against typebox schemas, returning issues instead of throwing. */
import { type Static, type StaticDecode, type TSchema } from "typebox";
import Value from "typebox/value";
import { Failure, FailureCode, type Issue } from "./errors.js";
import { Err, Ok, type Result } from "./results.js";

/** Returns a validated copy of a value with defaults filled in; the value itself is not modified. */
export function safeParse<S extends TSchema>(schema: S, value: unknown): Result<Static<S>, Failure> {
    const filled = Value.Default(schema, Value.Clone(value));
    if (Value.Check(schema, filled)) {
        return Ok(filled as Static<S>);
    }
    return Err(new Failure(collectIssues(schema, filled)));
}

/** Like {@link safeParse}, but also decodes strings such as durations and sizes. */
export function safeDecode<S extends TSchema>(schema: S, value: unknown): Result<StaticDecode<S>, Failure> {
    const filled = Value.Default(schema, Value.Clone(value));
    if (Value.Check(schema, filled)) {
        return Ok(Value.Decode(schema, filled));
    }
    return Err(new Failure(collectIssues(schema, filled)));
}

/** Like {@link safeParse}, but throws a {@link Failure}. */
export function parse<S extends TSchema>(schema: S, value: unknown): Static<S> {
    const result = safeParse(schema, value);
    if (result.err) {
        throw result.val;
    }
    return result.val;
}

function collectIssues(schema: TSchema, value: unknown): Issue[] {
    const issues: Issue[] = [];
    for (const error of Value.Errors(schema, value)) {
        const path = parsePointer(error.instancePath);
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
    return removeDuplicates(issues);
}

/** The validator reports an unknown key twice; keeps the issue with the clearer message. */
function removeDuplicates(issues: Issue[]): Issue[] {
    const unknown = new Set(issues.filter(issue => issue.message === "unknown key").map(issue => issue.path.join("/")));
    return issues.filter(issue => issue.message === "unknown key" || !unknown.has(issue.path.join("/")));
}

function parsePointer(pointer: string): string[] {
    return pointer.split("/").slice(1).map(part => part.replaceAll("~1", "/").replaceAll("~0", "~"));
}
