import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { silentLog } from "@winchpath/core";
import { QuarantineState } from "@winchpath/quarantine";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ConfirmRequestSchema, PollRequestSchema, type PollResponse } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    decodeUpstream,
    Feed,
    type FeedControl,
    FleetView,
    Registry,
    SoftwareVersionState,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

class TestControl implements FeedControl {
    public readonly term = 1;
    public epoch: string | undefined = "1/a";
    public leadershipAgeMs = 0;
    public quorumAgeMs = 0;
    public hasLeaderContact = true;
    public leaderUrl = "http://other";
    public controlUrls = ["http://a"];
    public documents: FeedControl["documents"] = { current: undefined, ageMs: 0 };
    public readonly quarantine = new QuarantineState();
    public softwareVersions: SoftwareVersionState | undefined = new SoftwareVersionState();
    public barriers = 0;
    /** Error of each barrier; undefined if they succeed. */
    public barrierError: Error | undefined;
    public readonly awaitedNames = new Set<string>();

    public awaitedModels(): ReadonlySet<string> {
        return this.awaitedNames;
    }

    public async barrier(): Promise<void> {
        this.barriers += 1;
        if (this.barrierError !== undefined) {
            throw this.barrierError;
        }
    }
}

function setUp() {
    const control = new TestControl();
    const registry = new Registry(silentLog);
    const feed = new Feed(registry, control, silentLog);
    const view = new FleetView((text, version) => ({ text, version }), silentLog);
    const entry = { epoch: "", position: 0n };
    const poll = async (waitMs = 0): Promise<PollResponse> => {
        const res = await feed.poll(create(PollRequestSchema, {
            entry: "e",
            ...entry,
            documentVersion: BigInt(view.version),
            waitMs,
        }));
        if (!res.notLeader) {
            Object.assign(entry, { epoch: res.epoch, position: res.position });
            view.apply(res);
        }
        return res;
    };
    return { control, registry, feed, view, poll };
}

describe("Feed", () => {
    // Guards against entries that take a late group for one that they can't reach, or a large answer for none.
    describe("asked whether a document is the latest one", () => {
        it("tells a group that is late from a host without a leader", async () => {
            const { control, feed } = setUp();
            control.barrierError = new Error("no majority in time");
            const codes: Code[] = [];
            for (const hasLeaderContact of [true, false]) {
                control.hasLeaderContact = hasLeaderContact;
                await feed.confirmDocument(create(ConfirmRequestSchema, { entry: "e" }))
                    .catch(err => codes.push(ConnectError.from(err).code));
            }
            expect(codes).toEqual([Code.ResourceExhausted, Code.FailedPrecondition]);
        });

        it("sends the text of a newer one unless only the version is asked for, and its members", async () => {
            const { control, feed } = setUp();
            control.documents = { current: { version: 3, text: "three" }, ageMs: 7 };
            const ask = (documentVersion: bigint, versionOnly: boolean) =>
                feed.confirmDocument(create(ConfirmRequestSchema, { entry: "e", documentVersion, versionOnly }));
            const answers = [await ask(2n, true), await ask(2n, false), await ask(3n, false)];
            expect(answers.map(({ documentVersion, documentText }) => [documentVersion, documentText]))
                .toEqual([[3n, ""], [3n, "three"], [3n, ""]]);
            expect(answers[0].controlUrls).toEqual(["http://a"]);
        });
    });

    // Guards against entries that each take the whole of what is divided by their number, since a new leader knows only one.
    it("counts as many entries after its election as the last leader has told of, until all had time to poll", async () => {
        const { control, feed, view, poll } = setUp();
        const pollOf = (entry: string, knownEntries: number) =>
            feed.poll(create(PollRequestSchema, { entry, knownEntries }));
        expect((await pollOf("e", 4)).entries).toEqual(4);
        expect((await pollOf("f", 3)).entries).toEqual(4);
        control.leadershipAgeMs = 4001;
        expect((await pollOf("f", 4)).entries).toEqual(2);
        control.leadershipAgeMs = 0;
        control.epoch = "2/a";
        expect((await poll()).entries).toEqual(2);
        expect(view.entries).toEqual(2);
    });

    it("sends a snapshot after a read barrier, and then only changes", async () => {
        const { control, registry, view, poll } = setUp();
        registry.announce(createAnnouncement("u1", 1));
        control.documents = { current: { version: 3, text: "three" }, ageMs: 0 };
        await poll();
        expect([control.barriers, view.version, view.upstreams().map(({ id }) => id)]).toEqual([1, 3, ["u1"]]);
        registry.announce(createAnnouncement("u2", 1));
        const res = await poll();
        expect(res.changed.map(bytes => decodeUpstream(bytes).id)).toEqual(["u2"]);
        expect(res.documentText).toEqual("");
    });

    it("answers a waiting poll as soon as something changes", async () => {
        const { registry, feed, view, poll } = setUp();
        await poll();
        const waiting = poll(60_000);
        registry.announce(createAnnouncement("u1", 1));
        feed.wakePolls();
        await waiting;
        expect(view.upstreams().length).toEqual(1);
    });

    it("resolves a drain only once entries have confirmed it", async () => {
        const { registry, feed, view, poll } = setUp();
        registry.announce(createAnnouncement("u1", 1));
        await poll();
        const position = registry.announce(createAnnouncement("u1", 2, { state: UpstreamState.DRAINING }));
        let spread = false;
        const spreading = feed.awaitConfirmation(position, 60_000).then(() => {
            spread = true;
        });
        await poll();
        expect([view.get("u1")!.state, spread]).toEqual([UpstreamState.DRAINING, false]);
        await poll();
        await spreading;
        expect(spread).toEqual(true);
    });

    it("names the new leader after losing the leadership", async () => {
        const { control, poll } = setUp();
        control.epoch = undefined;
        const res = await poll();
        expect([res.notLeader, res.leaderUrl]).toEqual([true, "http://other"]);
    });
});

