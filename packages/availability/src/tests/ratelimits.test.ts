import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { AvailabilityBook, RateLedger, RateLimits } from "../index.js";

/** Tells and asks a leader, whose answer comes at once. */
function report(rates: RateLimits, ledger: RateLedger, epoch = "1", entry = "e"): void {
    const askedAt = Date.now();
    const reports = rates.reports(epoch);
    rates.answered(reports, ledger.take(entry, reports), { epoch, askedAt });
}

/** Verdicts on so many requests at one moment. */
function takeMany(rates: RateLimits, count: number): string[] {
    return Array.from({ length: count }, () => rates.take("u"));
}

describe("rates that upstreams name", () => {
    let ledger: RateLedger;
    let rates: RateLimits;
    let changes: (readonly [string, boolean])[];

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        changes = [];
        ledger = new RateLedger(silentLog, (upstream, limited) => changes.push([upstream, limited]));
        rates = new RateLimits();
    });
    afterEach(() => mock.timers.reset());

    /** Wants so many requests, and asks for them. */
    function ask(count: number): void {
        Array.from({ length: count }, (_, index) => rates.want("u", `q${index}`));
        report(rates, ledger);
    }

    describe("at a process that sends", () => {
        it("let nothing go there without a permit, from the first answer on", () => {
            expect(rates.take("u")).toEqual("unlimited");
            expect(rates.name("u", 2, Date.now())).toEqual(undefined);
            expect(takeMany(rates, 2)).toEqual(["refused", "refused"]);
        });

        it("let so many go as were granted, until they lapse", () => {
            rates.name("u", 2, Date.now());
            report(rates, ledger);
            // Two may be held from a leader before.
            mock.timers.tick(1500);
            ask(3);
            expect(takeMany(rates, 2)).toEqual(["permitted", "refused"]);
            mock.timers.tick(500);
            ask(3);
            mock.timers.tick(2000);
            expect(rates.take("u")).toEqual("refused");
        });

        it("are told with their first word, and asked for as long as requests want to go there", () => {
            rates.name("u", 0, Date.now());
            expect([rates.hasNews("1"), rates.reports("1").length]).toEqual([true, 1]);
            report(rates, ledger);
            expect(rates.hasNews("1")).toEqual(false);
            rates.want("u", "q");
            expect(rates.hasNews("1")).toEqual(true);
            report(rates, ledger);
            // The leader has said that there is nothing for a while.
            rates.want("u", "q");
            expect(rates.hasNews("1")).toEqual(false);
            // Another leader knows nothing of it.
            expect(rates.hasNews("2")).toEqual(true);
        });

        it("are lowered by any answer, and raised by one whose request went out after the lower one was heard", () => {
            const before = Date.now();
            rates.name("u", 5, before);
            mock.timers.tick(10);
            rates.name("u", 1, before);
            mock.timers.tick(10);
            rates.name("u", 5, before);
            expect(rates.reports("1").map(one => one.kind === "limited" && one.perSecond)).toEqual([1]);
            rates.name("u", 5, Date.now());
            expect(rates.reports("2").map(one => one.kind === "limited" && one.perSecond)).toEqual([5]);
        });

        it("are over by an answer without one, if its request went out after the newest word", () => {
            const before = Date.now();
            mock.timers.tick(10);
            rates.name("u", 1, before);
            expect(rates.answeredWithout("u", before)).toEqual(false);
            expect(rates.take("u")).toEqual("refused");
            expect(rates.answeredWithout("u", Date.now())).toEqual(true);
            expect(rates.take("u")).toEqual("unlimited");
        });

        it("go behind departures and rests", () => {
            const book = new AvailabilityBook();
            book.rates.name("u", 1, Date.now());
            expect([book.choosable("u").kind, book.sendable("u").kind]).toEqual(["limited", "open"]);
            book.rest("u", 1000);
            expect(book.choosable("u").kind).toEqual("resting");
            book.leaves("u");
            expect(book.choosable("u").kind).toEqual("leaving");
        });
    });

    describe("at the leader", () => {
        it("grant at first nothing, then the rate, and at once no more than a quarter of a second of it", () => {
            rates.name("u", 20, Date.now());
            ask(50);
            expect(rates.take("u")).toEqual("refused");
            mock.timers.tick(10_000);
            ask(50);
            expect(takeMany(rates, 6).filter(verdict => verdict === "permitted").length).toEqual(5);
        });

        it("ask an upstream that takes nothing once in four seconds", () => {
            rates.name("u", 0, Date.now());
            let sent = 0;
            for (let second = 0; second < 40; second++) {
                ask(5);
                sent += takeMany(rates, 5).filter(verdict => verdict === "permitted").length;
                mock.timers.tick(1000);
            }
            expect([sent <= 10, sent >= 7]).toEqual([true, true]);
        });

        it("grant the first one a period after they were named, where no leader before can have granted any", () => {
            mock.timers.tick(5000);
            rates.name("u", 2, Date.now());
            report(rates, ledger);
            mock.timers.tick(500);
            ask(1);
            expect(rates.take("u")).toEqual("permitted");
        });

        it("grant no more than may be held at once, by all together, until that is used or lapses", () => {
            rates.name("u", 3, Date.now());
            report(rates, ledger);
            mock.timers.tick(10_000);
            const others = ["a", "b", "c", "d"].map(name => ({ name, rates: new RateLimits() }));
            for (const other of others) {
                other.rates.told("u");
                other.rates.want("u", "q");
                report(other.rates, ledger, "1", other.name);
                mock.timers.tick(400);
            }
            expect(others.map(other => other.rates.take("u"))).toEqual([
                "permitted",
                "permitted",
                "permitted",
                "refused",
            ]);
            others.forEach(other => report(other.rates, ledger, "1", other.name));
            others[3].rates.want("u", "q");
            report(others[3].rates, ledger, "1", "d");
            expect(others[3].rates.take("u")).toEqual("permitted");
        });

        it("are told to the others, and their end to those that ask, unless that is the older word", () => {
            const other = new RateLimits();
            rates.name("u", 1, Date.now());
            report(rates, ledger);
            expect(changes).toEqual([["u", true]]);
            other.told("u");
            const late = new RateLimits();
            late.name("u", 1, Date.now());
            mock.timers.tick(1000);
            rates.answeredWithout("u", Date.now());
            report(rates, ledger);
            other.want("u", "q");
            report(other, ledger, "1", "o");
            expect([changes[1], other.take("u")]).toEqual([["u", false], "unlimited"]);
            report(late, ledger, "1", "l");
            expect([changes.length, late.take("u")]).toEqual([2, "unlimited"]);
        });

        it("aren't over for one who knows of them only because the leader is new", () => {
            const other = new RateLimits();
            other.told("u");
            other.want("u", "q");
            report(other, ledger);
            expect(other.take("u")).toEqual("refused");
            mock.timers.tick(4000);
            other.want("u", "q");
            report(other, ledger);
            expect(other.take("u")).toEqual("unlimited");
        });
    });
});
