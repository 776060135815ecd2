import { expect } from "earl";
import { describe, it } from "node:test";
import { announcement, registryWith } from "./standins.js";

describe("Registry", () => {
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
