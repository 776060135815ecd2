import { create } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type EngineOrder,
    fenceOf,
    OrderGate,
    OrderKind,
    OrderOutcome,
    OrderRequestSchema,
    type OrderResult,
    type Upstream,
    type UpstreamResponse,
} from "../index.js";

/** Records orders and returns scripted results. */
class FakeEngine implements Upstream {
    public readonly orders: EngineOrder[] = [];
    public answers: OrderResult[] = [];

    public async readState() {
        return undefined;
    }

    public async order(order: EngineOrder): Promise<OrderResult> {
        this.orders.push(order);
        return this.answers.shift() ?? "taken";
    }

    public async send(): Promise<UpstreamResponse> {
        throw new Error("unexpected request");
    }

    public async hasEnded() {
        return false;
    }

    public async close() {}
}

function createOrder(term: number, index: number, kind = OrderKind.LOAD) {
    return create(OrderRequestSchema, {
        fence: fenceOf(term, index),
        kind,
        item: "m@1",
        accelerator: "a0",
        incarnation: "i",
    });
}

function createGate(engine: Upstream, checksFence = true, orderLifetimeMs = 1000): OrderGate {
    const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });
    return new OrderGate(engine, { incarnation: "i", checksFence, orderLifetimeMs }, timeline);
}

describe("OrderGate", () => {
    it("refuses orders until a majority has confirmed a term", async () => {
        const engine = new FakeEngine();
        const gate = createGate(engine);
        expect(await gate.forward(createOrder(5, 1))).toEqual(OrderOutcome.UNCONFIRMED_TERM);
        gate.confirmTerm(5n);
        expect(await gate.forward(createOrder(5, 1))).toEqual(OrderOutcome.TAKEN);
    });

    it("refuses orders of a former leader, duplicates, and orders that arrive out of sequence", async () => {
        const engine = new FakeEngine();
        const gate = createGate(engine);
        gate.confirmTerm(5n);
        expect(await gate.forward(createOrder(4, 99))).toEqual(OrderOutcome.FENCED);
        expect(await gate.forward(createOrder(5, 7))).toEqual(OrderOutcome.TAKEN);
        expect(await gate.forward(createOrder(5, 7))).toEqual(OrderOutcome.FENCED);
        expect(await gate.forward(createOrder(5, 6))).toEqual(OrderOutcome.FENCED);
        expect(engine.orders.length).toEqual(1);
    });

    it("refuses an order for an earlier incarnation of the agent", async () => {
        const gate = createGate(new FakeEngine());
        gate.confirmTerm(5n);
        const order = create(OrderRequestSchema, { ...createOrder(5, 1), incarnation: "before" });
        expect(await gate.forward(order)).toEqual(OrderOutcome.INCARNATION);
    });

    it("settles an uncertain order by a barrier before it sends the next", async () => {
        const engine = new FakeEngine();
        engine.answers = ["uncertain", "taken", "taken"];
        const gate = createGate(engine);
        gate.confirmTerm(5n);
        expect(await gate.forward(createOrder(5, 1))).toEqual(OrderOutcome.UNCERTAIN);
        expect(await gate.forward(createOrder(5, 2))).toEqual(OrderOutcome.TAKEN);
        expect(engine.orders.map(({ kind, fence }) => `${kind} ${fence.index}`)).toEqual([
            "load 1",
            "barrier 1",
            "load 2",
        ]);
        expect(gate.settled.index).toEqual(2n);
    });

    it("waits until an uncertain order has expired if the engine does not check fencing tokens", async t => {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"] });
        const engine = new FakeEngine();
        engine.answers = ["uncertain"];
        const gate = createGate(engine, false, 1000);
        gate.confirmTerm(5n);
        expect(await gate.forward(createOrder(5, 1))).toEqual(OrderOutcome.UNCERTAIN);
        const next = gate.forward(createOrder(5, 2));
        t.mock.timers.tick(999);
        await new Promise(resolve => setImmediate(resolve));
        expect(engine.orders.length).toEqual(1);
        expect(gate.settled.index).toEqual(0n);
        t.mock.timers.tick(1);
        expect(await next).toEqual(OrderOutcome.TAKEN);
        expect(engine.orders.length).toEqual(2);
    });
});
