import { expect } from "earl";
import { describe, it } from "node:test";
import { announcement, registryWith } from "./standins.js";

describe("Registry", () => {
    describe("an announcement of a crashed process that was held up on its way", () => {
        const at = (id: string, sequence: number) => {
            const told = announcement(id, sequence);
            told.upstream!.address = "10.0.0.1:80";
            return told;
        };

        it("never brings it back once another has taken its address", () => {
            const registry = registryWith(at("old", 5), at("new", 1));
            registry.announce(at("old", 6));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });

        it("takes no address from one that was heard just now, at a leader that never heard of it", () => {
            const registry = registryWith(at("new", 1));
            registry.announce(at("old", 6));
            registry.announce(at("old", 7));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });

        it("is told from one of a process that lives, by the next", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = registryWith(at("old", 5));
            registry.announce(at("new", 4));
            t.mock.timers.tick(1200);
            registry.announce(at("new", 5));
            expect(registry.all().map(({ upstream }) => upstream.id)).toEqual(["new"]);
        });
    });

    describe("an upstream that seems to be down", () => {
        const silentMs = 3000;
        const reports = 2;

        it("is one that enough processes can't reach", () => {
            const registry = registryWith(announcement("u", 1));
            registry.unreachable("u", "e1");
            registry.unreachable("u", "e1");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
            registry.unreachable("u", "e2");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
        });

        it("is one that refused a connection, until it announces itself", () => {
            const registry = registryWith(announcement("u", 1));
            registry.refused("u");
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
            registry.announce(announcement("u", 2));
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });

        it("is one that was silent for too long", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = registryWith(announcement("u", 1));
            t.mock.timers.tick(silentMs + 1);
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(true);
        });

        it("is trusted again once it announces itself", () => {
            const registry = registryWith(announcement("u", 1));
            registry.unreachable("u", "e1");
            registry.unreachable("u", "e2");
            registry.announce(announcement("u", 2));
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });

        it("is trusted again once the reports are old", t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const registry = registryWith(announcement("u", 1));
            registry.unreachable("u", "e1");
            registry.unreachable("u", "e2");
            t.mock.timers.tick(2600);
            expect(registry.isSuspect("u", silentMs, reports)).toEqual(false);
        });
    });
});
