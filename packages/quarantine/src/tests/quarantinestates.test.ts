import { expect } from "earl";
import { describe, it } from "node:test";
import { QuarantineState, type Suspect } from "../index.js";

const hourMs = 3_600_000;

/** Applies crashes at given times, with requests that were sent shortly before. */
class Fleet {
    public readonly state = new QuarantineState();
    private crashes = 0;

    /** `runMs`: time from sending the requests to the crash. `sentAfter`: crashes known before they were sent. */
    public crash(
        at: number,
        fingerprints: readonly string[],
        runMs = 50,
        upstream = `u${++this.crashes}`,
        sentAfter?: string[],
    ): void {
        const suspects: Suspect[] = fingerprints.map(fingerprint => ({
            fingerprint,
            size: 3,
            sentAgoMs: runMs,
            ...(sentAfter === undefined ? {} : { sentAfter }),
        }));
        this.state.apply({ kind: "upstream-ended", upstream, agoMs: 0, suspects }, { time: at });
    }

    public clear(...fingerprints: string[]): void {
        this.state.apply({ kind: "cleared", fingerprints }, { time: 0 });
    }

    public standing(fingerprint: string): string | undefined {
        return this.state.find(fingerprint)?.standing;
    }
}

describe("the quarantine state", () => {
    it("suspects a request after two crashes, and bars it after the third", () => {
        const fleet = new Fleet();
        const seen = [0, 1000, 2000].map((at, index) => {
            fleet.crash(at, ["deadly", `bystander ${index}`]);
            return fleet.standing("deadly");
        });
        expect(seen).toEqual([undefined, "suspected", "barred"]);
    });

    it("counts crashes under concurrent copies as one occasion", () => {
        const fleet = new Fleet();
        fleet.crash(1000, ["copied"], 300);
        fleet.crash(1005, ["copied"], 300);
        fleet.crash(1010, ["copied"], 300);
        expect(fleet.standing("copied")).toEqual(undefined);
    });

    it("counts a retry sent within a millisecond of the previous crash", () => {
        const fleet = new Fleet();
        fleet.crash(1000, ["deadly"], 40);
        fleet.crash(1040, ["deadly"], 40);
        expect(fleet.standing("deadly")).toEqual("suspected");
    });

    // Guards against delayed reports: a retry's crash counted for nothing if its report took 60 ms less than the one before.
    for (const order of ["in order", "reversed"] as const) {
        it(`counts a retry by what its entry knew when it sent it, with reports written ${order}`, () => {
            const fleet = new Fleet();
            const first = () => fleet.crash(1060, ["deadly"], 40, "u1");
            const second = () => fleet.crash(1040, ["deadly"], 40, "u2", ["u1"]);
            (order === "in order" ? [first, second] : [second, first]).forEach(crash => crash());
            expect(fleet.standing("deadly")).toEqual("suspected");
            fleet.crash(1050, ["deadly"], 30, "u3", ["u1", "u2"]);
            expect(fleet.standing("deadly")).toEqual("barred");
        });
    }

    it("keeps the order of crashes in a snapshot", () => {
        const fleet = new Fleet();
        fleet.crash(1040, ["deadly"], 40, "u2", ["u1"]);
        const snapshot = JSON.parse(JSON.stringify(fleet.state.snapshot())) as unknown;
        fleet.state.restore(snapshot);
        fleet.crash(1060, ["deadly"], 40, "u1");
        expect(fleet.standing("deadly")).toEqual("suspected");
    });

    it("bars neither of two requests that were present each time until the fifth crash, and then both", () => {
        const fleet = new Fleet();
        const seen = [0, 1000, 2000, 3000, 4000].map(at => {
            fleet.crash(at, ["one", "two"]);
            return [fleet.standing("one"), fleet.standing("two")];
        });
        expect(seen[3]).toEqual(["suspected", "suspected"]);
        expect(seen[4]).toEqual(["barred", "barred"]);
    });

    it("bars the one of two that crashes an upstream alone, and clears the other", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.crash(at, ["deadly", "beside"]));
        fleet.crash(3000, ["deadly"]);
        expect([fleet.standing("deadly"), fleet.standing("beside")]).toEqual(["barred", undefined]);
    });

    it("attributes a crash under a barred request to that request only", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.crash(at, ["deadly"]));
        [3000, 4000, 5000, 6000].forEach(at => fleet.crash(at, ["deadly", "beside"]));
        expect(fleet.standing("beside")).toEqual(undefined);
    });

    it("adds later reports to the same crash", () => {
        const fleet = new Fleet();
        fleet.crash(0, ["a"], 50, "same");
        fleet.crash(10, ["deadly"], 60, "same");
        fleet.crash(1000, ["deadly"]);
        fleet.crash(2000, ["deadly"]);
        expect(fleet.standing("deadly")).toEqual("barred");
    });

    it("clears a request that completed successfully, even if it is barred", () => {
        const fleet = new Fleet();
        [0, 1000].forEach(at => fleet.crash(at, ["good"]));
        fleet.clear("good");
        fleet.crash(2000, ["good"]);
        expect(fleet.standing("good")).toEqual(undefined);
        [3000, 4000].forEach(at => fleet.crash(at, ["good"]));
        expect(fleet.standing("good")).toEqual("barred");
        fleet.clear("good");
        expect(fleet.standing("good")).toEqual(undefined);
    });

    it("ignores crashes older than ten minutes", () => {
        const fleet = new Fleet();
        [0, 1000, 700_000].forEach(at => fleet.crash(at, ["rare"]));
        expect(fleet.standing("rare")).toEqual(undefined);
    });

    describe("a barred request", () => {
        it("is on probation after ten minutes, and barred for longer by one more crash", () => {
            const fleet = new Fleet();
            [0, 1000, 2000].forEach(at => fleet.crash(at, ["deadly"]));
            fleet.state.apply({ kind: "expire" }, { time: 500_000 });
            expect(fleet.standing("deadly")).toEqual("barred");
            fleet.state.apply({ kind: "expire" }, { time: 603_000 });
            expect(fleet.standing("deadly")).toEqual("suspected");
            fleet.crash(700_000, ["deadly", "beside"]);
            expect([fleet.standing("deadly"), fleet.standing("beside")]).toEqual(["barred", undefined]);
            fleet.state.apply({ kind: "expire" }, { time: 1_800_000 });
            expect(fleet.standing("deadly")).toEqual("barred");
            fleet.state.apply({ kind: "expire" }, { time: 2_000_000 });
            fleet.state.apply({ kind: "expire" }, { time: 2_000_000 + hourMs });
            expect(fleet.standing("deadly")).toEqual(undefined);
        });

        it("is restored from a snapshot, as are suspects", () => {
            const fleet = new Fleet();
            [0, 1000, 2000].forEach(at => fleet.crash(at, ["deadly"]));
            [3000, 4000].forEach(at => fleet.crash(at, ["suspect"]));
            const restored = new QuarantineState();
            restored.restore(JSON.parse(JSON.stringify(fleet.state.snapshot())));
            const standings = ["deadly", "suspect"].map(one => restored.find(one)?.standing);
            expect(standings).toEqual(["barred", "suspected"]);
        });
    });

    it("bounds the size of its state", () => {
        const fleet = new Fleet();
        for (let index = 0; index < 3000; index++) {
            const at = index * 10;
            fleet.crash(at, Array.from({ length: 20 }, (_, other) => `${index}-${other}`));
        }
        const bytes = JSON.stringify(fleet.state.snapshot()).length;
        expect(bytes).toBeLessThan(1_000_000);
    });

    it("gives the changes since a position, and the complete list for an unknown position", () => {
        const fleet = new Fleet();
        [0, 1000, 2000].forEach(at => fleet.crash(at, ["deadly"]));
        const { position } = fleet.state;
        [3000, 4000].forEach(at => fleet.crash(at, ["suspect"]));
        expect(fleet.state.changesSince(position).listed.map(({ fingerprint }) => fingerprint)).toEqual(["suspect"]);
        fleet.clear("deadly");
        expect(fleet.state.changesSince(position).removed).toEqual(["deadly"]);
        expect(fleet.state.changesSince(10_000).whole).toEqual(true);
    });
});
