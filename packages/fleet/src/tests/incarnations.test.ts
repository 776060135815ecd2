import { create } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { array, assert, constantFrom, nat, property, record } from "fast-check";
import { describe, it } from "node:test";
import { PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    type Announcement,
    encodeUpstream,
    FleetView,
    incarnationId,
    Registry,
    type Upstream,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

function announcementOfRun(name: string, born: number, sequence: number, values: Partial<Upstream> = {}): Announcement {
    const id = incarnationId({ name, born: BigInt(born), softwareVersion: values.softwareVersion ?? "" });
    return createAnnouncement(id, sequence, {
        name,
        born: BigInt(born),
        address: `10.0.0.1:${name.charCodeAt(0)}`,
        ...values,
    });
}

function idsOf(registry: Registry): string[] {
    return registry.all().map(({ upstream }) => upstream.id).sort();
}

describe("an upstream that restarts under the same name", () => {
    it("replaces its earlier run, without inheriting its state", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 100, 50));
        registry.setModels("u@100", [{
            $typeName: "winchpath.fleet.v1.HeldModel",
            name: "m",
            version: 1n,
            adapters: [],
            leaving: false,
            readyInMs: 0,
        }]);
        registry.setFailingPercent("u@100", 40);
        registry.reportUnreachable("u@100", "e1");
        const before = registry.position;
        registry.announce(announcementOfRun("u", 200, 0));
        const known = registry.get("u@200")!;
        expect(idsOf(registry)).toEqual(["u@200"]);
        expect([known.upstream.models, known.upstream.failingPercent, known.unreachableReports.size]).toEqual([
            [],
            0,
            0,
        ]);
        expect(registry.changesSince(before).removed).toEqual(["u@100"]);
    });

    it("is urgent news for entries, since their requests must not reach the earlier run", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 100, 50));
        registry.announce(announcementOfRun("u", 200, 1));
        expect(registry.urgentPosition > 1).toEqual(true);
    });

    it("is not affected by late messages of its earlier run", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 200, 1));
        const before = registry.position;
        registry.announce(announcementOfRun("u", 100, 90));
        registry.announce(announcementOfRun("u", 100, 91, { state: UpstreamState.DRAINING }));
        registry.leave("u", 100n);
        expect([idsOf(registry), registry.position]).toEqual([["u@200"], before]);
    });

    it("is removed by its departure, and can be replaced by a later run", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 100, 9));
        registry.leave("u", 100n);
        registry.announce(announcementOfRun("u", 100, 10));
        expect(idsOf(registry)).toEqual([]);
        registry.announce(announcementOfRun("u", 200, 1));
        expect(idsOf(registry)).toEqual(["u@200"]);
    });

    it("is removed by a departure without a start time", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 100, 9));
        registry.leave("u");
        registry.announce(announcementOfRun("u", 100, 10));
        expect(idsOf(registry)).toEqual([]);
        registry.announce(announcementOfRun("u", 200, 1));
        expect(idsOf(registry)).toEqual(["u@200"]);
    });

    it("does not inherit the draining state of its earlier run", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 100, 9, { state: UpstreamState.DRAINING }));
        registry.announce(announcementOfRun("u", 200, 1));
        expect(registry.get("u@200")!.upstream.state).toEqual(UpstreamState.READY);
    });

    it("is kept by an entry when a new leader reports an earlier run", () => {
        const view = new FleetView(() => ({}), silentLog);
        const take = (epoch: string, ...changed: Upstream[]) =>
            view.apply(create(PollResponseSchema, { epoch, changed: changed.map(encodeUpstream) }));
        take("1", announcementOfRun("u", 200, 1).upstream!);
        take("2", announcementOfRun("u", 100, 80).upstream!);
        expect(view.upstreams().map(({ id }) => id)).toEqual(["u@200"]);
        take("2", announcementOfRun("u", 300, 1).upstream!);
        expect(view.upstreams().map(({ id }) => id)).toEqual(["u@300"]);
    });
});

