/** Reads declarations from a TOML or JSON file, or from a folder of such files. */
import { Err, Failure, FailureCode, type Issue, messageOf, Ok, type Result, safeParse } from "@winchpath/core";
import { Name } from "@winchpath/core";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { parse as parseToml } from "smol-toml";
import Type from "typebox";
import { type Kind, kinds, specSchemas } from "./schemas.js";

/** A declaration read from a file. */
export interface Manifest {
    readonly kind: Kind;
    readonly name: string;
    readonly spec: Readonly<Record<string, unknown>>;
}

const ManifestFile = Type.Object(
    Object.fromEntries(kinds.map(kind => [kind.toLowerCase(), Type.Optional(Type.Array(Type.Object({ name: Name })))])),
    { additionalProperties: false },
);

/** Reads a file, or all .toml and .json files of a folder, sorted by name. */
export function loadManifests(path: string): Result<Manifest[], Failure> {
    let files: string[];
    try {
        files = statSync(path).isDirectory() ? listManifestFiles(path) : [path];
    }
    catch (err) {
        return Err(Failure.of(FailureCode.notFound, messageOf(err), [path]));
    }
    const issues: Issue[] = [];
    const manifests: Manifest[] = [];
    for (const file of files) {
        const result = parseManifests(readFileSync(file, "utf8"), file.endsWith(".json") ? "json" : "toml");
        if (result.err) {
            issues.push(...result.val.issues.map(issue => ({ ...issue, path: [file, ...issue.path] })));
        }
        else {
            manifests.push(...result.val);
        }
    }
    issues.push(...findDuplicates(manifests, path));
    return issues.length === 0 ? Ok(manifests) : Err(new Failure(issues));
}

/** Parses and validates the text of one file. */
export function parseManifests(text: string, format: "toml" | "json"): Result<Manifest[], Failure> {
    let raw: unknown;
    try {
        raw = format === "json" ? JSON.parse(text) : parseToml(text);
    }
    catch (err) {
        return Err(Failure.of(FailureCode.invalid, messageOf(err)));
    }
    const shape = safeParse(ManifestFile, raw);
    if (shape.err) {
        return shape;
    }
    const issues: Issue[] = [];
    const manifests: Manifest[] = [];
    for (const kind of kinds) {
        const section = kind.toLowerCase();
        const documents = (shape.val as Record<string, { name: string; }[] | undefined>)[section] ?? [];
        documents.forEach(({ name, ...rest }, index) => {
            const spec = safeParse(specSchemas[kind], rest);
            if (spec.err) {
                issues.push(...spec.val.issues.map(issue => ({ ...issue, path: [section, index, ...issue.path] })));
                return;
            }
            manifests.push({ kind, name, spec: spec.val });
        });
    }
    return issues.length === 0 ? Ok(manifests) : Err(new Failure(issues));
}

/** Validates a spec against the schema of its kind. */
export function checkSpec(kind: Kind, spec: unknown): Result<unknown, Failure> {
    return safeParse(specSchemas[kind], spec);
}

function listManifestFiles(folder: string): string[] {
    const names = readdirSync(folder).filter(name => /\.(toml|json)$/.test(name));
    return names.sort().map(name => join(folder, name));
}

function findDuplicates(manifests: readonly Manifest[], path: string): Issue[] {
    const seen = new Set<string>();
    return manifests.flatMap(({ kind, name }) => {
        const key = `${kind} ${name}`;
        const repeated = seen.has(key);
        seen.add(key);
        return repeated ? [{ code: FailureCode.invalid, path: [path], message: `${key} is declared twice` }] : [];
    });
}
