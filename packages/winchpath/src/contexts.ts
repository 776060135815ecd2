/** The context that is passed to each command: client, operator name and output. */
import { Failure, FailureCode, formatIssue } from "@winchpath/core";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { OperatorClient } from "./clients.js";

/** Exit codes of the command line. */
export const ExitCode = {
    done: 0,
    /** No entry could be reached, or something else failed. */
    failed: 1,
    /** The command, a file or a setting is wrong. */
    invalid: 2,
    /** The change was refused: a version conflict or an invalid declaration. */
    refused: 3,
    /** Waiting timed out. */
    timedOut: 4,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Options that all commands share. */
export interface CommonOptions {
    readonly entry: readonly string[];
    readonly keyFile: string | undefined;
    readonly output: string;
    readonly operator: string | undefined;
}

export class Context {
    public readonly client: OperatorClient;
    public readonly operator: string;
    private readonly json: boolean;

    public constructor(options: CommonOptions) {
        const key = options.keyFile === undefined ? undefined : readFileSync(options.keyFile, "utf8").trim();
        this.client = new OperatorClient({ entries: options.entry, key });
        this.operator = options.operator ?? userInfo().username;
        this.json = options.output === "json";
    }

    /** Prints the value as JSON with `--output json`, and its text form otherwise. */
    public print(value: unknown, text: () => string): void {
        process.stdout.write(`${this.json ? JSON.stringify(value, undefined, 4) : text()}\n`);
    }

    /** Writes to standard error, so that standard output contains only results. */
    public progress(text: string): void {
        process.stderr.write(`${text}\n`);
    }
}

/** Prints an error to standard error and returns its exit code. */
export function reportFailure(err: unknown): ExitCode {
    const issues = err instanceof Failure
        ? err.issues
        : [{ code: FailureCode.unreachable, path: [], message: String(err) }];
    issues.forEach(issue => process.stderr.write(`winchpath: ${formatIssue(issue)}\n`));
    const { code } = issues[0];
    if (code === FailureCode.invalid || code === FailureCode.notFound) {
        return ExitCode.invalid;
    }
    return code === FailureCode.timeout ? ExitCode.timedOut : ExitCode.failed;
}
