/**
 * Guards against resending an order after a conflict without planning it again: another order was accepted since the
 * engine's state was read, and the resent one could exceed the engine's capacity and crash it.
 */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { type EngineOrder } from "../index.js";
import { advanceTime } from "./mocktimes.js";
import { type ReportedDemand, type SendOrder, SimulatedEngine, SimulatedLeader } from "./simulatedengines.js";

/** Enough for all reads, plans, conflicts and loads to complete, in milliseconds. */
const settleMs = 6000;

function load(model: string, adapter = ""): EngineOrder {
    return { kind: "load", model, adapter };
}

function uses(model: string, adapter = ""): ReportedDemand {
    return { model, adapter, running: 1, waiting: 0 };
}

function waitsFor(model: string, adapter = ""): ReportedDemand {
    return { model, adapter, running: 0, waiting: 3 };
}

describe("engine capacity", () => {
    const leaders: SimulatedLeader[] = [];

    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 }));

    afterEach(() => {
        leaders.splice(0).forEach(leader => leader.end());
        mock.timers.reset();
    });

    /** Starts a leader whose first order reaches the engine just after another one was accepted. */
    function startLeaderAfter(engine: SimulatedEngine, other: EngineOrder, needs: readonly ReportedDemand[]): void {
        let isFirst = true;
        const send: SendOrder = async (order, expected) => {
            if (isFirst) {
                isFirst = false;
                engine.order(other, engine.accepted);
            }
            return engine.order(order, expected);
        };
        const leader = new SimulatedLeader(engine, () => needs, send);
        leaders.push(leader);
        leader.start();
    }

    describe("when another order was accepted since the engine's state was read", () => {
        it("is not exceeded by adapters", async () => {
            const engine = new SimulatedEngine({ m1: ["a1"] });
            startLeaderAfter(engine, load("m1", "a2"), [uses("m1", "a1"), uses("m1", "a2"), waitsFor("m1", "a3")]);
            await advanceTime(settleMs);
            expect(engine.crashedBy).toEqual(undefined);
            expect(engine.placed).toEqual(["m1/a1", "m1/a2"]);
        });

        it("is not exceeded by models", async () => {
            const engine = new SimulatedEngine({ m1: [], m2: [] });
            startLeaderAfter(engine, load("m3"), [uses("m1"), uses("m2"), uses("m3"), waitsFor("m4")]);
            await advanceTime(settleMs);
            expect(engine.crashedBy).toEqual(undefined);
        });

        it("is used by the order if that still fits", async () => {
            const engine = new SimulatedEngine({ m1: [] });
            startLeaderAfter(engine, load("m1", "a2"), [uses("m1", "a2"), waitsFor("m1", "a3")]);
            await advanceTime(settleMs);
            expect(engine.placed).toEqual(["m1/a2", "m1/a3"]);
        });
    });
});