describe("an upstream that returns with another software version", () => {
    it("is another incarnation under the same name, whether its start time is known or not", () => {
        for (const born of [0, 100]) {
            const registry = new Registry(silentLog);
            registry.announce(announcementOfRun("u", born, 1, { softwareVersion: "v1" }));
            const [before] = idsOf(registry);
            const { position } = registry;
            registry.announce(announcementOfRun("u", born, 1, { softwareVersion: "v2" }));
            const [{ upstream }] = registry.all();
            expect([upstream.name, upstream.softwareVersion, registry.all().length]).toEqual(["u", "v2", 1]);
            expect(registry.changesSince(position).removed).toEqual([before]);
        }
    });

    it("may return to its earlier version, but not by a late announcement", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 0, 1, { softwareVersion: "v1" }));
        registry.announce(announcementOfRun("u", 0, 1, { softwareVersion: "v2" }));
        registry.announce(announcementOfRun("u", 0, 70, { softwareVersion: "v1" }));
        expect(idsOf(registry)).toEqual(["u#v2"]);
        registry.announce(announcementOfRun("u", 0, 0, { softwareVersion: "v1" }));
        expect(idsOf(registry)).toEqual(["u#v1"]);
    });

    it("leaves as the version that it has", () => {
        const registry = new Registry(silentLog);
        registry.announce(announcementOfRun("u", 0, 1, { softwareVersion: "v1" }));
        registry.leave("u");
        registry.announce(announcementOfRun("u", 0, 1, { softwareVersion: "v1" }));
        expect(idsOf(registry)).toEqual([]);
        registry.announce(announcementOfRun("u", 0, 1, { softwareVersion: "v2" }));
        expect(idsOf(registry)).toEqual(["u#v2"]);
    });

    it("replaces the earlier one at an entry", () => {
        const view = new FleetView(() => ({}), silentLog);
        const take = (changed: Upstream) =>
            view.apply(create(PollResponseSchema, { epoch: "1", changed: [encodeUpstream(changed)] }));
        take(announcementOfRun("u", 0, 1, { softwareVersion: "v1" }).upstream!);
        take(announcementOfRun("u", 0, 1, { softwareVersion: "v2" }).upstream!);
        expect(view.upstreams().map(({ name, softwareVersion }) => [name, softwareVersion])).toEqual([["u", "v2"]]);
    });
});

describe("announcements and departures that are reordered, lost, duplicated or late", () => {
    const names = ["a", "b"];
    const message = record({
        name: constantFrom(...names),
        born: nat({ max: 3 }),
        sequence: nat({ max: 6 }),
        kind: constantFrom("ready", "draining", "leave"),
        address: constantFrom("10.0.0.1:1", "10.0.0.1:2"),
    });

    it("never restore a run after a later run or after its end", () => {
        assert(
            property(array(message, { maxLength: 40 }), messages => {
                const registry = new Registry(silentLog);
                const newest = new Map<string, number>();
                const endedRuns = new Map<string, number>();
                for (const { name, born, sequence, kind, address } of messages) {
                    const start = born + 1;
                    if (kind === "leave") {
                        registry.leave(name, BigInt(start));
                        endedRuns.set(name, Math.max(endedRuns.get(name) ?? 0, start));
                    }
                    else {
                        const state = kind === "ready" ? UpstreamState.READY : UpstreamState.DRAINING;
                        registry.announce(announcementOfRun(name, start, sequence, { state, address }));
                    }
                    for (const { upstream } of registry.all()) {
                        const known = Number(upstream.born);
                        expect(known >= (newest.get(upstream.name) ?? 0)).toEqual(true);
                        expect(known > (endedRuns.get(upstream.name) ?? 0)).toEqual(true);
                        newest.set(upstream.name, known);
                    }
                    const held = registry.all().map(({ upstream }) => upstream.name);
                    expect(new Set(held).size).toEqual(held.length);
                    const addresses = registry.all().map(({ upstream }) => upstream.address);
                    expect(new Set(addresses).size).toEqual(addresses.length);
                }
            }),
            { seed: 5, numRuns: 500 },
        );
    });

    it("never exclude the live run once it announces itself from its own address", () => {
        assert(
            property(array(message, { maxLength: 30 }), messages => {
                const registry = new Registry(silentLog);
                const addresses = new Map(names.map((name, index) => [name, `10.0.0.1:${index + 1}`]));
                for (const { name, born, sequence, kind } of messages) {
                    if (kind === "leave") {
                        registry.leave(name, BigInt(born + 1));
                    }
                    else {
                        registry.announce(
                            announcementOfRun(name, born + 1, sequence, { address: addresses.get(name)! }),
                        );
                    }
                }
                for (const name of names) {
                    registry.announce(announcementOfRun(name, 9, 0, { address: addresses.get(name)! }));
                }
                expect(idsOf(registry)).toEqual(["a@9", "b@9"]);
            }),
            { seed: 6, numRuns: 500 },
        );
    });
});

describe("an announcement for a service that is not configured", () => {
    it("replaces no upstream, and is applied once the service is configured", () => {
        const services = new Set(["s"]);
        const registry = new Registry(silentLog, service => services.has(service));
        registry.announce(announcementOfRun("u", 100, 5));
        registry.announce(announcementOfRun("u", 200, 1, { service: "other" }));
        registry.announce(
            announcementOfRun("x", 200, 1, { service: "other", address: `10.0.0.1:${"u".charCodeAt(0)}` }),
        );
        registry.announce(announcementOfRun("y", 200, 1, { service: "other" }));
        expect(idsOf(registry)).toEqual(["u@100"]);
        services.add("other");
        registry.admitPending();
        expect(idsOf(registry).includes("y@200")).toEqual(true);
    });
});
