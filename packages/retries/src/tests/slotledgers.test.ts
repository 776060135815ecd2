import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { SlotCoordinator, slotLeaseMs, type SlotReport, transitMs } from "../index.js";

const windowMs = 10_000;
const maxOverlapMs = 2000;
const slack = 20;
interface AskOptions {
    readonly term?: number;
    readonly sequence?: number;
    readonly process?: number;
}

const learningMs = maxOverlapMs + slotLeaseMs + windowMs + transitMs;

describe("slots that a leader leases", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    const elect = (term: number, isFirst = false) => new Leader(term, isFirst);

    class Leader {
        private readonly coordinator: SlotCoordinator;
        private sequence = 0;

        public constructor(private readonly term: number, isFirst: boolean) {
            this.coordinator = new SlotCoordinator({
                term,
                isFirst,
                electedAt: Date.now(),
                maxOverlapMs,
                bound: () => ({ ratio: 0.2, slack, windowMs }),
                log: silentLog,
            });
        }

        /** Returns the slots of the answer; undefined if there is none. */
        public ask(
            entry: string,
            report: Partial<SlotReport>,
            { term = this.term, sequence, process = 1 }: AskOptions = {},
        ): number | undefined {
            this.sequence += 1;
            const { services } = this.coordinator.processReports({
                entry,
                process,
                sequence: sequence ?? this.sequence,
                term,
                services: [{ service: "s", held: 0, used: 0, wanted: 0, ...report }],
            });
            return services[0]?.slots;
        }
    }

    describe("of a new group", () => {
        it("are divided among entries, and move to those that use them", () => {
            const leader = elect(1, true);
            // Others may not have reported yet, so no entry gets all in advance.
            expect(leader.ask("a", {})).toEqual(10);
            expect(leader.ask("b", {})).toEqual(5);
            expect(leader.ask("b", { held: 5 })).toEqual(8);
            expect(leader.ask("b", { held: 8, wanted: 18 })).toEqual(10);
            // Nothing is left until the other has returned what it doesn't need.
            expect(leader.ask("a", { held: 10 })).toEqual(1);
            expect(leader.ask("a", { held: 1 })).toEqual(1);
            expect(leader.ask("b", { held: 10, used: 10, wanted: 18 })).toEqual(19);
        });

        // Guards against slots that another entry gets while the retry that used them is in the window.
        it("stay with an entry that falls silent until its lease and a window have passed", () => {
            const leader = elect(1, true);
            leader.ask("a", { wanted: 20 });
            mock.timers.tick(slotLeaseMs + windowMs + transitMs);
            expect(leader.ask("b", { wanted: 5 })).toEqual(0);
            mock.timers.tick(1);
            expect(leader.ask("b", { wanted: 20 })).toEqual(20);
        });

        // Guards against a restarted entry that has its slots twice.
        it("don't pass to the next process of an entry at once", () => {
            const leader = elect(1, true);
            leader.ask("a", { wanted: 20 });
            expect(leader.ask("a", { wanted: 5 }, { term: 0, sequence: 1, process: 2 })).toEqual(0);
        });

        // Guards against a late copy of a report that returns slots which are in use.
        it("are not changed by a report that a later one has overtaken", () => {
            const leader = elect(1, true);
            leader.ask("a", { wanted: 20 }, { sequence: 1 });
            expect(leader.ask("a", { held: 20, used: 20 }, { sequence: 3 })).toEqual(20);
            expect(leader.ask("a", { held: 0 }, { sequence: 2 })).toEqual(undefined);
            expect(leader.ask("b", { wanted: 5 }, { sequence: 4 })).toEqual(0);
        });
    });

    describe("after another leader", () => {
        it("are those that entries bring along, until whatever else was leased has expired", () => {
            const leader = elect(2);
            expect(leader.ask("a", { held: 8 }, { term: 1 })).toEqual(8);
            expect(leader.ask("b", { wanted: 5 }, { term: 1 })).toEqual(0);
            // Both have heard this leader now, so what one returns passes to the other.
            expect(leader.ask("b", { wanted: 5 })).toEqual(0);
            expect(leader.ask("a", { held: 8 })).toEqual(1);
            expect(leader.ask("a", { held: 1 })).toEqual(1);
            expect(leader.ask("b", { wanted: 7 })).toEqual(7);
            mock.timers.tick(learningMs - 1);
            expect(leader.ask("b", { held: 7, used: 7, wanted: 20 })).toEqual(8);
            mock.timers.tick(1);
            expect(leader.ask("b", { held: 8, used: 8, wanted: 20 })).toEqual(20);
        });

        // Guards against an entry that an earlier leader may still give slots which this one gives to others.
        it("don't pass from an entry that hasn't heard the new leader", () => {
            const leader = elect(2);
            leader.ask("b", {}, { term: 1 });
            expect(leader.ask("a", { held: 8 }, { term: 1 })).toEqual(8);
            expect(leader.ask("a", { held: 2 }, { term: 1 })).toEqual(2);
            expect(leader.ask("b", { wanted: 5 })).toEqual(0);
        });

        // Guards against a deposed leader that takes back what its successor has divided.
        it("are not leased by the earlier one to entries that have heard the new one", () => {
            const leader = elect(1, true);
            leader.ask("a", { wanted: 20 });
            expect(leader.ask("a", { held: 2 }, { term: 2 })).toEqual(undefined);
            expect(leader.ask("b", { wanted: 5 })).toEqual(0);
        });
    });
});
