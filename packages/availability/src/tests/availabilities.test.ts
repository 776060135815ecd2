import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { AvailabilityBook, LeaverBook, withoutResting } from "../index.js";

describe("what upstreams say of themselves", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    const kinds = (book: AvailabilityBook, upstream = "a") => [
        book.choosable(upstream).kind,
        book.sendable(upstream).kind,
    ];

    describe("that they leave", () => {
        it("is final for an incarnation, and says nothing of another", () => {
            const book = new AvailabilityBook();
            expect([book.leaves("a@1"), book.leaves("a@1")]).toEqual([true, false]);
            book.answered("a@1");
            mock.timers.tick(60_000);
            expect(kinds(book, "a@1")).toEqual(["leaving", "leaving"]);
            expect(kinds(book, "a@2")).toEqual(["open", "open"]);
        });

        it("goes before a rest", () => {
            const book = new AvailabilityBook();
            book.rest("a", 3000);
            book.leaves("a");
            expect(kinds(book)).toEqual(["leaving", "leaving"]);
        });

        it("is remembered of the latest thousands, for ten minutes at least", () => {
            const book = new LeaverBook();
            for (let index = 0; index < 10_000; index++) {
                book.add(`u${index}`);
            }
            expect([book.has("u0"), book.has("u9999")]).toEqual([false, true]);
            expect(book.recent(1000).length).toEqual(4096);
            mock.timers.tick(600_000);
            book.add("late");
            expect([book.has("u9999"), book.recent(1000)]).toEqual([true, ["late"]]);
        });
    });

    describe("that they want rest", () => {
        it("holds until its end, the longest of several", () => {
            const book = new AvailabilityBook();
            book.rest("a", 3000);
            book.rest("a", 500);
            mock.timers.tick(2999);
            expect(kinds(book)).toEqual(["resting", "resting"]);
            expect(book.answered("a")).toEqual(false);
            expect(kinds(book)).toEqual(["resting", "resting"]);
            mock.timers.tick(1);
            expect(kinds(book)).toEqual(["open", "open"]);
        });

        it("ends with one request, until that is answered or a second is over", () => {
            const book = new AvailabilityBook();
            book.rest("a", 1000);
            mock.timers.tick(1000);
            book.sent("a");
            // Not chosen for others, but what was chosen may go.
            expect(kinds(book)).toEqual(["resting", "open"]);
            expect(book.answered("a")).toEqual(true);
            expect(kinds(book)).toEqual(["open", "open"]);
            book.rest("a", 1000);
            mock.timers.tick(1000);
            book.sent("a");
            mock.timers.tick(1000);
            expect(kinds(book)).toEqual(["open", "open"]);
        });

        it("is bounded at ten minutes, and to thousands of upstreams", () => {
            const book = new AvailabilityBook();
            book.rest("a", 1e12);
            mock.timers.tick(600_000);
            expect(kinds(book)).toEqual(["open", "open"]);
            for (let index = 0; index < 5000; index++) {
                book.rest(`u${index}`, 1000 + index);
            }
            expect([kinds(book, "u0")[1], kinds(book, "u4999")[1]]).toEqual(["open", "resting"]);
        });

        it("leaves out all that rest, and tells the first end", () => {
            const book = new AvailabilityBook();
            book.rest("a", 3000);
            book.rest("b", 2000);
            const idOf = (id: string) => id;
            expect(withoutResting(book, ["a", "b"], idOf)).toEqual({ awake: [], until: 1_002_000 });
            expect(withoutResting(book, ["a", "c"], idOf)).toEqual({ awake: ["c"], until: 1_003_000 });
        });

        it("never lets anything be sent before its end, whatever else is heard meanwhile", () => {
            const act = fc.oneof(
                fc.record({ kind: fc.constant("rest" as const), ms: fc.integer({ min: 1, max: 5000 }) }),
                fc.record({ kind: fc.constant("sent" as const), ms: fc.constant(0) }),
                fc.record({ kind: fc.constant("answered" as const), ms: fc.constant(0) }),
                fc.record({ kind: fc.constant("pass" as const), ms: fc.integer({ min: 1, max: 2000 }) }),
            );
            fc.assert(
                fc.property(fc.array(act, { maxLength: 60 }), acts => {
                    const book = new AvailabilityBook();
                    let until = 0;
                    for (const { kind, ms } of acts) {
                        if (kind === "pass") {
                            mock.timers.tick(ms);
                        }
                        else if (kind === "rest") {
                            book.rest("a", ms);
                            until = Math.max(until, Date.now() + ms);
                        }
                        else {
                            book[kind]("a");
                        }
                        const rests = Date.now() < until;
                        expect(book.sendable("a").kind).toEqual(rests ? "resting" : "open");
                        expect(rests && book.choosable("a").kind === "open").toEqual(false);
                    }
                }),
                { numRuns: 500, seed: 37 },
            );
        });
    });
});
