/**
 * Errors as data: a list of issues, each with a code, a path and a message.
 * `Failure` wraps them in an exception.
 */

/** Error codes of all operations. */
export const FailureCode = {
    /** A setting, declaration or request does not match its schema. */
    invalid: "invalid",
    /** The named resource, file or other object does not exist. */
    notFound: "not-found",
    /** Conflicts with a change that was accepted earlier. */
    conflict: "conflict",
    /** No leader of the control group is known; nothing was proposed. */
    noLeader: "no-leader",
    /** The outcome of a proposal is unknown; it can be resent with the same change id. */
    outcomeUnknown: "outcome-unknown",
    /** The process is stopping. */
    stopping: "stopping",
    /** A file of the data folder is damaged. */
    corruptLog: "corrupt-log",
    /** A file of the data folder could not be written or synced. */
    storage: "storage",
    /** The operation timed out. */
    timeout: "timeout",
    /** The caller or peer did not present the shared key. */
    unauthenticated: "unauthenticated",
    /** A queue, body or window is full. */
    overloaded: "overloaded",
    /** The process does not support the environment in which it was started. */
    environment: "environment",
    /** A peer or upstream could not be reached. */
    unreachable: "unreachable",
} as const;

export type FailureCode = typeof FailureCode[keyof typeof FailureCode];

/** A single problem and its location. */
export interface Issue {
    readonly code: FailureCode;
    /** Keys and indexes leading to the value, outermost first. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/** An exception that carries issues. Its message is the list of the formatted issues. */
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

    /** Creates a failure with a single issue. */
    public static of(code: FailureCode, message: string, path: readonly (string | number)[] = []): Failure {
        return new Failure([{ code, path, message }]);
    }
}

/** Formats an issue as `path: message`, or as the message alone if the path is empty. */
export function formatIssue(issue: Issue): string {
    return issue.path.length === 0 ? issue.message : `${issue.path.join(".")}: ${issue.message}`;
}

/** Returns the message of any thrown value. */
export function messageOf(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
