import { create } from "@bufbuild/protobuf";
import { AvailabilityBook } from "@winchpath/availability";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    encodeUpstream,
    FleetView,
    Registry,
    ToldLeavers,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "../index.js";
import { announcement } from "./standins.js";

describe("draining upstreams", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    describe("at the leader", () => {
        const stateOf = (registry: Registry, id = "a") => registry.get(id)?.upstream.state;

        it("stay draining whatever they announce, once a response has said so", () => {
            const registry = new Registry(silentLog);
            registry.announce(announcement("a", 1));
            const before = registry.urgentPosition;
            registry.noteLeaving("a", "entry-1");
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
            expect(registry.urgentPosition).toBeGreaterThan(before);
            registry.announce(announcement("a", 2));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("can be marked before their first announcement", () => {
            const registry = new Registry(silentLog);
            registry.noteLeaving("a", "entry-1");
            registry.announce(announcement("a", 1));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("stay draining after they expired, and in a later leadership", () => {
            const registry = new Registry(silentLog);
            registry.announce(announcement("a", 1));
            registry.noteLeaving("a", "entry-1");
            mock.timers.tick(20_000);
            registry.expire();
            registry.announce(announcement("a", 20));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
            registry.clear();
            registry.announce(announcement("a", 21));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("are sent to entries as departed once they deregister, unlike expired upstreams", () => {
            const registry = new Registry(silentLog);
            registry.announce(announcement("a", 1));
            registry.announce(announcement("b", 1));
            registry.leave("a");
            mock.timers.tick(20_000);
            registry.expire();
            const { removed, departed: left } = registry.since(0);
            expect([[...removed].sort(), left]).toEqual([["a", "b"], ["a"]]);
        });
    });

    describe("at an entry", () => {
        function poll(view: FleetView<unknown>, epoch: string, values: { ready?: string[]; left?: string[]; }): void {
            const { ready = [], left = [] } = values;
            view.take(create(PollResponseSchema, {
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
            const availability = new AvailabilityBook();
            const reports = new ToldLeavers(availability);
            expect(reports.hasNews).toEqual(false);
            availability.leaves("a");
            expect([reports.hasNews, reports.toTell("1/x")]).toEqual([true, ["a"]]);
            reports.told(["a"], "1/x");
            expect([reports.hasNews, reports.toTell("1/x"), reports.toTell("2/y")]).toEqual([false, [], ["a"]]);
            mock.timers.tick(61_000);
            expect(reports.toTell("2/y")).toEqual([]);
        });
    });
});
