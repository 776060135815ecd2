/**
 * Guards against departures that are acknowledged and leave no trace: of upstreams that the leader doesn't know, doubts,
 * holds back or can't place, and of a leader that ends right after the acknowledgement.
 */
import { create } from "@bufbuild/protobuf";
import { Metrics, silentLog } from "@winchpath/core";
import { QuarantineState } from "@winchpath/quarantine";
import { RpcClients } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    type AnnouncementControl,
    AnnouncementReceiver,
    type Departure,
    DepartureRecorder,
    DepartureSet,
    DepartureState,
    encodeDeparture,
    encodeDepartures,
    encodeUpstream,
    Feed,
    type FeedControl,
    FleetView,
    maxDepartures,
    Registry,
    type TimedDeparture,
    type Upstream,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

const draining = { state: UpstreamState.DRAINING };

function departureOf(name: string, values: Partial<Departure> = {}): Departure {
    return { name, born: 0n, softwareVersion: undefined, hasLeft: true, term: 1, ...values };
}

/** A leader without a network, whose commits can be held up. */
class TestLeader implements FeedControl, AnnouncementControl {
    public readonly epoch = "1/x";
    public readonly term = 1;
    public readonly isLeader = true;
    public readonly leadershipAgeMs = 0;
    public readonly quorumAgeMs = 0;
    public readonly hasLeaderContact = true;
    public readonly leaderUrl = "";
    public readonly controlUrls: readonly string[] = [];
    public readonly documents = { current: undefined, ageMs: 0 };
    public readonly quarantine = new QuarantineState();
    public readonly softwareVersions = undefined;
    public readonly departures = new DepartureState();
    public readonly registry = new Registry(silentLog);
    public readonly receiver: AnnouncementReceiver;
    public commits = 0;
    public commitError: Error | undefined;

    public constructor() {
        const feed = new Feed(this.registry, this, silentLog);
        const clients = new RpcClients({
            key: undefined,
            timeline: new Timeline({ process: "p", host: "h", dataCentre: "d" }),
        });
        const observers = { log: silentLog, metrics: new Metrics() };
        this.receiver = new AnnouncementReceiver(this.registry, feed, this, clients, observers);
    }

    public awaitedModels(): ReadonlySet<string> {
        return new Set();
    }

    public async barrier(): Promise<void> {}

    public async commitDepartures(departures: readonly Departure[]): Promise<void> {
        this.commits += 1;
        await new Promise(resolve => setImmediate(resolve));
        if (this.commitError !== undefined) {
            throw this.commitError;
        }
        this.departures.apply(encodeDepartures(departures), { term: this.term, time: Date.now() });
    }
}