describe("FleetView", () => {
    it("never returns to an older document", async () => {
        const { control, view, poll } = setUp();
        control.documents = { current: { version: 5, text: "five" }, ageMs: 0 };
        await poll();
        control.epoch = "2/b";
        control.documents = { current: { version: 4, text: "four" }, ageMs: 0 };
        await poll();
        expect(view.version).toEqual(5);
    });

    it("keeps an upstream draining whatever a new leader sends", async () => {
        const { control, registry, view, poll } = setUp();
        registry.announce(createAnnouncement("u1", 1, { state: UpstreamState.DRAINING }));
        await poll();
        control.epoch = "2/b";
        registry.clear({ term: 2, departures: [] });
        registry.announce(createAnnouncement("u1", 2));
        await poll();
        expect(view.get("u1")!.state).toEqual(UpstreamState.DRAINING);
    });

    it("keeps upstreams of an earlier leader until the new one is complete", async () => {
        const { control, registry, view, poll } = setUp();
        registry.announce(createAnnouncement("u1", 1));
        await poll();
        control.epoch = "2/b";
        registry.clear({ term: 2, departures: [] });
        await poll();
        expect(view.upstreams().length).toEqual(1);
        control.leadershipAgeMs = 10_000;
        await poll();
        expect(view.upstreams().length).toEqual(0);
    });
});

describe("Registry", () => {
    it("ignores late announcements", () => {
        const registry = new Registry(silentLog);
        registry.announce(createAnnouncement("u1", 5, { state: UpstreamState.DRAINING }));
        registry.announce(createAnnouncement("u1", 4));
        expect(registry.get("u1")!.upstream.state).toEqual(UpstreamState.DRAINING);
        registry.leave("u1");
        registry.announce(createAnnouncement("u1", 6));
        expect(registry.get("u1")).toEqual(undefined);
    });

    it("assigns an address to the upstream that announced it last", () => {
        const registry = new Registry(silentLog);
        registry.announce(createAnnouncement("u1", 1, { address: "10.0.0.1:1" }));
        registry.announce(createAnnouncement("u2", 1, { address: "10.0.0.1:1", service: "other" }));
        expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["u2"]);
    });

    it("takes held models from orders instead of announcements, once there were any", () => {
        const registry = new Registry(silentLog);
        registry.announce(createAnnouncement("u1", 1));
        registry.setModels("u1", []);
        const models = [{
            $typeName: "winchpath.fleet.v1.HeldModel" as const,
            name: "m",
            version: 0n,
            adapters: [],
            leaving: false,
            readyInMs: 0,
        }];
        registry.announce(createAnnouncement("u1", 2, { models }));
        expect(registry.get("u1")!.upstream.models.length).toEqual(0);
    });
});

describe("an upstream that the feed sends to many entries", () => {
    it("is encoded once", async () => {
        const { registry, feed } = setUp();
        for (let number = 0; number < 50; number++) {
            registry.announce(createAnnouncement(`u${number}`, 1, { address: `10.0.0.1:${number + 1}` }));
        }
        const ask = (entry: string) => feed.poll(create(PollRequestSchema, { entry, epoch: "", waitMs: 0 }));
        const [first, second] = [await ask("e1"), await ask("e2")];
        expect(first.changed.length).toEqual(50);
        expect(first.changed.every((bytes, index) => bytes === second.changed[index])).toEqual(true);
    });
});
