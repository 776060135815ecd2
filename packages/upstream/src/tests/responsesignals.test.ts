import { create } from "@bufbuild/protobuf";
import { ResponseFraming } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { leavingHeader, notStartedHeader, Refusal, Runner, RunRequestSchema, type Upstream } from "../index.js";

const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });

/** Responds to each request with the status and headers set by the test. */
class FakeUpstream implements Upstream {
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
        return {
            status: this.status,
            headers: this.headers,
            body: emptyBody(),
            framing: ResponseFraming.length,
            wasReset: () => false,
            discard: async () => undefined,
        };
    }

    public async hasEnded() {
        return false;
    }

    public async close() {}
}

async function* emptyBody(): AsyncGenerator<Uint8Array> {}

describe("signals in an upstream's responses", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    let requests = 0;
    async function sendRequest(runner: Runner) {
        requests += 1;
        const req = create(RunRequestSchema, { requestId: `r${requests}`, attempt: 1, timeoutMs: 10_000 });
        for await (const chunk of runner.run(req)) {
            if (chunk.refused !== undefined) {
                return chunk.refused;
            }
        }
        return undefined;
    }

    it("start a backoff, in which no requests are sent and entries are told the remaining time", async () => {
        const upstream = new FakeUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        upstream.status = 503;
        upstream.headers = { [notStartedHeader]: "1", "retry-after": "3" };
        const first = await sendRequest(runner);
        expect([first?.refusal, first?.restMs]).toEqual([Refusal.RESTING, 3000]);
        mock.timers.tick(2000);
        const second = await sendRequest(runner);
        expect([second?.refusal, second?.restMs, upstream.runs]).toEqual([Refusal.RESTING, 1000, 1]);
        mock.timers.tick(1000);
        upstream.status = 200;
        upstream.headers = {};
        expect([await sendRequest(runner), upstream.runs]).toEqual([undefined, 2]);
    });

    it("start a backoff also if the response was forwarded to the caller", async () => {
        const upstream = new FakeUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        upstream.status = 503;
        upstream.headers = { "retry-after": "3" };
        expect(await sendRequest(runner)).toEqual(undefined);
        expect([(await sendRequest(runner))?.refusal, upstream.runs]).toEqual([Refusal.RESTING, 1]);
    });

    it("start no backoff with other statuses or an invalid Retry-After header", async () => {
        const upstream = new FakeUpstream();
        const runner = new Runner(upstream, () => undefined, timeline);
        for (const [status, value] of [[429, "3"], [200, "3"], [503, "soon"], [503, "-2"]] as const) {
            upstream.status = status;
            upstream.headers = { "retry-after": value };
            await sendRequest(runner);
        }
        expect(upstream.runs).toEqual(4);
    });

    it("announce that the upstream is leaving, with any status", async () => {
        const upstream = new FakeUpstream();
        let told = 0;
        const runner = new Runner(upstream, () => undefined, timeline, () => told += 1);
        await sendRequest(runner);
        expect(told).toEqual(0);
        upstream.headers = { [leavingHeader]: "1" };
        for (const status of [200, 500, 503]) {
            upstream.status = status;
            await sendRequest(runner);
        }
        expect(told).toEqual(3);
    });
});
