/** The operators' interface as the command line uses it: several entries, the next one tried when one is down. */
import { Failure, FailureCode, type Issue, messageOf, sleep } from "@winchpath/core";
import { type Change, type ChangeResult, type Kind, type Resource } from "@winchpath/declarations";
import { type ResourceList, type Status, type WatchLine } from "@winchpath/operators";
import { request } from "undici";

/** What takes longer is asked of the next entry; a change may be, since it carries its id. */
const readTimeoutMs = 3000;
const changeTimeoutMs = 5000;
/** The watch sends an empty line more often than this. */
const watchTimeoutMs = 15_000;
const rounds = 3;
const pauseMs = 300;
const unavailableStatus = 503;
const okStatus = 200;

export interface ClientOptions {
    /** Base URLs of operators' listeners. */
    readonly entries: readonly string[];
    readonly key: string | undefined;
}

interface Answer {
    readonly status: number;
    readonly text: string;
}

export class OperatorClient {
    private preferred: string | undefined;

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

    /** The merged time line, and processes that did not answer. */
    public timeline(
        query: Readonly<Record<string, string | undefined>>,
    ): Promise<{ missing: string[]; events: unknown[]; }> {
        const pairs = Object.entries(query).filter((pair): pair is [string, string] => pair[1] !== undefined);
        return this.read(`/apis/v1/timeline?${new URLSearchParams(pairs)}`);
    }

    /** Makes a change; safe to send again, since it carries its change id. */
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

    /** Lines of the watch, from another entry where one is lost; each goes on where the last stood. */
    public async *watch(from: number | undefined): AsyncGenerator<WatchLine> {
        let revision = from;
        for (let failures = 0; failures < rounds * this.options.entries.length;) {
            const entry = this.options.entries[failures % this.options.entries.length];
            try {
                for await (const line of this.watchOne(entry, revision)) {
                    failures = 0;
                    revision = line.revision;
                    yield line;
                }
            }
            catch {
                await sleep(pauseMs);
            }
            failures += 1;
        }
        throw Failure.of(FailureCode.unreachable, "no entry can be watched");
    }

    private async *watchOne(entry: string, from: number | undefined): AsyncGenerator<WatchLine> {
        const query = from === undefined ? "" : `?from=${from}`;
        const { statusCode, body } = await request(`${entry}/apis/v1/watch${query}`, {
            headers: this.headers(),
            bodyTimeout: watchTimeoutMs,
        });
        if (statusCode !== okStatus) {
            throw Failure.of(FailureCode.unreachable, await body.text());
        }
        let rest = "";
        for await (const chunk of body) {
            const lines = (rest + String(chunk)).split("\n");
            rest = lines.pop()!;
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

    /** Asks one entry after the other, a few rounds long. */
    private async send(method: "GET" | "POST", path: string, body?: unknown): Promise<Answer> {
        let last = "no entries are given";
        for (let round = 0; round < rounds; round++) {
            for (const entry of this.inOrder()) {
                try {
                    const answer = await this.sendOne(entry, method, path, body);
                    if (answer.status !== unavailableStatus) {
                        this.preferred = entry;
                        return answer;
                    }
                    last = `${entry}: ${answer.text}`;
                }
                catch (err) {
                    last = `${entry}: ${messageOf(err)}`;
                }
            }
            await sleep(pauseMs);
        }
        throw Failure.of(FailureCode.unreachable, last);
    }

    /** The entry that answered last comes first. */
    private inOrder(): string[] {
        const { entries } = this.options;
        const first = entries.filter(entry => entry === this.preferred);
        return [...first, ...entries.filter(entry => entry !== this.preferred)];
    }

    private async sendOne(entry: string, method: "GET" | "POST", path: string, body: unknown): Promise<Answer> {
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
