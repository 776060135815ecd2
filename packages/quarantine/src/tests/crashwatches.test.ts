import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { CrashBook, CrashWatch, type Presence, type QuarantineCommand } from "../index.js";

class Leader {
    public readonly book = new CrashBook();
    public readonly written: QuarantineCommand[] = [];
    public presence: Presence = "serving";
    public hasMajority = true;
    public readonly watch: CrashWatch;
    private readonly ended = new AbortController();

    public constructor(private readonly t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        this.watch = new CrashWatch({
            book: () => this.book,
            presence: () => this.presence,
            propose: async command => {
                if (!this.hasMajority) {
                    throw new Error("no majority");
                }
                this.written.push(command);
                return this.book.apply(command, { time: Date.now() });
            },
            log: silentLog,
            metrics: new Metrics(),
        });
        void this.watch.run(this.ended.signal);
    }

    public see(entry: string, fingerprint: string, refused: boolean, upstream = "u"): void {
        const suspects = [{ fingerprint, size: 1, sentAgoMs: 50 }];
        this.watch.take(entry, [{ upstream, refused, agoMs: 10, suspects }], []);
    }

    public async pass(ms: number): Promise<void> {
        const stepMs = 50;
        for (let passed = 0; passed < ms; passed += stepMs) {
            this.t.mock.timers.tick(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Fingerprints of the ends that were written, in order. */
    public get ends(): string[][] {
        return this.written.flatMap(command =>
            command.kind === "upstream-ended" ? [command.suspects.map(({ fingerprint }) => fingerprint)] : []
        );
    }

    public end(): void {
        this.ended.abort();
    }
}

describe("the leader's watch of ends", () => {
    it("draws the fleet's key once", async t => {
        const leader = new Leader(t);
        await leader.pass(3000);
        expect(leader.written.map(({ kind }) => kind)).toEqual(["set-key"]);
        leader.end();
    });

    it("gathers what entries tell of one end, and writes it once its address refuses connections", async t => {
        const leader = new Leader(t);
        leader.see("e1", "a", false);
        leader.see("e2", "b", true);
        await leader.pass(300);
        expect(leader.ends).toEqual([["a", "b"]]);
        leader.end();
    });

    it("adds what is told later", async t => {
        const leader = new Leader(t);
        leader.see("e1", "a", true);
        await leader.pass(300);
        leader.see("e2", "b", false);
        await leader.pass(300);
        expect(leader.ends).toEqual([["a"], ["b"]]);
        leader.end();
    });

    it("counts nothing against anybody where connections were reset and the upstream lives", async t => {
        const leader = new Leader(t);
        leader.see("e1", "a", false);
        await leader.pass(15_000);
        leader.presence = "replaced";
        await leader.pass(1000);
        expect(leader.ends).toEqual([]);
        leader.end();
    });

    it("takes an upstream for ended whose address is another's", async t => {
        const leader = new Leader(t);
        leader.see("e1", "a", false);
        await leader.pass(1000);
        leader.presence = "replaced";
        await leader.pass(300);
        expect(leader.ends).toEqual([["a"]]);
        leader.end();
    });

    for (const presence of ["leaving", "gone"] as const) {
        it(`counts nothing where an upstream is ${presence}, as it said`, async t => {
            const leader = new Leader(t);
            leader.presence = presence;
            leader.see("e1", "a", true);
            await leader.pass(1000);
            expect(leader.ends).toEqual([]);
            leader.end();
        });
    }

    it("writes an end that was seen before a new leader has heard of its upstream", async t => {
        const leader = new Leader(t);
        leader.presence = "unheard";
        leader.see("e1", "a", true);
        await leader.pass(300);
        expect(leader.ends).toEqual([["a"]]);
        leader.end();
    });

    it("keeps what it could not write, and writes it with a majority", async t => {
        const leader = new Leader(t);
        await leader.pass(100);
        leader.hasMajority = false;
        leader.see("e1", "a", true);
        await leader.pass(500);
        leader.hasMajority = true;
        await leader.pass(300);
        expect(leader.ends).toEqual([["a"]]);
        leader.end();
    });

    it("clears a listed request that came to a good end, and passes over others", async t => {
        const leader = new Leader(t);
        for (const upstream of ["u1", "u2"]) {
            leader.see("e1", "a", true, upstream);
            await leader.pass(300);
        }
        expect(leader.book.standingOf("a")?.standing).toEqual("suspected");
        leader.watch.take("e2", [], ["a", "never listed"]);
        await leader.pass(100);
        expect(leader.book.standingOf("a")).toEqual(undefined);
        expect(leader.written.at(-1)).toEqual({ kind: "cleared", fingerprints: ["a"] });
        leader.end();
    });
});
