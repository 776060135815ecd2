import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type EngineOrder,
    fenceOf,
    type OrderAnswer,
    OrderGate,
    OrderKind,
    OrderOutcome,
    OrderRequestSchema,
    type Upstream,
    type UpstreamAnswer,
} from "../index.js";

/** Records orders, and answers as it is told. */
class FakeEngine implements Upstream {
    public readonly orders: EngineOrder[] = [];
    public answers: OrderAnswer[] = [];

    public async readState() {
        return undefined;
    }

    public async order(order: EngineOrder): Promise<OrderAnswer> {
        this.orders.push(order);
        return this.answers.shift() ?? "taken";
    }

    public async send(): Promise<UpstreamAnswer> {
        throw new Error("not asked here");
    }

    public async hasEnded() {
        return false;
    }

    public async close() {}
}

function orderOf(term: number, index: number, kind = OrderKind.LOAD) {
    return create(OrderRequestSchema, {
        fence: fenceOf(term, index),
        kind,
        item: "m@1",
        accelerator: "a0",
        incarnation: "i",
    });
}

function gateOf(engine: Upstream, checksFence = true, orderLifetimeMs = 1000): OrderGate {
    const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });
    return new OrderGate(engine, { incarnation: "i", checksFence, orderLifetimeMs }, timeline);
}

describe("OrderGate", () => {
    it("takes no order before a majority has confirmed a term", async () => {
        const engine = new FakeEngine();
        const gate = gateOf(engine);
        expect(await gate.take(orderOf(5, 1))).toEqual(OrderOutcome.UNCONFIRMED_TERM);
        gate.confirmTerm(5n);
        expect(await gate.take(orderOf(5, 1))).toEqual(OrderOutcome.TAKEN);
    });

    it("refuses an earlier leader's order, and one that comes twice or too late", async () => {
        const engine = new FakeEngine();
        const gate = gateOf(engine);
        gate.confirmTerm(5n);
        expect(await gate.take(orderOf(4, 99))).toEqual(OrderOutcome.FENCED);
        expect(await gate.take(orderOf(5, 7))).toEqual(OrderOutcome.TAKEN);
        expect(await gate.take(orderOf(5, 7))).toEqual(OrderOutcome.FENCED);
        expect(await gate.take(orderOf(5, 6))).toEqual(OrderOutcome.FENCED);
        expect(engine.orders.length).toEqual(1);
    });

    it("refuses an order for an earlier incarnation of the agent", async () => {
        const gate = gateOf(new FakeEngine());
        gate.confirmTerm(5n);
        const order = create(OrderRequestSchema, { ...orderOf(5, 1), incarnation: "before" });
        expect(await gate.take(order)).toEqual(OrderOutcome.INCARNATION);
    });

    it("settles an order without an answer by a barrier, before the next goes out", async () => {
        const engine = new FakeEngine();
        engine.answers = ["uncertain", "taken", "taken"];
        const gate = gateOf(engine);
        gate.confirmTerm(5n);
        expect(await gate.take(orderOf(5, 1))).toEqual(OrderOutcome.UNCERTAIN);
        expect(await gate.take(orderOf(5, 2))).toEqual(OrderOutcome.TAKEN);
        expect(engine.orders.map(({ kind, fence }) => `${kind} ${fence.index}`)).toEqual([
            "load 1",
            "barrier 1",
            "load 2",
        ]);
        expect(gate.settled.index).toEqual(2n);
    });

    it("waits out an order without an answer, where the engine ignores fencing numbers", async t => {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"] });
        const engine = new FakeEngine();
        engine.answers = ["uncertain"];
        const gate = gateOf(engine, false, 1000);
        gate.confirmTerm(5n);
        expect(await gate.take(orderOf(5, 1))).toEqual(OrderOutcome.UNCERTAIN);
        const next = gate.take(orderOf(5, 2));
        t.mock.timers.tick(999);
        await new Promise(resolve => setImmediate(resolve));
        expect(engine.orders.length).toEqual(1);
        expect(gate.settled.index).toEqual(0n);
        t.mock.timers.tick(1);
        expect(await next).toEqual(OrderOutcome.TAKEN);
        expect(engine.orders.length).toEqual(2);
    });
});
