import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { QuarantineState } from "@winchpath/quarantine";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { PollRequestSchema, type PollResponse, PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    Feed,
    type FeedControl,
    FleetView,
    maxVersionsPerService,
    Registry,
    type SoftwareVersionCommand,
    SoftwareVersionState,
    VersionAdmission,
    versionHoldMs,
    type VersionKey,
    versionRetentionMs,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";
import { advanceTime } from "./mocktimes.js";

/** Commits commands in order, and applies them to every replica. */
class TestLog {
    public readonly commands: SoftwareVersionCommand[] = [];
    public isBlocked = false;
    public term = 1;

    public commit(state: SoftwareVersionState, command: SoftwareVersionCommand): void {
        this.commands.push(command);
        state.apply(command, { index: this.commands.length, term: this.term });
    }
}

class TestControl implements FeedControl {
    public readonly term = 1;
    public epoch: string | undefined = "1/a";
    public readonly leadershipAgeMs = 0;
    public quorumAgeMs = 0;
    public readonly hasLeaderContact = true;
    public readonly leaderUrl = "";
    public readonly controlUrls = [];
    public readonly documents = { current: undefined, ageMs: 0 };
    public readonly quarantine = new QuarantineState();
    public softwareVersions: SoftwareVersionState | undefined;

    public awaitedModels(): ReadonlySet<string> {
        return new Set();
    }

    public async barrier(): Promise<void> {}
}

/** A leader with its registry and feed, and the view of one entry. */
class TestLeader {
    public readonly control = new TestControl();
    public readonly registry: Registry;
    private readonly admission: VersionAdmission;
    private readonly feed: Feed;
    private readonly abort = new AbortController();

    public constructor(
        public readonly state: SoftwareVersionState,
        log: TestLog,
        public readonly view: FleetView<object> = new FleetView(() => ({}), silentLog),
    ) {
        const { term } = log;
        this.control.softwareVersions = state;
        this.control.epoch = `${term}/a`;
        this.registry = new Registry(silentLog, () => true, version => this.admission.isAdmitted(version));
        this.admission = new VersionAdmission({
            state: () => state,
            registry: this.registry,
            term,
            propose: async command => {
                if (log.isBlocked) {
                    throw new Error("no majority");
                }
                log.commit(state, command);
            },
            log: silentLog,
        });
        this.feed = new Feed(this.registry, this.control, silentLog);
        void this.admission.run(this.abort.signal);
    }

    public announce(id: string, softwareVersion: string, service = "s"): void {
        const address = `10.0.0.1:${1000 + this.registry.all().length}`;
        this.registry.announce(createAnnouncement(id, 1, { softwareVersion, service, address }));
    }

    public async poll(position = this.view.softwareVersionPositionIn(this.control.epoch!)): Promise<PollResponse> {
        const sentAt = Date.now();
        const res = await this.feed.poll(create(PollRequestSchema, { entry: "e", softwareVersionPosition: position }));
        this.view.apply(res, sentAt);
        return res;
    }

    public stop(): void {
        this.abort.abort();
    }
}

function idsOf(view: FleetView<object>): string[] {
    return view.upstreams().map(({ id }) => id).sort();
}

function key(version: string, service = "s"): VersionKey {
    return { service, version };
}

describe("software versions", () => {
    let log: TestLog;
    let leader: TestLeader;

    beforeEach(() => {
        mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        log = new TestLog();
        leader = new TestLeader(new SoftwareVersionState(), log);
    });

    afterEach(async () => {
        leader.stop();
        await advanceTime(20);
        mock.timers.reset();
    });

    describe("admission of upstreams", () => {
        it("distributes the first version of each service as soon as it is committed, in one proposal", async () => {
            leader.announce("a", "v1");
            leader.announce("b", "v1");
            leader.announce("c", "v7", "other");
            expect(leader.registry.changesSince(0).changed).toEqual([]);
            await advanceTime(10);
            await leader.poll();
            expect(idsOf(leader.view)).toEqual(["a", "b", "c"]);
            expect(log.commands).toEqual([{ kind: "add", versions: [key("v1"), key("v7", "other")] }]);
            expect([leader.view.softwareVersions("s"), leader.view.softwareVersions("other")]).toEqual([["v1"], [
                "v7",
            ]]);
        });

        it("takes upstreams without a version as having the empty one", async () => {
            leader.announce("a", "");
            await advanceTime(10);
            await leader.poll();
            expect([idsOf(leader.view), leader.view.softwareVersions("s")]).toEqual([["a"], [""]]);
        });

        it("distributes nothing before the version is committed", async () => {
            log.isBlocked = true;
            leader.announce("a", "v1");
            await advanceTime(3000);
            await leader.poll();
            expect([idsOf(leader.view), leader.registry.all().length]).toEqual([[], 1]);
            log.isBlocked = false;
            await advanceTime(200);
            await leader.poll();
            expect(idsOf(leader.view)).toEqual(["a"]);
        });

        it("holds a further version back after its commit, while entries learn of it", async () => {
            leader.announce("a", "v1");
            await advanceTime(10);
            leader.announce("b", "v2");
            await advanceTime(versionHoldMs - 100);
            await leader.poll();
            expect([idsOf(leader.view), leader.view.softwareVersions("s")]).toEqual([["a"], ["v1", "v2"]]);
            await advanceTime(120);
            await leader.poll();
            expect(idsOf(leader.view)).toEqual(["a", "b"]);
        });

        it("holds back the second of two versions that are proposed together", async () => {
            leader.announce("a", "v1");
            leader.announce("b", "v2");
            await advanceTime(10);
            await leader.poll();
            expect([idsOf(leader.view), leader.view.softwareVersions("s")]).toEqual([["a"], ["v1", "v2"]]);
        });

        it("distributes a removal of an upstream that is held back", async () => {
            log.isBlocked = true;
            leader.announce("a", "v1");
            leader.registry.leave("a");
            expect([leader.registry.heldBack(), leader.registry.changesSince(0).removed]).toEqual([[], ["a"]]);
        });
    });

    describe("a new leader", () => {
        it("keeps the set of the log, and distributes its versions at once", async () => {
            leader.announce("a", "v1");
            leader.announce("b", "v2");
            await advanceTime(versionHoldMs + 20);
            leader.stop();
            const follower = new SoftwareVersionState();
            log.commands.forEach((command, index) => follower.apply(command, { index: index + 1, term: 1 }));
            await advanceTime(versionHoldMs);
            log.term = 2;
            const { view } = leader;
            leader = new TestLeader(follower, log, view);
            leader.announce("b", "v2");
            await leader.poll();
            expect([view.softwareVersions("s"), idsOf(view)]).toEqual([["v1", "v2"], ["b"]]);
            expect(log.commands.length).toEqual(1);
        });

        it("restores the set from a snapshot", async () => {
            leader.announce("a", "v1");
            leader.announce("b", "v2");
            await advanceTime(10);
            const restored = new SoftwareVersionState();
            restored.restore(JSON.parse(JSON.stringify(leader.state.snapshot())));
            expect(restored.all()).toEqual(leader.state.all());
            expect(restored.position).toEqual(leader.state.position);
        });

        it("confirms no set before it has applied its log", async () => {
            leader.announce("a", "v1");
            await advanceTime(10);
            await leader.poll();
            expect(leader.view.softwareVersionsConfirmedAgeMs).toEqual(1);
            await advanceTime(500);
            leader.control.softwareVersions = undefined;
            leader.control.epoch = "2/b";
            const res = await leader.poll();
            expect([res.softwareVersionsKnown, res.softwareVersionsListed]).toEqual([false, false]);
            expect(leader.view.softwareVersions("s")).toEqual(["v1"]);
            expect(leader.view.softwareVersionsConfirmedAgeMs >= 500).toEqual(true);
        });

        it("ignores retirements that an earlier leader proposed", () => {
            const state = new SoftwareVersionState();
            state.apply({ kind: "add", versions: [key("v1")] }, { index: 1, term: 1 });
            state.apply({ kind: "retire", term: 1, versions: [{ ...key("v1"), addedAt: 1 }] }, { index: 2, term: 2 });
            expect(state.find(key("v1")) === undefined).toEqual(false);
        });
    });

    describe("an entry", () => {
        it("knows how old its set is, by the leader's quorum", async () => {
            expect(leader.view.softwareVersionsConfirmedAgeMs).toEqual(Number.POSITIVE_INFINITY);
            leader.control.quorumAgeMs = 700;
            await leader.poll();
            expect(leader.view.softwareVersionsConfirmedAgeMs).toEqual(701);
        });

        it("gets the list only if it has changed", async () => {
            leader.announce("a", "v1");
            await advanceTime(10);
            await leader.poll();
            const feed = new Feed(leader.registry, leader.control, silentLog);
            const poll = (position: bigint | undefined) =>
                feed.poll(create(PollRequestSchema, { entry: "e", epoch: "1/a", softwareVersionPosition: position }));
            const sentAt = Date.now();
            const waiting = [poll(1n), poll(0n)];
            await advanceTime(100);
            const [same, older] = await Promise.all(waiting);
            expect([same.softwareVersionsKnown, same.softwareVersionsListed]).toEqual([true, false]);
            expect([older.softwareVersionsKnown, older.softwareVersionsListed]).toEqual([true, true]);
            await advanceTime(100);
            leader.view.apply(same, sentAt);
            expect(leader.view.softwareVersionsConfirmedAgeMs).toEqual(201 - same.waitedMs);
        });

        it("takes responses of leaders that don't send the set as confirming nothing", () => {
            const view = new FleetView(() => ({}), silentLog);
            const bytes = toBinary(PollResponseSchema, create(PollResponseSchema, { epoch: "1", position: 3n }));
            view.apply(fromBinary(PollResponseSchema, bytes), Date.now());
            expect([view.softwareVersions("s"), view.softwareVersionsConfirmedAgeMs]).toEqual([
                [],
                Number.POSITIVE_INFINITY,
            ]);
        });

        it("isn't answered at once for a set that it doesn't read", async () => {
            leader.announce("a", "v1");
            await advanceTime(10);
            const first = await leader.poll();
            const feed = new Feed(leader.registry, leader.control, silentLog);
            let isAnswered = false;
            const { epoch, position } = first;
            const poll = feed.poll(create(PollRequestSchema, { entry: "e", epoch, position, waitMs: 400 }))
                .then(() => isAnswered = true);
            await advanceTime(300);
            expect(isAnswered).toEqual(false);
            await advanceTime(200);
            await poll;
        });
    });

    describe("retirement", () => {
        it("removes a version that no upstream has had for the retention time", async () => {
            leader.announce("a", "v1");
            leader.announce("b", "v2");
            await advanceTime(versionHoldMs + 20);
            leader.registry.leave("b");
            // In steps of the sweep, since each step of mocked time costs a turn of the loop.
            for (let elapsedMs = 0; elapsedMs < versionRetentionMs; elapsedMs += 10_000) {
                expect(leader.state.versionsOf("s").length).toEqual(2);
                mock.timers.tick(10_000);
                await advanceTime(10);
            }
            for (let sweep = 0; sweep < 3; sweep++) {
                mock.timers.tick(10_000);
                await advanceTime(10);
            }
            expect(leader.state.versionsOf("s").map(({ version }) => version)).toEqual(["v1"]);
        });

        it("doesn't remove a version that was added again after the proposal", () => {
            const state = new SoftwareVersionState();
            state.apply({ kind: "add", versions: [key("v1")] }, { index: 1, term: 1 });
            state.apply({ kind: "add", versions: [key("v1")] }, { index: 2, term: 1 });
            state.apply({ kind: "retire", term: 1, versions: [{ ...key("v1"), addedAt: 1 }] }, { index: 3, term: 1 });
            expect(state.find(key("v1"))!.addedAt).toEqual(2);
            state.apply({ kind: "retire", term: 1, versions: [{ ...key("v1"), addedAt: 2 }] }, { index: 4, term: 1 });
            expect([state.services(), state.position]).toEqual([[], 2]);
        });

        it("holds the upstreams of a version back whose retirement got no clear answer, until it is added again", async () => {
            leader.announce("a", "v1");
            await advanceTime(10);
            leader.registry.leave("a");
            log.isBlocked = true;
            for (let elapsedMs = 0; elapsedMs < versionRetentionMs + 30_000; elapsedMs += 10_000) {
                mock.timers.tick(10_000);
                await advanceTime(10);
            }
            leader.announce("b", "v1");
            await advanceTime(300);
            expect(leader.registry.heldBack().map(({ id }) => id)).toEqual(["b"]);
            log.isBlocked = false;
            await advanceTime(200);
            expect(leader.registry.heldBack()).toEqual([]);
            expect(leader.state.find(key("v1"))!.addedAt).toEqual(2);
        });
    });

    describe("the bound", () => {
        it("admits further versions, counts them, and keeps the listed ones", async () => {
            for (let index = 0; index <= maxVersionsPerService; index++) {
                leader.announce(`u${index}`, `v${index}`);
            }
            await advanceTime(versionHoldMs + 50);
            await leader.poll();
            expect(leader.view.softwareVersions("s").length).toEqual(maxVersionsPerService);
            expect([leader.state.isFull("s"), leader.state.uncountedOf("s")]).toEqual([true, 1]);
            expect(idsOf(leader.view).length).toEqual(maxVersionsPerService + 1);
        });
    });

    describe("versions beyond the bound", () => {
        it("are listed once unused ones are retired, and the set shows several versions all along", async () => {
            const counts = new Set<number>();
            for (let index = 0; index <= maxVersionsPerService; index++) {
                leader.announce(`u${index}`, `v${index}`);
            }
            await advanceTime(versionHoldMs + 50);
            for (let index = 0; index < maxVersionsPerService; index++) {
                leader.registry.leave(`u${index}`);
            }
            for (let elapsedMs = 0; elapsedMs < versionRetentionMs + 40_000; elapsedMs += 10_000) {
                mock.timers.tick(10_000);
                await advanceTime(10);
                counts.add(leader.state.versionsOf("s").length);
            }
            expect(leader.state.versionsOf("s").map(({ version }) => version)).toEqual([`v${maxVersionsPerService}`]);
            expect([...counts]).toEqual([maxVersionsPerService, 3, 1]);
        });
    });

    describe("commands", () => {
        it("are ignored if they can't be decoded", () => {
            const state = new SoftwareVersionState();
            expect(state.apply({ kind: "add", versions: [{ service: 1 }] }, { index: 1, term: 1 })).toEqual({});
            expect(state.apply("nonsense", { index: 2, term: 1 })).toEqual({});
            expect(state.position).toEqual(0);
        });
    });
});
