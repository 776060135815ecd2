import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashBook, type Suspect } from "../index.js";

const hourMs = 3_600_000;

/** A fleet whose upstreams end at set times, under requests that were sent shortly before. */
class Fleet {
    public readonly book = new CrashBook();
    private ends = 0;

    /** `runMs`: how long before the end the requests were sent. */
    public end(at: number, fingerprints: readonly string[], runMs = 50, upstream = `u${++this.ends}`): void {
        const suspects: Suspect[] = fingerprints.map(fingerprint => ({ fingerprint, size: 3, sentAgoMs: runMs }));
        this.book.apply({ kind: "upstream-ended", upstream, agoMs: 0, suspects }, { time: at });
    }

    public clear(...fingerprints: string[]): void {
        this.book.apply({ kind: "cleared", fingerprints }, { time: 0 });
    }

    public standing(fingerprint: string): string | undefined {
        return this.book.standingOf(fingerprint)?.standing;
    }
}

describe("the book of ends", () => {
    it("suspects a request under which two upstreams ended, and bars it at the third", () => {
        const fleet = new Fleet();
        const seen = [0, 1000, 2000].map((at, index) => {
            fleet.end(at, ["deadly", `bystander ${index}`]);
            return fleet.standing("deadly");
        });
        expect(seen).toEqual([undefined, "suspected", "barred"]);
    });

    it("takes ends under copies that ran at once for one occasion", () => {
        const fleet = new Fleet();
        fleet.end(1000, ["copied"], 300);
        fleet.end(1005, ["copied"], 300);
        fleet.end(1010, ["copied"], 300);
        expect(fleet.standing("copied")).toEqual(undefined);
    });

    it("counts a second try that was made within a millisecond of the end before it", () => {
        const fleet = new Fleet();
        fleet.end(1000, ["deadly"], 40);
        fleet.end(1040, ["deadly"], 40);
        expect(fleet.standing("deadly")).toEqual("suspected");
    });

    it("doesn't tell two apart that were there each time, until the fifth", () => {
        const fleet = new Fleet();
        const seen = [0, 1000, 2000, 3000, 4000].map(at => {
            fleet.end(at, ["one", "two"]);
            return [fleet.standing("one"), fleet.standing("two")];
        });
        expect(seen[3]).toEqual(["suspected", "suspected"]);
        expect(seen[4]).toEqual(["barred", "barred"]);
    });

    it("bars the one of two that ends an upstream alone, and forgets the other", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.end(at, ["deadly", "beside"]));
        fleet.end(3000, ["deadly"]);
        expect([fleet.standing("deadly"), fleet.standing("beside")]).toEqual(["barred", undefined]);
    });

    it("puts an end under a barred request down to that one alone", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.end(at, ["deadly"]));
        [3000, 4000, 5000, 6000].forEach(at => fleet.end(at, ["deadly", "beside"]));
        expect(fleet.standing("beside")).toEqual(undefined);
    });

    it("takes what is told later of an end into it", () => {
        const fleet = new Fleet();
        fleet.end(0, ["a"], 50, "same");
        fleet.end(10, ["deadly"], 60, "same");
        fleet.end(1000, ["deadly"]);
        fleet.end(2000, ["deadly"]);
        expect(fleet.standing("deadly")).toEqual("barred");
    });

    it("lets a request go that came to a good end, also a barred one", () => {
        const fleet = new Fleet();
        [0, 1000].forEach(at => fleet.end(at, ["good"]));
        fleet.clear("good");
        fleet.end(2000, ["good"]);
        expect(fleet.standing("good")).toEqual(undefined);
        [3000, 4000].forEach(at => fleet.end(at, ["good"]));
        expect(fleet.standing("good")).toEqual("barred");
        fleet.clear("good");
        expect(fleet.standing("good")).toEqual(undefined);
    });

    it("forgets ends after ten minutes", () => {
        const fleet = new Fleet();
        [0, 1000, 700_000].forEach(at => fleet.end(at, ["rare"]));
        expect(fleet.standing("rare")).toEqual(undefined);
    });

    describe("a barred request", () => {
        it("is let in on probation after ten minutes, and held back again by one more end, for longer", () => {
            const fleet = new Fleet();
            [0, 1000, 2000].forEach(at => fleet.end(at, ["deadly"]));
            fleet.book.apply({ kind: "expire" }, { time: 500_000 });
            expect(fleet.standing("deadly")).toEqual("barred");
            fleet.book.apply({ kind: "expire" }, { time: 603_000 });
            expect(fleet.standing("deadly")).toEqual("suspected");
            fleet.end(700_000, ["deadly", "beside"]);
            expect([fleet.standing("deadly"), fleet.standing("beside")]).toEqual(["barred", undefined]);
            fleet.book.apply({ kind: "expire" }, { time: 1_800_000 });
            expect(fleet.standing("deadly")).toEqual("barred");
            fleet.book.apply({ kind: "expire" }, { time: 2_000_000 });
            fleet.book.apply({ kind: "expire" }, { time: 2_000_000 + hourMs });
            expect(fleet.standing("deadly")).toEqual(undefined);
        });

        it("outlives a snapshot, with what is only suspected", () => {
            const fleet = new Fleet();
            [0, 1000, 2000].forEach(at => fleet.end(at, ["deadly"]));
            [3000, 4000].forEach(at => fleet.end(at, ["suspect"]));
            const restored = new CrashBook();
            restored.restore(JSON.parse(JSON.stringify(fleet.book.snapshot())));
            const standings = ["deadly", "suspect"].map(one => restored.standingOf(one)?.standing);
            expect(standings).toEqual(["barred", "suspected"]);
        });
    });

    it("keeps a bounded number of each, whatever ends", () => {
        const fleet = new Fleet();
        for (let index = 0; index < 3000; index++) {
            const at = index * 10;
            fleet.end(at, Array.from({ length: 20 }, (_, other) => `${index}-${other}`));
        }
        const bytes = JSON.stringify(fleet.book.snapshot()).length;
        expect(bytes).toBeLessThan(1_000_000);
    });

    it("tells an entry what changed since a position, and everything where that isn't known", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.end(at, ["deadly"]));
        const { position } = fleet.book;
        [3000, 4000].forEach(at => fleet.end(at, ["suspect"]));
        expect(fleet.book.since(position).listed.map(({ fingerprint }) => fingerprint)).toEqual(["suspect"]);
        fleet.clear("deadly");
        expect(fleet.book.since(position).removed).toEqual(["deadly"]);
        expect(fleet.book.since(10_000).whole).toEqual(true);
    });
});
