/** Commands that analyse logs: `explain` and `summarize`. */
import { Failure, FailureCode } from "@winchpath/core";
import { readFileSync } from "node:fs";
import { type Context, ExitCode } from "../contexts.js";
import { explain, formatExplanation } from "../explanations.js";
import { parseLog } from "../logs.js";
import { formatSummary, summarize } from "../summaries.js";

export function explainRequest(context: Context, request: string, files: readonly string[]): ExitCode {
    const explanation = explain(files.flatMap(readLog), request);
    if (explanation === undefined) {
        throw Failure.of(FailureCode.notFound, `request ${request} does not occur in these logs`);
    }
    context.print(explanation, () => formatExplanation(explanation));
    return ExitCode.done;
}

export function summarizeLogs(context: Context, files: readonly string[], spanSeconds: number): ExitCode {
    const summary = summarize(files.flatMap(readLog), spanSeconds);
    context.print(summary, () => formatSummary(summary));
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
