import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { leavingHeader, notStartedHeader, Refusal, Runner, RunRequestSchema, type Upstream } from "../index.js";

const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });

/** Answers each request with the status and headers that a test sets. */
class AnsweringUpstream implements Upstream {
    public runs = 0;
    public status = 200;
    public headers: Record<string, string> = {};

    public async readState() {
        return undefined;
    }

    public async order() {
        return "taken" as const;
    }

    public async send() {
        this.runs += 1;
        return { status: this.status, headers: this.headers, body: noBytes(), discard: async () => undefined };
    }

    public async hasEnded() {
        return false;
    }

    public async close() {}
}

async function* noBytes(): AsyncGenerator<Uint8Array> {}

describe("an agent, of what its upstream's answers say,", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    let requests = 0;
    async function ask(runner: Runner) {
        requests += 1;
        const req = create(RunRequestSchema, { requestId: `r${requests}`, attempt: 1, timeoutMs: 10_000 });
        for await (const chunk of runner.run(req)) {
            if (chunk.refused !== undefined) {
                return chunk.refused;
            }
        }
        return undefined;
    }

    it("sends nothing in a rest, and tells entries for how long it lasts", async () => {
        const upstream = new AnsweringUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        upstream.status = 503;
        upstream.headers = { [notStartedHeader]: "1", "retry-after": "3" };
        const first = await ask(runner);
        expect([first?.refusal, first?.restMs]).toEqual([Refusal.RESTING, 3000]);
        mock.timers.tick(2000);
        const second = await ask(runner);
        expect([second?.refusal, second?.restMs, upstream.runs]).toEqual([Refusal.RESTING, 1000, 1]);
        mock.timers.tick(1000);
        upstream.status = 200;
        upstream.headers = {};
        expect([await ask(runner), upstream.runs]).toEqual([undefined, 2]);
    });

    it("also in a rest that comes with an answer that was handed on", async () => {
        const upstream = new AnsweringUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        upstream.status = 503;
        upstream.headers = { "retry-after": "3" };
        expect(await ask(runner)).toEqual(undefined);
        expect([(await ask(runner))?.refusal, upstream.runs]).toEqual([Refusal.RESTING, 1]);
    });

    it("takes no rest from other statuses, or from a time that can't be read", async () => {
        const upstream = new AnsweringUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        for (const [status, value] of [[429, "3"], [200, "3"], [503, "soon"], [503, "-2"]] as const) {
            upstream.status = status;
            upstream.headers = { "retry-after": value };
            await ask(runner);
        }
        expect(upstream.runs).toEqual(4);
    });

    it("tells that it leaves, whatever the status", async () => {
        const upstream = new AnsweringUpstream();
        let told = 0;
        const runner = new Runner(upstream, () => undefined, timeline, () => told += 1);
        await ask(runner);
        expect(told).toEqual(0);
        upstream.headers = { [leavingHeader]: "1" };
        for (const status of [200, 500, 503]) {
            upstream.status = status;
            await ask(runner);
        }
        expect(told).toEqual(3);
    });
});