describe("departures", () => {
    describe("at the leader", () => {
        beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
        afterEach(() => mock.timers.reset());

        function told(registry: Registry, position = 0): string[] {
            return registry.changesSince(position).departures.map(({ name, born }) => `${name}@${born}`);
        }

        it("of an unknown upstream are told to entries, as urgent news", () => {
            const registry = new Registry(silentLog);
            const { position } = registry.leave("u", 100n);
            expect([position, registry.urgentPosition, told(registry)]).toEqual([1, 1, ["u@100"]]);
        });

        it("are told once, however often they are announced", () => {
            const registry = new Registry(silentLog);
            const first = registry.leave("u", 100n).position;
            expect([registry.leave("u", 100n).position, registry.position]).toEqual([first, first]);
        });

        it("by a draining announcement that is doubted as delayed are told", () => {
            const registry = new Registry(silentLog);
            registry.announce(createAnnouncement("holder", 1, { address: "10.0.0.1:9" }));
            const position = registry.announce(createAnnouncement("u", 50, { address: "10.0.0.1:9", ...draining }));
            expect([told(registry), position === registry.position]).toEqual([["u@0"], true]);
            expect(registry.get("holder")?.upstream.state).toEqual(UpstreamState.READY);
        });

        it("by a draining announcement for an undeclared service are told", () => {
            const registry = new Registry(silentLog, () => false);
            registry.announce(createAnnouncement("u", 1, draining));
            expect(told(registry)).toEqual(["u@0"]);
        });

        it("by a draining announcement with an earlier sequence number are told, and apply", () => {
            const registry = new Registry(silentLog);
            registry.announce(createAnnouncement("u", 5));
            registry.announce(createAnnouncement("u", 4, draining));
            expect([told(registry), registry.get("u")?.upstream.state]).toEqual([["u@0"], UpstreamState.DRAINING]);
        });

        it("of an upstream that is held back for its software version are told", () => {
            const registry = new Registry(silentLog, () => true, () => false);
            registry.announce(createAnnouncement("u", 1));
            registry.announce(createAnnouncement("u", 2, draining));
            expect([registry.changesSince(0).changed.length, told(registry)]).toEqual([0, ["u@0"]]);
        });

        it("of an earlier run are told though the next run is held back from entries", () => {
            const registry = new Registry(silentLog, () => true, ({ version }) => version === "v1");
            registry.announce(createAnnouncement("u@200", 1, { name: "u", born: 200n, softwareVersion: "v2" }));
            registry.leave("u", 100n);
            expect([registry.changesSince(0).changed.length, told(registry)]).toEqual([0, ["u@100"]]);
        });

        /** Guards against an upstream that starts again under its name, without a start time, and is barred for good. */
        it("without a start time bar its name for a minute only, in later leaderships too", () => {
            const state = new DepartureState();
            const registry = new Registry(silentLog);
            const { departure } = registry.leave("u");
            state.apply(encodeDepartures([departure]), { term: 1, time: Date.now() });
            mock.timers.tick(59_000);
            registry.clear({ term: 2, departures: state.recent() });
            registry.announce(createAnnouncement("u", 1));
            expect(registry.all().length).toEqual(0);
            mock.timers.tick(61_000);
            registry.removeExpired();
            registry.announce(createAnnouncement("u", 2));
            expect(registry.get("u")?.upstream.state).toEqual(UpstreamState.READY);
            registry.clear({ term: 3, departures: state.recent() });
            registry.announce(createAnnouncement("u", 3));
            expect(registry.get("u")?.upstream.state).toEqual(UpstreamState.READY);
        });

        it("of an earlier leadership are told to every entry, and bar late announcements", () => {
            const registry = new Registry(silentLog);
            registry.clear({ term: 2, departures: [departureOf("u", { born: 100n })] });
            expect(told(registry, -1)).toEqual(["u@100"]);
            registry.announce(createAnnouncement("u@100", 50, { name: "u", born: 100n }));
            expect(registry.all().length).toEqual(0);
            registry.announce(createAnnouncement("u@200", 1, { name: "u", born: 200n }));
            expect(registry.get("u@200")?.upstream.state).toEqual(UpstreamState.READY);
        });
    });

    describe("at an entry", () => {
        function poll(view: FleetView<unknown>, term: number, upstreams: Partial<Upstream>[], departures: Departure[]) {
            const changed = upstreams.map(values => createAnnouncement(String(values.id), 1, values).upstream!);
            view.apply(create(PollResponseSchema, {
                epoch: `${term}/x`,
                term: BigInt(term),
                changed: changed.map(encodeUpstream),
                departures: departures.map(encodeDeparture),
            }));
        }

        it("stop it from sending to a run that an earlier leader has told", () => {
            const view = new FleetView(() => undefined, silentLog);
            poll(view, 1, [{ id: "u#v1", name: "u", softwareVersion: "v1" }], []);
            poll(view, 2, [], [departureOf("u", { term: 2 })]);
            expect([view.get("u#v1")?.state, view.availability.isDraining("u#v1")]).toEqual([
                UpstreamState.DRAINING,
                true,
            ]);
        });

        it("without a start time don't stop the next run under the name", () => {
            const view = new FleetView(() => undefined, silentLog);
            poll(view, 1, [{ id: "u@100", name: "u", born: 100n }], []);
            poll(view, 2, [], [departureOf("u", { term: 2 })]);
            poll(view, 2, [{ id: "u@200", name: "u", born: 200n }], []);
            poll(view, 3, [], [departureOf("u", { term: 2 })]);
            expect([view.availability.isDraining("u@100"), view.get("u@200")?.state]).toEqual([
                true,
                UpstreamState.READY,
            ]);
        });
    });

    describe("in the replicated state", () => {
        const context = { term: 1, time: 1_000_000 };

        it("survive a snapshot, and content that can't be decoded is ignored", () => {
            const state = new DepartureState();
            state.apply(encodeDepartures([departureOf("a", { born: 7n }), departureOf("b")]), context);
            state.apply({ departures: [{ name: 1 }] }, context);
            const restored = new DepartureState();
            restored.restore(JSON.parse(JSON.stringify(state.snapshot())));
            expect(restored.all()).toEqual(state.all());
            restored.restore({ departures: "none" });
            expect(restored.all()).toEqual([]);
        });

        it("are forgotten after a while, and beyond a bound", () => {
            const set = new DepartureSet<TimedDeparture>();
            set.add({ ...departureOf("old"), at: 0 });
            set.add({ ...departureOf("next"), at: 61_000 });
            expect(set.all().map(({ name }) => name)).toEqual(["next"]);
            for (let index = 0; index < 2 * maxDepartures; index++) {
                set.add({ ...departureOf(`u${index}`), at: 61_000 });
            }
            expect(set.all().length).toEqual(maxDepartures);
        });

        it("of one name are bounded", () => {
            const set = new DepartureSet<TimedDeparture>();
            for (let version = 0; version < 100; version++) {
                set.add({ ...departureOf("u", { softwareVersion: `v${version}` }), at: 0 });
            }
            expect(set.all().length).toEqual(8);
        });

        it("include a draining once it has deregistered, but not the other way round", () => {
            const set = new DepartureSet<TimedDeparture>();
            const drains = departureOf("u", { born: 5n, softwareVersion: "v1", hasLeft: false });
            set.add({ ...drains, at: 0 });
            expect(set.find({ ...drains, hasLeft: true })).toEqual(undefined);
            set.add({ ...drains, hasLeft: true, at: 0 });
            expect([set.find(drains) !== undefined, set.all().length]).toEqual([true, 1]);
        });
    });

    describe("when they are acknowledged", () => {
        it("have been committed, whether the leader knew the upstream or not", async () => {
            const leader = new TestLeader();
            leader.registry.announce(createAnnouncement("a", 1));
            await leader.receiver.leaveLocally({ name: "a", born: 0n });
            await leader.receiver.leaveLocally({ name: "b", born: 0n });
            await leader.receiver.announceLocally(createAnnouncement("c", 9, draining));
            expect(leader.departures.all().map(({ name }) => name)).toEqual(["a", "b", "c"]);
        });

        it("cost no further commit when they are announced again", async () => {
            const leader = new TestLeader();
            await leader.receiver.announceLocally(createAnnouncement("a", 1, draining));
            await leader.receiver.announceLocally(createAnnouncement("a", 2, draining));
            expect(leader.commits).toEqual(1);
        });

        it("share commits if many come at once", async () => {
            const leader = new TestLeader();
            const names = Array.from({ length: 82 }, (_, index) => `u${index}`);
            await Promise.all(names.map(name => leader.receiver.leaveLocally({ name, born: 0n })));
            expect([leader.departures.all().length, leader.commits]).toEqual([82, 2]);
        });

        it("are not acknowledged if the commit fails, and can be told again", async () => {
            const leader = new TestLeader();
            leader.commitError = new Error("no majority");
            await expect(leader.receiver.leaveLocally({ name: "a", born: 0n })).toBeRejectedWith("no majority");
            leader.commitError = undefined;
            await leader.receiver.leaveLocally({ name: "a", born: 0n });
            expect(leader.departures.all().length).toEqual(1);
        });

        it("wait for a commit that began after they came in", async () => {
            const committed: string[][] = [];
            const recorder = new DepartureRecorder(() => new DepartureState(), async departures => {
                await new Promise(resolve => setImmediate(resolve));
                committed.push(departures.map(({ name }) => name));
            });
            const first = recorder.record(departureOf("a"));
            const second = recorder.record(departureOf("b"));
            await first;
            expect(committed).toEqual([["a"]]);
            await second;
            expect(committed).toEqual([["a"], ["b"]]);
        });
    });
});
