/** Loads and validates settings files. */
import { Err, Failure, FailureCode, type Issue, messageOf, Ok, type Result, safeDecode } from "@winchpath/core";
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { parse as parseToml } from "smol-toml";
import { SettingsFile } from "./schemas.js";

/** Validated settings, with durations in milliseconds and sizes in bytes. */
export interface Settings extends SettingsFile {
    /** The shared key, read from its file. */
    readonly key: string | undefined;
    /** Base URL by which other processes reach this one. */
    readonly peerUrl: string;
}

const minKeyLength = 16;

/** Reads a settings file. Each issue's path starts with the file. */
export function loadSettings(file: string): Result<Settings, Failure> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (err) {
        return Err(Failure.of(FailureCode.notFound, messageOf(err), [file]));
    }
    const result = parseSettings(text, dirname(resolve(file)));
    return result.err
        ? Err(new Failure(result.val.issues.map(issue => ({ ...issue, path: [file, ...issue.path] }))))
        : result;
}

/** Parses the text of a settings file; relative paths in it are resolved against `folder`. */
export function parseSettings(text: string, folder: string): Result<Settings, Failure> {
    let raw: unknown;
    try {
        raw = parseToml(text);
    }
    catch (err) {
        return Err(Failure.of(FailureCode.invalid, messageOf(err)));
    }
    const decoded = safeDecode(SettingsFile, raw);
    if (decoded.err) {
        return decoded;
    }
    const file = decoded.val;
    const issues = checkRole(file);
    const key = readKey(file, folder, issues);
    if (issues.length > 0) {
        return Err(new Failure(issues));
    }
    const address = file.listen.advertise ?? file.listen.peers;
    const host = address.host.includes(":") ? `[${address.host}]` : address.host;
    const dataFolder = file.dataFolder === undefined ? undefined : resolve(folder, file.dataFolder);
    return Ok({ ...file, dataFolder, key, peerUrl: `http://${host}:${address.port}` });
}

/** Checks which keys the role requires and which it does not support. */
function checkRole(file: SettingsFile): Issue[] {
    const issues: Issue[] = [];
    const requireKey = (present: boolean, ...path: string[]) => {
        if (!present) {
            issues.push({ code: FailureCode.invalid, path, message: `role ${file.role} requires this key` });
        }
    };
    const rejectKey = (present: boolean, ...path: string[]) => {
        if (present) {
            issues.push({ code: FailureCode.invalid, path, message: `role ${file.role} does not support this key` });
        }
    };
    if (file.role === "agent") {
        requireKey(file.upstream !== undefined, "upstream");
        rejectKey(file.listen.callers !== undefined, "listen", "callers");
        rejectKey(file.dataFolder !== undefined, "dataFolder");
    }
    else {
        rejectKey(file.upstream !== undefined, "upstream");
        requireKey(file.listen.operators !== undefined, "listen", "operators");
    }
    if (file.role === "entry") {
        requireKey(file.listen.callers !== undefined, "listen", "callers");
    }
    if (file.role === "control") {
        requireKey(file.dataFolder !== undefined, "dataFolder");
        rejectKey(file.listen.callers !== undefined, "listen", "callers");
    }
    if (file.upstream?.kind === "service") {
        requireKey(file.upstream.service !== undefined, "upstream", "service");
    }
    if (file.upstream?.kind === "engine") {
        requireKey(file.upstream.accelerators.length > 0, "upstream", "accelerators");
    }
    return issues;
}

function readKey(file: SettingsFile, folder: string, issues: Issue[]): string | undefined {
    const { keyFile, insecure } = file.security;
    const path = ["security", "keyFile"];
    if (keyFile === undefined) {
        if (!insecure) {
            issues.push({
                code: FailureCode.invalid,
                path,
                message: "key is missing and security.insecure is not set",
            });
        }
        return undefined;
    }
    try {
        const key = readFileSync(resolve(folder, keyFile), "utf8").trim();
        if (key.length >= minKeyLength) {
            return key;
        }
        issues.push({ code: FailureCode.invalid, path, message: `the key is shorter than ${minKeyLength} characters` });
    }
    catch (err) {
        issues.push({ code: FailureCode.notFound, path, message: messageOf(err) });
    }
    return undefined;
}

/** Fails if Node.js would use io_uring, which the platform does not allow. */
export function checkEnvironment(env: Readonly<Record<string, string | undefined>>): Result<void, Failure> {
    const value = env["UV_USE_IO_URING"];
    if (value !== undefined && value !== "0") {
        return Err(
            Failure.of(FailureCode.environment, "io_uring is enabled; unset this variable or set it to 0", [
                "UV_USE_IO_URING",
            ]),
        );
    }
    return Ok(undefined);
}
