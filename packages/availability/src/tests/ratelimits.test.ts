import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { AvailabilityTracker, RateLimitCoordinator, RateLimits } from "../index.js";

/** Reports to a leader and applies its response at once. */
function report(rates: RateLimits, coordinator: RateLimitCoordinator, epoch = "1", entry = "e"): void {
    const askedAt = Date.now();
    const reports = rates.createReports(epoch);
    rates.applyGrants(reports, coordinator.processReports(entry, reports), { epoch, askedAt });
}

/** Takes `count` permits at once. */
function acquireMany(rates: RateLimits, count: number): string[] {
    return Array.from({ length: count }, () => rates.acquirePermit("u"));
}

describe("rate limits announced by upstreams", () => {
    let coordinator: RateLimitCoordinator;
    let rates: RateLimits;
    let changes: (readonly [string, boolean])[];

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        changes = [];
        coordinator = new RateLimitCoordinator(silentLog, (upstream, limited) => changes.push([upstream, limited]));
        rates = new RateLimits();
    });
    afterEach(() => mock.timers.reset());

    /** Records `count` waiting requests and reports them. */
    function ask(count: number): void {
        Array.from({ length: count }, (_, index) => rates.addWaiting("u", `q${index}`));
        report(rates, coordinator);
    }

    describe("at a process that sends", () => {
        it("block requests without a permit from the first announcement on", () => {
            expect(rates.acquirePermit("u")).toEqual("unlimited");
            expect(rates.recordRate("u", 2, Date.now())).toEqual(undefined);
            expect(acquireMany(rates, 2)).toEqual(["refused", "refused"]);
        });

        it("let as many requests through as permits were granted, until those expire", () => {
            rates.recordRate("u", 2, Date.now());
            report(rates, coordinator);
            // A new leader assumes that two permits are outstanding from the previous one.
            mock.timers.tick(1500);
            ask(3);
            expect(acquireMany(rates, 2)).toEqual(["permitted", "refused"]);
            mock.timers.tick(500);
            ask(3);
            mock.timers.tick(2000);
            expect(rates.acquirePermit("u")).toEqual("refused");
        });

        it("are reported when announced, and while requests wait for permits", () => {
            rates.recordRate("u", 0, Date.now());
            expect([rates.hasReports("1"), rates.createReports("1").length]).toEqual([true, 1]);
            report(rates, coordinator);
            expect(rates.hasReports("1")).toEqual(false);
            rates.addWaiting("u", "q");
            expect(rates.hasReports("1")).toEqual(true);
            report(rates, coordinator);
            // The leader has said that there are no permits for a while.
            rates.addWaiting("u", "q");
            expect(rates.hasReports("1")).toEqual(false);
            // A new leader doesn't know of the limit.
            expect(rates.hasReports("2")).toEqual(true);
        });

        it("are lowered by any answer, but raised only if the request was sent after the lower rate was received", () => {
            const before = Date.now();
            rates.recordRate("u", 5, before);
            mock.timers.tick(10);
            rates.recordRate("u", 1, before);
            mock.timers.tick(10);
            rates.recordRate("u", 5, before);
            expect(rates.createReports("1").map(one => one.kind === "limited" && one.perSecond)).toEqual([1]);
            rates.recordRate("u", 5, Date.now());
            expect(rates.createReports("2").map(one => one.kind === "limited" && one.perSecond)).toEqual([5]);
        });

        it("are lifted by an answer without one if its request was sent after the latest announcement", () => {
            const before = Date.now();
            mock.timers.tick(10);
            rates.recordRate("u", 1, before);
            expect(rates.recordUnlimitedAnswer("u", before)).toEqual(false);
            expect(rates.acquirePermit("u")).toEqual("refused");
            expect(rates.recordUnlimitedAnswer("u", Date.now())).toEqual(true);
            expect(rates.acquirePermit("u")).toEqual("unlimited");
        });

        it("yield to shutdown and backoff", () => {
            const tracker = new AvailabilityTracker();
            tracker.rates.recordRate("u", 1, Date.now());
            expect([tracker.forSelection("u").kind, tracker.forSending("u").kind]).toEqual(["limited", "open"]);
            tracker.startBackoff("u", 1000);
            expect(tracker.forSelection("u").kind).toEqual("resting");
            tracker.markDraining("u");
            expect(tracker.forSelection("u").kind).toEqual("leaving");
        });
    });

    describe("at the leader", () => {
        it("grant nothing at first, then permits at the rate, with a burst of at most a quarter of a second", () => {
            rates.recordRate("u", 20, Date.now());
            ask(50);
            expect(rates.acquirePermit("u")).toEqual("refused");
            mock.timers.tick(10_000);
            ask(50);
            expect(acquireMany(rates, 6).filter(verdict => verdict === "permitted").length).toEqual(5);
        });

        it("let a request through every four seconds where the rate is zero", () => {
            rates.recordRate("u", 0, Date.now());
            let sent = 0;
            for (let second = 0; second < 40; second++) {
                ask(5);
                sent += acquireMany(rates, 5).filter(verdict => verdict === "permitted").length;
                mock.timers.tick(1000);
            }
            expect([sent <= 10, sent >= 7]).toEqual([true, true]);
        });

        it("grant the first permit one interval after the announcement, where no previous leader can have granted any", () => {
            mock.timers.tick(5000);
            rates.recordRate("u", 2, Date.now());
            report(rates, coordinator);
            mock.timers.tick(500);
            ask(1);
            expect(rates.acquirePermit("u")).toEqual("permitted");
        });

        it("bound the outstanding permits of all processes, until those are used or expire", () => {
            rates.recordRate("u", 3, Date.now());
            report(rates, coordinator);
            mock.timers.tick(10_000);
            const others = ["a", "b", "c", "d"].map(name => ({ name, rates: new RateLimits() }));
            for (const other of others) {
                other.rates.recordKnownLimit("u");
                other.rates.addWaiting("u", "q");
                report(other.rates, coordinator, "1", other.name);
                mock.timers.tick(400);
            }
            expect(others.map(other => other.rates.acquirePermit("u"))).toEqual([
                "permitted",
                "permitted",
                "permitted",
                "refused",
            ]);
            others.forEach(other => report(other.rates, coordinator, "1", other.name));
            others[3].rates.addWaiting("u", "q");
            report(others[3].rates, coordinator, "1", "d");
            expect(others[3].rates.acquirePermit("u")).toEqual("permitted");
        });

        it("are passed on to other processes, and so is their end unless a newer announcement exists", () => {
            const other = new RateLimits();
            rates.recordRate("u", 1, Date.now());
            report(rates, coordinator);
            expect(changes).toEqual([["u", true]]);
            other.recordKnownLimit("u");
            const late = new RateLimits();
            late.recordRate("u", 1, Date.now());
            mock.timers.tick(1000);
            rates.recordUnlimitedAnswer("u", Date.now());
            report(rates, coordinator);
            other.addWaiting("u", "q");
            report(other, coordinator, "1", "o");
            expect([changes[1], other.acquirePermit("u")]).toEqual([["u", false], "unlimited"]);
            report(late, coordinator, "1", "l");
            expect([changes.length, late.acquirePermit("u")]).toEqual([2, "unlimited"]);
        });

        it("aren't lifted merely because a new leader doesn't know of them yet", () => {
            const other = new RateLimits();
            other.recordKnownLimit("u");
            other.addWaiting("u", "q");
            report(other, coordinator);
            expect(other.acquirePermit("u")).toEqual("refused");
            mock.timers.tick(4000);
            other.addWaiting("u", "q");
            report(other, coordinator);
            expect(other.acquirePermit("u")).toEqual("unlimited");
        });
    });
});
