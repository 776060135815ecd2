/**
 * An engine crashed on an order over its room.
 *
 * A leader ordered an adapter to be loaded where all places were taken, right after a load that the leader before it
 * had ordered; the engine's process was gone a moment later. An order carries the number of orders that its engine is
 * believed to have accepted, so that a decision on an older state can't take effect. The engine refused it for
 * that number; the leader read the engine, took the new number over, and sent the same order again without
 * asking whether it still fits. Any order that is accepted between the read and the send leads there: one of a
 * leader that is just being followed, or one that is carried out seconds late. Shown by these tests on the leader's own
 * code: an order is accepted in between, and the engine is over its room.
 */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { type EngineOrder } from "../index.js";
import { RoomEngine, RoomLeader, type SendOrder, type ToldDemand } from "./roomengines.js";
import { pass } from "./times.js";

/** Reads, plans, conflicts and transits are over by then, in milliseconds. */
const settledMs = 6000;

function load(model: string, adapter = ""): EngineOrder {
    return { kind: "load", model, adapter };
}

function uses(model: string, adapter = ""): ToldDemand {
    return { model, adapter, running: 1, waiting: 0 };
}

function waitsFor(model: string, adapter = ""): ToldDemand {
    return { model, adapter, running: 0, waiting: 3 };
}

describe("room at an engine", () => {
    const leaders: RoomLeader[] = [];

    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 }));

    afterEach(() => {
        leaders.splice(0).forEach(leader => leader.end());
        mock.timers.reset();
    });

    /** A leader whose first order finds that the engine has just accepted another. */
    function leadAfter(engine: RoomEngine, other: EngineOrder, needs: readonly ToldDemand[]): void {
        let isFirst = true;
        const send: SendOrder = async (order, expected) => {
            if (isFirst) {
                isFirst = false;
                engine.order(other, engine.accepted);
            }
            return engine.order(order, expected);
        };
        const leader = new RoomLeader(engine, () => needs, send);
        leaders.push(leader);
        leader.start();
    }

    describe("where another order was accepted since it was read", () => {
        it("is not given more adapters than it has places for", async () => {
            const engine = new RoomEngine({ m1: ["a1"] });
            leadAfter(engine, load("m1", "a2"), [uses("m1", "a1"), uses("m1", "a2"), waitsFor("m1", "a3")]);
            await pass(settledMs);
            expect(engine.crashedBy).toEqual(undefined);
            expect(engine.placed).toEqual(["m1/a1", "m1/a2"]);
        });

        it("is not given more weights than it has memory for", async () => {
            const engine = new RoomEngine({ m1: [], m2: [] });
            leadAfter(engine, load("m3"), [uses("m1"), uses("m2"), uses("m3"), waitsFor("m4")]);
            await pass(settledMs);
            expect(engine.crashedBy).toEqual(undefined);
        });

        it("still gets the order where that fits", async () => {
            const engine = new RoomEngine({ m1: [] });
            leadAfter(engine, load("m1", "a2"), [uses("m1", "a2"), waitsFor("m1", "a3")]);
            await pass(settledMs);
            expect(engine.placed).toEqual(["m1/a2", "m1/a3"]);
        });
    });
});
