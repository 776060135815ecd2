import { silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { CrashReporter } from "../index.js";

interface Report {
    readonly sights: { upstream: string; refused: boolean; agoMs: number; suspects: { fingerprint: string; }[]; }[];
    readonly endedWell: string[];
}

class Entry {
    public readonly reports: Report[] = [];
    public probes = 0;
    public refuses = true;
    public leaderAnswers = true;
    public readonly reporter = new CrashReporter(async () => {
        this.probes += 1;
        return this.refuses;
    }, silentLog);
    private readonly ended = new AbortController();

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
        const clients = { client, forget: () => undefined };
        void this.reporter.run("e", clients, () => ({ url: "http://leader", epoch: "1" }), this.ended.signal);
    }

    public lose(upstream: string, fingerprint: string): void {
        this.reporter.lost({ id: upstream, address: `${upstream}:1` }, {
            fingerprint,
            size: 1,
            sentAt: Date.now() - 50,
        });
    }

    public async pass(ms: number): Promise<void> {
        const stepMs = 5;
        for (let passed = 0; passed < ms; passed += stepMs) {
            this.t.mock.timers.tick(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public end(): void {
        this.ended.abort();
    }
}

describe("what an entry tells of upstreams that seem to have ended", () => {
    it("goes out within 50 ms, all that ran there together, after one probe of the address", async t => {
        const entry = new Entry(t);
        await entry.pass(50);
        entry.lose("u", "a");
        entry.lose("u", "b");
        await entry.pass(50);
        const [{ upstream, refused, suspects }] = entry.reports[0].sights;
        expect([upstream, refused, suspects.map(({ fingerprint }) => fingerprint), entry.probes]).toEqual(
            ["u", true, ["a", "b"], 1],
        );
        entry.end();
    });

    it("is told again until a leader has taken it, with its age, and given up after ten seconds", async t => {
        const entry = new Entry(t);
        entry.leaderAnswers = false;
        entry.lose("u", "a");
        await entry.pass(2000);
        entry.leaderAnswers = true;
        await entry.pass(300);
        expect(entry.reports.length).toEqual(1);
        expect(entry.reports[0].sights[0].agoMs).toBeGreaterThan(1900);
        entry.leaderAnswers = false;
        entry.lose("u2", "b");
        await entry.pass(11_000);
        entry.leaderAnswers = true;
        await entry.pass(300);
        expect(entry.reports.length).toEqual(1);
        entry.end();
    });

    it("says so where the address takes connections: the upstream may live", async t => {
        const entry = new Entry(t);
        entry.refuses = false;
        entry.lose("u", "a");
        await entry.pass(100);
        expect(entry.reports[0].sights[0].refused).toEqual(false);
        entry.end();
    });

    it("names listed requests that came to a good end", async t => {
        const entry = new Entry(t);
        entry.reporter.succeeded("a");
        await entry.pass(100);
        expect(entry.reports[0].endedWell).toEqual(["a"]);
        entry.end();
    });
});
