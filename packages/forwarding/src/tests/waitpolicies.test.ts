import { expect } from "earl";
import { describe, it } from "node:test";
import { LaxityOrder, LoadWaitPolicy, PriorityOrder, WaitPolicy, WaitQueue } from "../index.js";
import { recordedWaits } from "./recordedwaits.js";
import { testRoute } from "./testservers.js";
import { testRequest, type WaitInput, waitInput } from "./waitinputs.js";

const now = 1_000_000_000;
const enabled = { has: () => true };
const noThroughput = { durationMs: () => 0 };

function policyOf({ view, endpoints }: WaitInput): WaitPolicy {
    return new WaitPolicy(
        view,
        endpoints,
        () => 0.5,
        new LoadWaitPolicy(enabled, noThroughput, () => view.configuration),
    );
}

function rounded(value: number | undefined): number {
    return Math.round(value! * 10) / 10;
}

describe("waits for an upstream", () => {
    it("are the recorded ones where no objective covers a model load", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        recordedWaits.forEach((recorded, number) => {
            const input = waitInput(number);
            const policy = policyOf(input);
            const { response, retryAfterMs } = policy.refusal(input.request, input.reason);
            const waitMs = rounded(policy.waitMs(input.request, input.reason));
            expect<readonly (number | string)[]>([waitMs, response.reason, rounded(retryAfterMs)]).toEqual(recorded);
            expect(policy.waitsLong(input.request, input.reason)).toEqual(false);
        });
    });

    it("differ only for missing models and full engines where an objective covers a load", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        let differing = 0;
        recordedWaits.forEach((recorded, number) => {
            const input = waitInput(number, 1200);
            const policy = policyOf(input);
            const { retryAfterMs } = policy.refusal(input.request, input.reason);
            const differs = recorded[0] !== rounded(policy.waitMs(input.request, input.reason))
                || recorded[2] !== rounded(retryAfterMs);
            differing += differs ? 1 : 0;
            if (differs) {
                expect(["lacking", "full"]).toInclude(input.reason.kind);
                expect(policy.waitsLong(input.request, input.reason)).toEqual(true);
            }
        });
        expect(differing).toBeGreaterThan(0);
    });

    it("never last beyond the time at which the client gives up", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        recordedWaits.forEach((_, number) => {
            const input = waitInput(number, 1200);
            expect(policyOf(input).waitMs(input.request, input.reason)).toBeLessThanOrEqual(
                input.request.deadlineAt - now,
            );
        });
    });
});

describe("the order of waiting requests", () => {
    const order = new LaxityOrder({ appliesTo: () => true, workMs: () => 0 });

    it("is by priority, then by the latest time to be sent", async () => {
        const queue = new WaitQueue<ReturnType<typeof testRequest>, string>(order);
        const served: string[] = [];
        let open = false;
        const waits = [
            { name: "late", priority: 1, timeoutMs: 9000 },
            { name: "soon", priority: 1, timeoutMs: 4000 },
            { name: "urgent", priority: 0, timeoutMs: 20_000 },
        ].map(({ name, priority, timeoutMs }) => {
            const request = testRequest(testRoute({ priority, timeoutMs }), 0);
            return queue.wait(request, 1000, request.abortSignal, () => open ? (served.push(name), name) : undefined);
        });
        open = true;
        queue.retryAll();
        await Promise.all(waits);
        expect(served).toEqual(["urgent", "soon", "late"]);
    });

    it("keeps a request's place when its wait is renewed", async () => {
        const queue = new WaitQueue<ReturnType<typeof testRequest>, string>(order);
        const served: string[] = [];
        let open = false;
        const first = testRequest(testRoute({ timeoutMs: 4000 }), 0);
        const second = testRequest(testRoute({ timeoutMs: 4000 }), -10);
        const wait = (request: typeof first, name: string) =>
            queue.wait(request, 1000, request.abortSignal, () => open ? (served.push(name), name) : undefined);
        const waits = [wait(second, "second"), wait(first, "first")];
        open = true;
        queue.retryAll();
        await Promise.all(waits);
        expect(served).toEqual(["first", "second"]);
    });

    // Guards against requests that fall behind later ones each time they check whether to keep waiting.
    it("is by arrival among equal requests, also between the renewals of their waits", async t => {
        t.mock.timers.enable({ apis: ["setTimeout"] });
        const queue = new WaitQueue<ReturnType<typeof testRequest>, string>(new PriorityOrder());
        const served: string[] = [];
        let open = false;
        const wait = async (name: string) => {
            const request = testRequest(testRoute({}), 0);
            const tryServe = () => open ? (served.push(name), name) : undefined;
            while (await queue.wait(request, 100, request.abortSignal, tryServe) === undefined) {}
        };
        const waits = ["first", "second", "third"].map(name => {
            const waiting = wait(name);
            t.mock.timers.tick(40);
            return waiting;
        });
        await new Promise(resolve => setImmediate(resolve));
        expect(queue.size).toEqual(3);
        open = true;
        queue.retryAll();
        await Promise.all(waits);
        expect(served).toEqual(["first", "second", "third"]);
    });

    it("ends a wait that is cancelled", async () => {
        const queue = new WaitQueue<ReturnType<typeof testRequest>, string>(order);
        const request = testRequest(testRoute({}), 0);
        const wait = queue.wait(request, 1000, request.abortSignal, () => undefined);
        queue.cancel(request);
        expect(await wait).toEqual(undefined);
        expect(queue.size).toEqual(0);
    });
});
