import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type PollResponse, PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import { FeedFollower, FleetView } from "../index.js";

const hosts = ["http://a", "http://b", "http://c", "http://d", "http://e"];

/** Control hosts that lead, name the leader, or hang until the caller times out. */
class TestControlGroup {
    public leader = "http://a";
    public readonly unresponsive = new Set<string>();
    /** Hosts that do not answer calls from now on; calls in progress are answered. */
    public readonly silent = new Set<string>();
    public requests = 0;
    /** Number and duration of the leader's responses to polls. */
    public fullResponses = 0;
    public fullResponseMs = 5;

    public clients(): PeerClients {
        const open = (_service: unknown, url: string) => ({
            poll: (req: { probe?: boolean; }, options: { timeoutMs: number; }) =>
                this.poll(url, options.timeoutMs, req.probe === true),
        });
        return { client: open as unknown as PeerClients["client"], disconnect: () => undefined };
    }

    private async poll(url: string, timeoutMs: number, probe: boolean): Promise<PollResponse> {
        this.requests += 1;
        const isFull = url === this.leader && !probe;
        this.fullResponses += isFull ? 1 : 0;
        const isSilent = this.silent.has(url);
        const answerMs = this.unresponsive.has(url) || isSilent ? timeoutMs : isFull ? this.fullResponseMs : 5;
        await new Promise(resolve => setTimeout(resolve, answerMs));
        if (this.unresponsive.has(url) || isSilent) {
            throw new Error("silent");
        }
        if (answerMs >= timeoutMs) {
            throw new ConnectError("the operation timed out", Code.DeadlineExceeded);
        }
        if (url === this.leader && probe) {
            return create(PollResponseSchema, { leads: true, controlUrls: hosts });
        }
        return url === this.leader
            ? create(PollResponseSchema, { epoch: url, position: 1n, controlUrls: hosts })
            : create(PollResponseSchema, { notLeader: true, leaderUrl: this.leader, controlUrls: hosts });
    }
}

describe("FeedFollower", () => {
    async function advance(t: { mock: { timers: { tick(ms: number): void; }; }; }, ms: number): Promise<void> {
        for (let elapsed = 0; elapsed < ms; elapsed += 5) {
            t.mock.timers.tick(5);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    it("finds the next leader although other hosts hang or still name the failed one", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        const view = new FleetView(() => ({}), silentLog);
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(view, group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 500);
        expect(follower.leader).toEqual("http://a");
        group.unresponsive.add("http://a");
        group.unresponsive.add("http://b");
        await advance(t, 1200);
        group.leader = "http://e";
        await advance(t, 1000);
        expect(follower.leader).toEqual("http://e");
        end.abort();
    });

    it("replaces a leader whose answer is overdue before the poll times out", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        const view = new FleetView(() => ({}), silentLog);
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(view, group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 500);
        group.silent.add("http://a");
        await advance(t, 20);
        group.leader = "http://e";
        await advance(t, 1350);
        expect(follower.leader).toEqual("http://e");
        end.abort();
    });

    it("keeps a leader whose answer is overdue while no other leads", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        group.fullResponseMs = 1400;
        const view = new FleetView(() => ({}), silentLog);
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(view, group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 4500);
        expect([follower.leader, group.fullResponses]).toEqual(["http://a", 4]);
        end.abort();
    });

    it("gives a response that has timed out twice the time, so that a large one arrives over a slow link", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        group.fullResponseMs = 4000;
        const view = new FleetView(() => ({}), silentLog);
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(view, group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 11_000);
        expect([view.ageMs < 5000, group.fullResponses]).toEqual([true, 3]);
        end.abort();
    });

    it("gives a busy leader time to send the first snapshot, without repeated polls", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        group.fullResponseMs = 1400;
        group.unresponsive.add("http://b");
        const view = new FleetView(() => ({}), silentLog);
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(view, group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 1500);
        expect([follower.currentLeader.epoch, group.fullResponses <= 2]).toEqual(["http://a", true]);
        end.abort();
    });

    it("probes hosts in at most twenty rounds a second while there is no leader", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const group = new TestControlGroup();
        group.leader = "";
        const options = { entry: "x", dataCentre: "d", seeds: () => hosts.slice(0, 3) };
        const follower = new FeedFollower(new FleetView(() => ({}), silentLog), group.clients(), options, silentLog);
        const end = new AbortController();
        void follower.run(end.signal);
        await advance(t, 1000);
        expect(group.requests).toBeLessThan(61);
        end.abort();
    });
});
