import { create } from "@bufbuild/protobuf";
import { AvailabilityTracker } from "@winchpath/availability";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    DrainReports,
    encodeUpstream,
    FleetView,
    Registry,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

describe("draining upstreams", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    describe("at the leader", () => {
        const stateOf = (registry: Registry, id = "a") => registry.get(id)?.upstream.state;

        it("stay draining whatever they announce, once a response has said so", () => {
            const registry = new Registry(silentLog);
            registry.announce(createAnnouncement("a", 1));
            const before = registry.urgentPosition;
            registry.markDraining("a", "entry-1");
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
            expect(registry.urgentPosition).toBeGreaterThan(before);
            registry.announce(createAnnouncement("a", 2));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("can be marked before their first announcement", () => {
            const registry = new Registry(silentLog);
            registry.markDraining("a", "entry-1");
            registry.announce(createAnnouncement("a", 1));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("stay draining after they expired, and in a later leadership", () => {
            const registry = new Registry(silentLog);
            registry.announce(createAnnouncement("a", 1));
            registry.markDraining("a", "entry-1");
            mock.timers.tick(20_000);
            registry.removeExpired();
            registry.announce(createAnnouncement("a", 20));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
            registry.clear({ term: 2, departures: [] });
            registry.announce(createAnnouncement("a", 21));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("are sent to entries as departed once they deregister, unlike expired upstreams", () => {
            const registry = new Registry(silentLog);
            registry.announce(createAnnouncement("a", 1));
            registry.announce(createAnnouncement("b", 1));
            registry.leave("a");
            mock.timers.tick(20_000);
            registry.removeExpired();
            const { removed, departed: left } = registry.changesSince(0);
            expect([[...removed].sort(), left]).toEqual([["a", "b"], ["a"]]);
        });
    });

    describe("at an entry", () => {
        function poll(view: FleetView<unknown>, epoch: string, values: { ready?: string[]; left?: string[]; }): void {
            const { ready = [], left = [] } = values;
            view.apply(create(PollResponseSchema, {
                epoch,
                complete: true,
                changed: ready.map(id => encodeUpstream(upstreamOf(id))),
                removed: left,
                left,
            }));
        }

        function upstreamOf(id: string): Upstream {
            const state = UpstreamState.READY;
            return create(UpstreamSchema, { id, name: id, address: `h:${id}`, service: "s", slots: 8, state });
        }

        it("stay draining under a new leader that doesn't know about it", () => {
            const view = new FleetView(() => undefined, silentLog);
            poll(view, "2/a", { ready: ["a", "b"] });
            poll(view, "2/a", { left: ["a"] });
            poll(view, "3/b", { ready: ["a", "b"] });
            const states = ["a", "b"].map(id => view.get(id)?.state);
            expect(states).toEqual([UpstreamState.DRAINING, UpstreamState.READY]);
        });

        it("are reported once to each leadership, for a minute", () => {
            const availability = new AvailabilityTracker();
            const reports = new DrainReports(availability);
            expect(reports.hasUnreported).toEqual(false);
            availability.markDraining("a");
            expect([reports.hasUnreported, reports.unreportedTo("1/x")]).toEqual([true, ["a"]]);
            reports.markReported(["a"], "1/x");
            expect([reports.hasUnreported, reports.unreportedTo("1/x"), reports.unreportedTo("2/y")]).toEqual([
                false,
                [],
                ["a"],
            ]);
            mock.timers.tick(61_000);
            expect(reports.unreportedTo("2/y")).toEqual([]);
        });
    });
});
