/** Guards against retries that no budget allows, whatever way a request takes to a second upstream. */
import { Metrics, silentLog, steadyNow } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { declinedRefusal, RetryPolicy } from "../index.js";
import {
    completeResponse,
    createRetryBudgets,
    RawUpstream,
    type ReceivedRequest,
    testRoute,
    TestSetup,
} from "./testservers.js";
import { testRequest } from "./waitinputs.js";

const decline = ({ id, socket }: ReceivedRequest) =>
    socket.write(completeResponse(id, "no", "X-Not-Run: 1\r\n", "503 Unavailable"));
const fail = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "no", "", "500 Error"));
const reset = ({ socket }: ReceivedRequest) => socket.resetAndDestroy();

describe("a request to a second upstream", () => {
    let setup: TestSetup;

    afterEach(() => setup.stop());

    async function start(handler: (received: ReceivedRequest) => void, slots: number): Promise<void> {
        setup = await TestSetup.start({ kind: "safe" }, [handler, handler, handler], undefined, slots);
    }

    const received = () => setup.upstreams.flatMap(upstream => upstream.received).length;
    /** Slots of the budget that are in use. */
    const used = () => setup.entry.retryBudgets.of("s").createReport("s").used;

    for (
        const [name, handler, status] of [["declines", decline, 503], ["fails", fail, 500], [
            "resets",
            reset,
            502,
        ]] as const
    ) {
        it(`takes a slot each time after an upstream ${name}, and isn't sent without one`, async () => {
            await start(handler, 1);
            expect((await setup.entry.call("q1")).status).toEqual(status);
            expect([received(), used()]).toEqual([2, 1]);
            expect((await setup.entry.call("q2")).status).toEqual(status);
            expect(received()).toEqual(3);
            expect(setup.entry.metrics.toText()).toMatchRegex(/retries_total\{service="s",basis="slot"\} 1\n/);
        });
    }

    // Guards against connections that were refused counting as requests that an upstream received.
    it("takes none if the first one refused the connection", async () => {
        setup = await TestSetup.start({ kind: "safe" }, [], undefined, 0);
        const gone = await RawUpstream.start(() => undefined);
        const { address } = gone;
        gone.stop();
        const present = await RawUpstream.start(({ id, socket }) => socket.write(completeResponse(id, "hello")));
        setup.entry.setUpstreams({ id: "u0", address }, { id: "u1", address: present.address });
        for (const id of ["q1", "q2", "q3", "q4"]) {
            expect((await setup.entry.call(id)).status).toEqual(200);
        }
        expect(used()).toEqual(0);
        present.stop();
    });
});

describe("a retry that waits before it is sent", () => {
    // Guards against a retry that is sent by a right which another entry may have by now.
    it("is refused once its lease has expired, and returns its slot", () => {
        const budgets = createRetryBudgets(1, new Metrics());
        const policy = new RetryPolicy({ retryBudgets: budgets, log: silentLog, metrics: new Metrics() });
        const request = testRequest(testRoute({}), 0);
        policy.admit(request);
        policy.recordSent(request);
        expect(policy.acquireAfterDecline(request)).toEqual(true);
        expect(policy.refusal(request)).toEqual(undefined);
        budgets.applyGrants({ term: 1, lifeMs: 0, services: [{ service: "s", slots: 1 }] }, steadyNow());
        expect(policy.refusal(request)).toEqual(declinedRefusal);
        policy.release(request);
        expect(budgets.of("s").createReport("s").used).toEqual(0);
    });

    // Guards against a request that gets to another service without a retry, as a newer configuration routes it there.
    it("needs a retry of the service to which its route has moved", () => {
        const budgets = createRetryBudgets(1, new Metrics());
        const policy = new RetryPolicy({ retryBudgets: budgets, log: silentLog, metrics: new Metrics() });
        const moved = () => ({ ...testRequest(testRoute({}), 5000), wasSent: true, wasMoved: true });
        expect([policy.admit(moved()), policy.admit(moved())]).toEqual([true, false]);
    });
});
