/** `explain`: from a request's id to what became of it, by the logs of all processes. */
import { Failure, FailureCode } from "@winchpath/core";
import { readFileSync } from "node:fs";
import { type Context, ExitCode } from "../contexts.js";
import { explain, formatExplanation, parseLog } from "../explanations.js";

export function explainRequest(context: Context, request: string, files: readonly string[]): ExitCode {
    const explanation = explain(files.flatMap(readLog), request);
    if (explanation === undefined) {
        throw Failure.of(FailureCode.notFound, `no process tells of request ${request} in these logs`);
    }
    context.print(explanation, () => formatExplanation(explanation));
    return ExitCode.done;
}

function readLog(file: string) {
    try {
        return parseLog(readFileSync(file, "utf8"));
    }
    catch (err) {
        throw Failure.of(FailureCode.invalid, (err as Error).message, [file]);
    }
}
