/** Command `account list`. */
import { Failure, FailureCode, messageOf, readBoundedText, sleep, steadyNow } from "@winchpath/core";
import { request } from "undici";
import { accountUsages, formatAccountUsages } from "../accountusages.js";
import { type Context, ExitCode } from "../contexts.js";

const readTimeoutMs = 3000;
/** Longer answers are not read, in bytes; each of some thousand accounts takes a few lines. */
const maxMetricsBytes = 64 * 1024 * 1024;
const okStatus = 200;

/** Metrics of an entry, and the monotonic time at which they were read. */
interface Reading {
    readonly text: string;
    readonly at: number;
}

/**
 * Prints share, use and backlog of client accounts, from two readings of the metrics of entries that are `seconds` apart.
 * Entries that don't respond are left out and named.
 */
export async function listAccounts(context: Context, urls: readonly string[], seconds: number): Promise<ExitCode> {
    if (!(seconds > 0)) {
        throw Failure.of(FailureCode.invalid, "the span must be more than 0 seconds");
    }
    const before = await readAll(context, urls);
    await sleep(seconds * 1000);
    const after = await readAll(context, [...before.keys()]);
    if (after.size === 0) {
        throw Failure.of(FailureCode.unreachable, "no metrics could be read");
    }
    const readings = [...after].map(([url, { text, at }]) => {
        const first = before.get(url)!;
        return { before: first.text, after: text, seconds: (at - first.at) / 1000 };
    });
    const usages = accountUsages(
        readings.map(reading => reading.before),
        readings.map(reading => reading.after),
        readings.map(reading => reading.seconds),
    );
    context.print(usages, () => formatAccountUsages(usages));
    return ExitCode.done;
}

async function readAll(context: Context, urls: readonly string[]): Promise<Map<string, Reading>> {
    const readings = new Map<string, Reading>();
    await Promise.all(urls.map(async url => {
        try {
            const { statusCode, body } = await request(`${url}/metrics`, {
                signal: AbortSignal.timeout(readTimeoutMs),
            });
            const text = await readBoundedText(body, maxMetricsBytes);
            if (statusCode !== okStatus) {
                throw new Error(`status ${statusCode}`);
            }
            readings.set(url, { text, at: steadyNow() });
        }
        catch (err) {
            context.progress(`no metrics from ${url}: ${messageOf(err)}`);
        }
    }));
    return readings;
}
