import { expect } from "earl";
import { describe, it } from "node:test";
import { createAnnouncement, createRegistry } from "./fixtures.js";

describe("Registry", () => {
    describe("a delayed announcement of a crashed process", () => {
        const at = (id: string, sequence: number) => {
            const result = createAnnouncement(id, sequence);
            result.upstream!.address = "10.0.0.1:80";
            return result;
        };

        it("is ignored once another process has taken its address", () => {
            const registry = createRegistry(at("old", 5), at("new", 1));
            registry.announce(at("old", 6));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });

        it("takes no address from a live upstream, at a leader that doesn't know the sender", () => {
            const registry = createRegistry(at("new", 1));
            registry.announce(at("old", 6));
            registry.announce(at("old", 7));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });

        it("is told apart from one of a live process by the next announcement", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = createRegistry(at("old", 5));
            registry.announce(at("new", 4));
            t.mock.timers.tick(1200);
            registry.announce(at("new", 5));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });
    });

    describe("a suspected upstream", () => {
        const silentMs = 3000;
        const reports = 2;

        it("is unreachable for enough processes", () => {
            const registry = createRegistry(createAnnouncement("u", 1));
            registry.reportUnreachable("u", "e1");
            registry.reportUnreachable("u", "e1");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
            registry.reportUnreachable("u", "e2");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
        });

        it("has refused a connection since its last announcement", () => {
            const registry = createRegistry(createAnnouncement("u", 1));
            registry.reportRefused("u");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
            registry.announce(createAnnouncement("u", 2));
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });

        it("has not announced itself for too long", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = createRegistry(createAnnouncement("u", 1));
            t.mock.timers.tick(silentMs + 1);
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
        });

        it("is cleared by an announcement", () => {
            const registry = createRegistry(createAnnouncement("u", 1));
            registry.reportUnreachable("u", "e1");
            registry.reportUnreachable("u", "e2");
            registry.announce(createAnnouncement("u", 2));
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });

        it("is cleared once the reports have expired", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = createRegistry(createAnnouncement("u", 1));
            registry.reportUnreachable("u", "e1");
            registry.reportUnreachable("u", "e2");
            t.mock.timers.tick(2600);
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });
    });
});
