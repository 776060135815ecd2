import { QuarantineState } from "@winchpath/quarantine";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { Claims, type Job, RequestFailure } from "../index.js";
import { ask, deadly, FakeAgents, handlerFor, jobFor, quarantineFor, wholeText } from "./fakes.js";

/** What the leader's side takes to gather an end and write it, in milliseconds. */
const settleMs = 300;

/** Two entries before the same agents, that share one replicated log. */
class TwoEntries {
    public readonly agents = new FakeAgents({ cuts: [], breaks: [], restarts: [] }, ["a", "b", "c"]);
    private readonly book = new QuarantineState();
    private readonly ended = new AbortController();
    private readonly quarantines = [quarantineFor(this.book), quarantineFor(this.book)];
    private readonly claims = new Claims();
    private readonly handlers = this.quarantines.map(one => handlerFor(this.agents, this.claims, one));

    public constructor(private readonly t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        this.book.apply({ kind: "set-key", key: "a2V5" }, { time: 0 });
        this.quarantines.forEach(one => void one.run(this.ended.signal));
    }

    /** Runs of the request that ends upstreams. */
    public get deadlyRuns(): number {
        return this.agents.upstream.runs.get(deadly) ?? 0;
    }

    public async ask(entry: number, body: string, changes: Partial<Job> = {}) {
        const job = jobFor(this.agents, {
            requestId: `${Math.random()}`,
            bodyFor: () => Buffer.from(body),
            ...changes,
        });
        const result = await ask(this.handlers[entry], job);
        await this.settle();
        return result;
    }

    public end(): void {
        this.ended.abort();
    }

    private async settle(): Promise<void> {
        const stepMs = 50;
        for (let passed = 0; passed < settleMs; passed += stepMs) {
            this.t.mock.timers.tick(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

function problemOf({ failure }: { failure: unknown; }): string {
    return failure instanceof RequestFailure ? `${failure.status} ${failure.code}` : "answered";
}

describe("at our own interface, a request that ends each upstream that runs it", () => {
    it("is held back at every entry once three have ended", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, deadly);
        }
        const last = [await entries.ask(0, deadly), await entries.ask(1, deadly)].map(problemOf);
        expect(last).toEqual(["422 request-ends-upstreams", "422 request-ends-upstreams"]);
        expect(entries.deadlyRuns).toBeGreaterThanOrEqual(3);
        expect(entries.deadlyRuns).toBeLessThanOrEqual(4);
        entries.end();
    });

    it("is held back with an idempotency key too, and is said not to have run", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, deadly);
        }
        const runs = entries.deadlyRuns;
        const { failure } = await entries.ask(1, deadly, { idempotencyKey: "k", repeatable: false });
        expect((failure as RequestFailure).outcome).toEqual("not-run");
        expect(entries.deadlyRuns).toEqual(runs);
        entries.end();
    });

    it("leaves other requests alone, of the same caller too", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, deadly);
        }
        expect((await entries.ask(0, "other")).text).toEqual(wholeText);
        entries.end();
    });
});
