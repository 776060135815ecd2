import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
    type Announcement,
    AnnouncementBatcher,
    batchIntervalMs,
    type UpstreamHeartbeat,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

class TestLeader {
    public leaderUrl = "http://a";
    public readonly announced: Announcement[] = [];
    public readonly reaffirmed: UpstreamHeartbeat[][] = [];
    public unknown: string[] = [];
    public isUnreachable = false;

    public async announce(announcement: Announcement): Promise<void> {
        this.throwIfUnreachable();
        this.announced.push(announcement);
    }

    public async reaffirm(upstreams: readonly UpstreamHeartbeat[]): Promise<readonly string[]> {
        this.throwIfUnreachable();
        this.reaffirmed.push([...upstreams]);
        return this.unknown;
    }

    private throwIfUnreachable(): void {
        if (this.isUnreachable) {
            throw new Error("lost");
        }
    }
}

describe("AnnouncementBatcher", () => {
    let leader: TestLeader;
    let batcher: AnnouncementBatcher;
    beforeEach(() => {
        leader = new TestLeader();
        batcher = new AnnouncementBatcher(leader, silentLog);
    });

    async function pass(t: { mock: { timers: { tick(ms: number): void; }; }; }, ms: number): Promise<void> {
        t.mock.timers.tick(ms);
        await new Promise(resolve => setImmediate(resolve));
    }

    it("forwards a changed software version in full", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        await batcher.announce(createAnnouncement("u", 1, { softwareVersion: "v1" }));
        await batcher.announce(createAnnouncement("u", 2, { softwareVersion: "v2" }));
        expect(leader.announced.map(({ upstream }) => upstream!.softwareVersion)).toEqual(["v1", "v2"]);
    });

    it("forgets all runs of a name that has left, and forwards its next announcement in full", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        await batcher.announce(createAnnouncement("u#v1", 1, { name: "u", softwareVersion: "v1" }));
        batcher.forget({ name: "u", born: 0n });
        await batcher.announce(createAnnouncement("u#v1", 2, { name: "u", softwareVersion: "v1" }));
        expect(leader.announced.length).toEqual(2);
    });

    it("forwards the first announcement in full, and batches unchanged ones", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const abort = new AbortController();
        void batcher.run(abort.signal);
        await batcher.announce(createAnnouncement("u", 1));
        await batcher.announce(createAnnouncement("u", 2));
        await batcher.announce(createAnnouncement("u", 3));
        expect(leader.announced.length).toEqual(1);
        await pass(t, batchIntervalMs);
        expect(leader.reaffirmed).toEqual([[{ id: "u", sequence: 3n }]]);
        abort.abort();
    });

    it("forwards at once when the content or the leader changes", async () => {
        await batcher.announce(createAnnouncement("u", 1));
        await batcher.announce(createAnnouncement("u", 2, { state: UpstreamState.DRAINING }));
        leader.leaderUrl = "http://b";
        await batcher.announce(createAnnouncement("u", 3, { state: UpstreamState.DRAINING }));
        expect(leader.announced.length).toEqual(3);
    });

    it("acknowledges nothing once the leader has been unreachable for a second", async t => {
        t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        await batcher.announce(createAnnouncement("u", 1));
        t.mock.timers.tick(1001);
        leader.isUnreachable = true;
        await expect(batcher.announce(createAnnouncement("u", 2))).toBeRejected();
    });

    it("forwards announcements in full that a new leader does not know", async t => {
        t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        const abort = new AbortController();
        void batcher.run(abort.signal);
        await batcher.announce(createAnnouncement("u", 1));
        await batcher.announce(createAnnouncement("u", 2));
        leader.unknown = ["u"];
        await pass(t, batchIntervalMs);
        await new Promise(resolve => setImmediate(resolve));
        expect(leader.announced.map(({ sequence }) => sequence)).toEqual([1n, 2n]);
        abort.abort();
    });
});
