/**
 * Errors are data: a list of issues, each with a code, a path and a message.
 * `Failure` carries them where an exception is the customary way out.
 */

/** Every way in which an operation of this project can fail. */
export const FailureCode = {
    /** A setting, declaration or request does not match its schema. */
    invalid: "invalid",
    /** The named thing does not exist. */
    notFound: "not-found",
    /** Another change was accepted first. */
    conflict: "conflict",
    /** No leader of the control group is known; nothing was proposed. */
    noLeader: "no-leader",
    /** The outcome of a proposal is not known; it may be resent under its change id. */
    outcomeUnknown: "outcome-unknown",
    /** The process is stopping. */
    stopping: "stopping",
    /** A file of the data folder is damaged. */
    corruptLog: "corrupt-log",
    /** A file of the data folder could not be written or synced. */
    storage: "storage",
    /** Time ran out. */
    timeout: "timeout",
    /** The caller or peer did not show the shared key. */
    unauthenticated: "unauthenticated",
    /** A queue, body or window is full. */
    overloaded: "overloaded",
    /** The environment is one that the process refuses to run in. */
    environment: "environment",
    /** A peer or upstream could not be reached. */
    unreachable: "unreachable",
} as const;

export type FailureCode = typeof FailureCode[keyof typeof FailureCode];

/** One finding: what is wrong, and where. */
export interface Issue {
    readonly code: FailureCode;
    /** Keys and indexes that lead to the value, outermost first. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/** An exception that carries issues. Its message joins those of the issues. */
export class Failure extends Error {
    public readonly issues: readonly Issue[];

    public constructor(issues: readonly Issue[]) {
        super(issues.map(formatIssue).join("; "));
        this.name = "Failure";
        this.issues = issues;
    }

    /** Code of the first issue. */
    public get code(): FailureCode {
        return this.issues[0].code;
    }

    /** A failure with one issue. */
    public static of(code: FailureCode, message: string, path: readonly (string | number)[] = []): Failure {
        return new Failure([{ code, path, message }]);
    }
}

/** Writes an issue as `path: message`, or as the message alone where there is no path. */
export function formatIssue(issue: Issue): string {
    return issue.path.length === 0 ? issue.message : `${issue.path.join(".")}: ${issue.message}`;
}

/** The message of anything that was thrown. */
export function messageOf(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
