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

describe("upstreams that leave", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    describe("at the leader", () => {
        const stateOf = (registry: Registry, id = "a") => registry.get(id)?.upstream.state;

        it("stay so whatever they announce, once an answer has said so", () => {
            const registry = new Registry(silentLog);
            registry.announce(announcement("a", 1));
            const before = registry.urgentPosition;
            registry.noteLeaving("a", "entry-1");
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
            expect(registry.urgentPosition).toBeGreaterThan(before);
            registry.announce(announcement("a", 2));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("are known to leave before they are known", () => {
            const registry = new Registry(silentLog);
            registry.noteLeaving("a", "entry-1");
            registry.announce(announcement("a", 1));
            expect(stateOf(registry)).toEqual(UpstreamState.DRAINING);
        });

        it("stay so after a silence, and under its next leadership", () => {
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

        it("are told as such to entries when they have left, others that are gone aren't", () => {
            const registry = new Registry(silentLog);
            registry.announce(announcement("a", 1));
            registry.announce(announcement("b", 1));
            registry.leave("a");
            mock.timers.tick(20_000);
            registry.expire();
            const { removed, left } = registry.since(0);
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

        it("stay so under a leader that has never heard of it", () => {
            const view = new FleetView(() => undefined, silentLog);
            poll(view, "2/a", { ready: ["a", "b"] });
            poll(view, "2/a", { left: ["a"] });
            poll(view, "3/b", { ready: ["a", "b"] });
            const states = ["a", "b"].map(id => view.get(id)?.state);
            expect(states).toEqual([UpstreamState.DRAINING, UpstreamState.READY]);
        });

        it("are told once to each leadership, for a minute", () => {
            const availability = new AvailabilityBook();
            const told = new ToldLeavers(availability);
            expect(told.hasNews).toEqual(false);
            availability.leaves("a");
            expect([told.hasNews, told.toTell("1/x")]).toEqual([true, ["a"]]);
            told.told(["a"], "1/x");
            expect([told.hasNews, told.toTell("1/x"), told.toTell("2/y")]).toEqual([false, [], ["a"]]);
            mock.timers.tick(61_000);
            expect(told.toTell("2/y")).toEqual([]);
        });
    });
});
