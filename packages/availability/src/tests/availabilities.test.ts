import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { AvailabilityTracker, DrainTracker, excludeBackingOff } from "../index.js";

describe("availability signals of upstreams", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    const kinds = (tracker: AvailabilityTracker, upstream = "a") => [
        tracker.forSelection(upstream).kind,
        tracker.forSending(upstream).kind,
    ];

    describe("shutdown", () => {
        it("is final for an incarnation and doesn't affect another", () => {
            const tracker = new AvailabilityTracker();
            expect([tracker.markDraining("a@1"), tracker.markDraining("a@1")]).toEqual([true, false]);
            tracker.answered("a@1");
            mock.timers.tick(60_000);
            expect(kinds(tracker, "a@1")).toEqual(["leaving", "leaving"]);
            expect(kinds(tracker, "a@2")).toEqual(["open", "open"]);
        });

        it("takes precedence over backoff", () => {
            const tracker = new AvailabilityTracker();
            tracker.startBackoff("a", 3000);
            tracker.markDraining("a");
            expect(kinds(tracker)).toEqual(["leaving", "leaving"]);
        });

        it("is kept for the latest 4096 upstreams, for at least ten minutes", () => {
            const tracker = new DrainTracker();
            for (let index = 0; index < 10_000; index++) {
                tracker.add(`u${index}`);
            }
            expect([tracker.has("u0"), tracker.has("u9999")]).toEqual([false, true]);
            expect(tracker.recent(1000).length).toEqual(4096);
            mock.timers.tick(600_000);
            tracker.add("late");
            expect([tracker.has("u9999"), tracker.recent(1000)]).toEqual([true, ["late"]]);
        });
    });

    describe("backoff", () => {
        it("lasts until the latest end of overlapping ones", () => {
            const tracker = new AvailabilityTracker();
            tracker.startBackoff("a", 3000);
            tracker.startBackoff("a", 500);
            mock.timers.tick(2999);
            expect(kinds(tracker)).toEqual(["resting", "resting"]);
            expect(tracker.answered("a")).toEqual(false);
            expect(kinds(tracker)).toEqual(["resting", "resting"]);
            mock.timers.tick(1);
            expect(kinds(tracker)).toEqual(["open", "open"]);
        });

        it("ends with one probe, until that is answered or a second has passed", () => {
            const tracker = new AvailabilityTracker();
            tracker.startBackoff("a", 1000);
            mock.timers.tick(1000);
            tracker.sent("a");
            // Not selected for new requests, but a request already assigned may be sent.
            expect(kinds(tracker)).toEqual(["resting", "open"]);
            expect(tracker.answered("a")).toEqual(true);
            expect(kinds(tracker)).toEqual(["open", "open"]);
            tracker.startBackoff("a", 1000);
            mock.timers.tick(1000);
            tracker.sent("a");
            mock.timers.tick(1000);
            expect(kinds(tracker)).toEqual(["open", "open"]);
        });

        it("is limited to ten minutes and to 4096 upstreams", () => {
            const tracker = new AvailabilityTracker();
            tracker.startBackoff("a", 1e12);
            mock.timers.tick(600_000);
            expect(kinds(tracker)).toEqual(["open", "open"]);
            for (let index = 0; index < 5000; index++) {
                tracker.startBackoff(`u${index}`, 1000 + index);
            }
            expect([kinds(tracker, "u0")[1], kinds(tracker, "u4999")[1]]).toEqual(["open", "resting"]);
        });

        it("excludes upstreams from selection, and gives the earliest end", () => {
            const tracker = new AvailabilityTracker();
            tracker.startBackoff("a", 3000);
            tracker.startBackoff("b", 2000);
            const idOf = (id: string) => id;
            expect(excludeBackingOff(tracker, ["a", "b"], idOf)).toEqual({ usable: [], until: 1_002_000 });
            expect(excludeBackingOff(tracker, ["a", "c"], idOf)).toEqual({ usable: ["c"], until: 1_003_000 });
        });

        it("blocks all requests until its end under random events", () => {
            const act = fc.oneof(
                fc.record({ kind: fc.constant("rest" as const), ms: fc.integer({ min: 1, max: 5000 }) }),
                fc.record({ kind: fc.constant("sent" as const), ms: fc.constant(0) }),
                fc.record({ kind: fc.constant("answered" as const), ms: fc.constant(0) }),
                fc.record({ kind: fc.constant("pass" as const), ms: fc.integer({ min: 1, max: 2000 }) }),
            );
            fc.assert(
                fc.property(fc.array(act, { maxLength: 60 }), acts => {
                    const tracker = new AvailabilityTracker();
                    let until = 0;
                    for (const { kind, ms } of acts) {
                        if (kind === "pass") {
                            mock.timers.tick(ms);
                        }
                        else if (kind === "rest") {
                            tracker.startBackoff("a", ms);
                            until = Math.max(until, Date.now() + ms);
                        }
                        else {
                            tracker[kind]("a");
                        }
                        const rests = Date.now() < until;
                        expect(tracker.forSending("a").kind).toEqual(rests ? "resting" : "open");
                        expect(rests && tracker.forSelection("a").kind === "open").toEqual(false);
                    }
                }),
                { numRuns: 500, seed: 37 },
            );
        });
    });
});
