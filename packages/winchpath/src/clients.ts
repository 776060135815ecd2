/** Client of the operators' HTTP interface, with failover between entries. */
import { Failure, FailureCode, type Issue, messageOf, readBoundedText, sleep } from "@winchpath/core";
import { type Change, type ChangeResult, type Kind, type Resource } from "@winchpath/declarations";
import { type ResourceList, type Status, type WatchLine } from "@winchpath/operators";
import { request } from "undici";

/** After a timeout the request goes to the next entry. Changes are idempotent by their change id. */
const readTimeoutMs = 3000;
const changeTimeoutMs = 5000;
/** Longer than the interval of the server's keep-alive lines. */
const watchTimeoutMs = 15_000;
/** Longer answers are not read, in bytes; nor are longer lines of a watch. */
const maxAnswerBytes = 64 * 1024 * 1024;
const maxRounds = 3;
const retryDelayMs = 300;
const unavailableStatus = 503;
const okStatus = 200;

export interface ClientOptions {
    /** Base URLs of operators' interfaces. */
    readonly entries: readonly string[];
    readonly key: string | undefined;
}

interface HttpResponse {
    readonly status: number;
    readonly text: string;
}

export class OperatorClient {
    private lastRespondingEntry: string | undefined;

    public constructor(private readonly options: ClientOptions) {}

    public list(kind: Kind): Promise<ResourceList> {
        return this.read(`/apis/v1/${kind.toLowerCase()}s`);
    }

    public get(kind: Kind, name: string): Promise<Resource> {
        return this.read(`/apis/v1/${kind.toLowerCase()}s/${encodeURIComponent(name)}`);
    }

    public status(): Promise<Status> {
        return this.read("/apis/v1/status");
    }

    /** The merged timeline, and the URLs of processes that did not respond. */
    public timeline(
        query: Readonly<Record<string, string | undefined>>,
    ): Promise<{ missing: string[]; events: unknown[]; }> {
        const pairs = Object.entries(query).filter((pair): pair is [string, string] => pair[1] !== undefined);
        return this.read(`/apis/v1/timeline?${new URLSearchParams(pairs)}`);
    }

    /** Commits a change. Retries are idempotent by the change id. */
    public async change(change: Change, dryRun: boolean): Promise<ChangeResult> {
        const { status, text } = await this.send("POST", "/apis/v1/changes", { ...change, dryRun });
        const body = JSON.parse(text) as ChangeResult & { issues?: Issue[]; };
        if (status === okStatus) {
            return body;
        }
        if (body.tag === "refused") {
            return { tag: "refused", issues: body.issues };
        }
        throw new Failure(body.issues ?? [{ code: FailureCode.invalid, path: [], message: text }]);
    }

    /** Streams watch lines; after a failure it resumes from the last revision at the next entry. */
    public async *watch(from: number | undefined): AsyncGenerator<WatchLine> {
        let revision = from;
        for (let failures = 0; failures < maxRounds * this.options.entries.length;) {
            const entry = this.options.entries[failures % this.options.entries.length];
            try {
                for await (const line of this.watchEntry(entry, revision)) {
                    failures = 0;
                    revision = line.revision;
                    yield line;
                }
            }
            catch {
                await sleep(retryDelayMs);
            }
            failures += 1;
        }
        throw Failure.of(FailureCode.unreachable, "could not watch any entry");
    }

    private async *watchEntry(entry: string, from: number | undefined): AsyncGenerator<WatchLine> {
        const query = from === undefined ? "" : `?from=${from}`;
        const { statusCode, body } = await request(`${entry}/apis/v1/watch${query}`, {
            headers: this.headers(),
            bodyTimeout: watchTimeoutMs,
        });
        if (statusCode !== okStatus) {
            throw Failure.of(FailureCode.unreachable, await readBoundedText(body, maxAnswerBytes));
        }
        let partialLine = "";
        for await (const chunk of body) {
            const lines = (partialLine + String(chunk)).split("\n");
            partialLine = lines.pop()!;
            if (partialLine.length > maxAnswerBytes) {
                throw Failure.of(FailureCode.invalid, `a line of a watch is longer than ${maxAnswerBytes} bytes`);
            }
            yield* lines.filter(line => line !== "").map(line => JSON.parse(line) as WatchLine);
        }
    }

    private async read<T>(path: string): Promise<T> {
        const { status, text } = await this.send("GET", path);
        const body = JSON.parse(text) as T & { issues?: Issue[]; };
        if (status !== okStatus) {
            throw new Failure(body.issues ?? [{ code: FailureCode.invalid, path: [], message: text }]);
        }
        return body;
    }

    /** Tries each entry in turn, for up to `maxRounds` rounds. */
    private async send(method: "GET" | "POST", path: string, body?: unknown): Promise<HttpResponse> {
        let lastError = "no entry URL was given";
        for (let round = 0; round < maxRounds; round++) {
            for (const entry of this.entriesByPreference()) {
                try {
                    const response = await this.sendTo(entry, method, path, body);
                    if (response.status !== unavailableStatus) {
                        this.lastRespondingEntry = entry;
                        return response;
                    }
                    lastError = `${entry}: ${response.text}`;
                }
                catch (err) {
                    lastError = `${entry}: ${messageOf(err)}`;
                }
            }
            await sleep(retryDelayMs);
        }
        throw Failure.of(FailureCode.unreachable, lastError);
    }

    /** All entries, starting with the one that last responded. */
    private entriesByPreference(): string[] {
        const { entries } = this.options;
        const first = entries.filter(entry => entry === this.lastRespondingEntry);
        return [...first, ...entries.filter(entry => entry !== this.lastRespondingEntry)];
    }

    private async sendTo(entry: string, method: "GET" | "POST", path: string, body: unknown): Promise<HttpResponse> {
        const res = await request(entry + path, {
            method,
            headers: this.headers(),
            body: body === undefined ? undefined : JSON.stringify(body),
            signal: AbortSignal.timeout(method === "GET" ? readTimeoutMs : changeTimeoutMs),
        });
        return { status: res.statusCode, text: await res.body.text() };
    }

    private headers(): Record<string, string> {
        const { key } = this.options;
        return { "content-type": "application/json", ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) };
    }
}
