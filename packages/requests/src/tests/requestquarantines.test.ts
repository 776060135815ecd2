import { QuarantineState } from "@winchpath/quarantine";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { IdempotencyClaims, type Job, RequestFailure } from "../index.js";
import { ask, crashingBody, createHandler, createJob, createQuarantine, FakeAgents, responseText } from "./fakes.js";

/** Time to collect a crash and write it to the log, in milliseconds. */
const settleMs = 300;

/** Two entries with the same agents and a shared replicated log. */
class TwoEntries {
    public readonly agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [] }, ["a", "b", "c"]);
    private readonly book = new QuarantineState();
    private readonly stopped = new AbortController();
    private readonly quarantines = [createQuarantine(this.book), createQuarantine(this.book)];
    private readonly claims = new IdempotencyClaims();
    private readonly handlers = this.quarantines.map(one => createHandler(this.agents, this.claims, one));

    public constructor(private readonly t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        this.book.apply({ kind: "set-key", key: "a2V5" }, { time: 0 });
        this.quarantines.forEach(one => void one.run(this.stopped.signal));
    }

    /** Number of runs of the crashing request. */
    public get crashingRuns(): number {
        return this.agents.upstream.runs.get(crashingBody) ?? 0;
    }

    public async ask(entry: number, body: string, changes: Partial<Job> = {}) {
        const result = await this.askAtOnce(entry, body, changes);
        await this.settle();
        return result;
    }

    /** As {@link ask}, without time for the crash to be decided. */
    public askAtOnce(entry: number, body: string, changes: Partial<Job> = {}) {
        const job = createJob(this.agents, {
            requestId: `${Math.random()}`,
            bodyFor: () => Buffer.from(body),
            ...changes,
        });
        return ask(this.handlers[entry], job);
    }

    public stop(): void {
        this.stopped.abort();
    }

    public async settle(): Promise<void> {
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

describe("a request that crashes every upstream that runs it", () => {
    it("is rejected by every entry after three crashes", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, crashingBody);
        }
        const last = [await entries.ask(0, crashingBody), await entries.ask(1, crashingBody)].map(problemOf);
        expect(last).toEqual(["422 request-ends-upstreams", "422 request-ends-upstreams"]);
        expect(entries.crashingRuns).toBeGreaterThanOrEqual(3);
        expect(entries.crashingRuns).toBeLessThanOrEqual(4);
        entries.stop();
    });

    it("is also rejected with an idempotency key, with the outcome not-run", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, crashingBody);
        }
        const runs = entries.crashingRuns;
        const { failure } = await entries.ask(1, crashingBody, { idempotencyKey: "k", repeatable: false });
        expect((failure as RequestFailure).outcome).toEqual("not-run");
        expect(entries.crashingRuns).toEqual(runs);
        entries.stop();
    });

    it("does not affect other requests of the same client", async t => {
        const entries = new TwoEntries(t);
        for (let index = 0; index < 6; index++) {
            await entries.ask(index % 2, crashingBody);
        }
        expect((await entries.ask(0, "other")).text).toEqual(responseText);
        entries.stop();
    });

    // Guards against a client that returns before the crashes under its first call are decided: each call crashed two more.
    it("crashes one upstream more at most if its client returns at once", async t => {
        const entries = new TwoEntries(t);
        await entries.askAtOnce(0, crashingBody);
        expect(entries.crashingRuns).toEqual(2);
        const returns = Promise.all([0, 0, 0].map(entry => entries.askAtOnce(entry, crashingBody)));
        for (let rounds = 0; rounds < 10; rounds++) {
            await entries.settle();
        }
        const statuses = (await returns).map(problemOf);
        expect(entries.crashingRuns).toBeLessThanOrEqual(4);
        await entries.ask(0, crashingBody);
        expect(entries.crashingRuns).toBeLessThanOrEqual(4);
        expect(statuses.length).toEqual(3);
        entries.stop();
    });
});
