import { silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { CrashReporter } from "../index.js";

interface Report {
    readonly sights: { upstream: string; refused: boolean; agoMs: number; suspects: { fingerprint: string; }[]; }[];
    readonly endedWell: string[];
}

class TestEntry {
    public readonly reports: Report[] = [];
    public probes = 0;
    public refuses = true;
    public leaderAnswers = true;
    public readonly reporter = new CrashReporter(async () => {
        this.probes += 1;
        return this.refuses;
    }, silentLog);
    private readonly controller = new AbortController();

    public constructor(private readonly t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        const reportCrashes = async (report: Report) => {
            if (!this.leaderAnswers) {
                throw new Error("not the leader");
            }
            this.reports.push(report);
            return {};
        };
        const client = (() => ({ reportCrashes })) as unknown as PeerClients["client"];
        const clients = { client, disconnect: () => undefined };
        void this.reporter.run("e", clients, () => ({ url: "http://leader", epoch: "1" }), this.controller.signal);
    }

    public loseConnection(upstream: string, fingerprint: string): void {
        this.reporter.lost({ id: upstream, address: `${upstream}:1` }, {
            fingerprint,
            size: 1,
            sentAt: Date.now() - 50,
        });
    }

    public async advance(ms: number): Promise<void> {
        const stepMs = 5;
        for (let elapsed = 0; elapsed < ms; elapsed += stepMs) {
            this.t.mock.timers.tick(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public stop(): void {
        this.controller.abort();
    }
}

describe("CrashReporter", () => {
    it("reports all requests of a crash together within 50 ms, after one probe of the address", async t => {
        const entry = new TestEntry(t);
        await entry.advance(50);
        entry.loseConnection("u", "a");
        entry.loseConnection("u", "b");
        await entry.advance(50);
        const [{ upstream, refused, suspects }] = entry.reports[0].sights;
        expect([upstream, refused, suspects.map(({ fingerprint }) => fingerprint), entry.probes]).toEqual(
            ["u", true, ["a", "b"], 1],
        );
        entry.stop();
    });

    it("repeats a report with its age until a leader accepts it, for at most ten seconds", async t => {
        const entry = new TestEntry(t);
        entry.leaderAnswers = false;
        entry.loseConnection("u", "a");
        await entry.advance(2000);
        entry.leaderAnswers = true;
        await entry.advance(300);
        expect(entry.reports.length).toEqual(1);
        expect(entry.reports[0].sights[0].agoMs).toBeGreaterThan(1900);
        entry.leaderAnswers = false;
        entry.loseConnection("u2", "b");
        await entry.advance(11_000);
        entry.leaderAnswers = true;
        await entry.advance(300);
        expect(entry.reports.length).toEqual(1);
        entry.stop();
    });

    it("reports whether the address accepts connections, since the upstream may be alive", async t => {
        const entry = new TestEntry(t);
        entry.refuses = false;
        entry.loseConnection("u", "a");
        await entry.advance(100);
        expect(entry.reports[0].sights[0].refused).toEqual(false);
        entry.stop();
    });

    it("reports quarantined requests that completed normally", async t => {
        const entry = new TestEntry(t);
        entry.reporter.succeeded("a");
        await entry.advance(100);
        expect(entry.reports[0].endedWell).toEqual(["a"]);
        entry.stop();
    });
});
