import { type ClientAccount, type Configuration, keyDigest } from "@winchpath/declarations";
import { expect } from "earl";
import { array, assert, nat, property, record } from "fast-check";
import { describe, it } from "node:test";
import { Authenticator, type ConfirmedConfiguration } from "../index.js";

const revokeMs = 5000;

function accounts(...keys: string[]): ClientAccount[] {
    return [{ name: "commune", keyDigests: keys.map(keyDigest), priority: 1 }];
}

function configuration(version: number, keys: readonly string[]): Configuration {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return { version, routes: [], services: [], limits, accounts: accounts(...keys) };
}

describe("Authenticator", () => {
    const now = 1_000_000;
    const setUp = (knowledge: ConfirmedConfiguration, strict = true) =>
        new Authenticator(knowledge, { strict, withinMs: revokeMs });

    it("finds an account by its key, and returns its name and priority", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const auth = setUp({ configuration: configuration(1, ["k1"]), confirmedAt: now });
        const identity = auth.identify(false, "k1");
        expect(identity.kind === "granted" && [identity.grant?.account, identity.grant?.priority]).toEqual([
            "commune",
            1,
        ]);
    });

    it("refuses unknown and missing keys, except on public routes", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const auth = setUp({ configuration: configuration(1, ["k1"]), confirmedAt: now });
        expect(auth.identify(false, "k2")).toEqual({ kind: "denied", why: "unknown-key" });
        expect(auth.identify(false, undefined)).toEqual({ kind: "denied", why: "unknown-key" });
        expect(auth.identify(true, undefined)).toEqual({ kind: "granted", grant: undefined });
        expect(auth.identify(true, "k2")).toEqual({ kind: "granted", grant: undefined });
    });

    it("requires no key if the configuration has no accounts, no matter how old it is", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const without = { ...configuration(1, []), accounts: undefined };
        const auth = setUp({ configuration: without, confirmedAt: Number.NEGATIVE_INFINITY });
        expect(auth.identify(false, undefined)).toEqual({ kind: "granted", grant: undefined });
        expect(auth.isConfirmed).toEqual(true);
    });

    it("accepts no key once the configuration is too old", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const auth = setUp({ configuration: configuration(1, ["k1"]), confirmedAt: now });
        const identity = auth.identify(false, "k1");
        t.mock.timers.tick(4700);
        expect(auth.identify(false, "k1").kind).toEqual("granted");
        t.mock.timers.tick(250);
        expect(auth.identify(false, "k1")).toEqual({ kind: "denied", why: "unconfirmed" });
        expect(identity.kind === "granted" && auth.denial(identity.grant)).toEqual("unconfirmed");
    });

    it("doesn't report a key as unknown that may have been added recently", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const auth = setUp({ configuration: configuration(1, ["k1"]), confirmedAt: now });
        t.mock.timers.tick(2500);
        expect(auth.identify(false, "k9")).toEqual({ kind: "denied", why: "unconfirmed" });
    });

    it("refuses a request whose key was revoked while it waited", t => {
        t.mock.timers.enable({ apis: ["Date"], now });
        const knowledge = { configuration: configuration(1, ["k1"]), confirmedAt: now };
        const auth = setUp(knowledge);
        const identity = auth.identify(false, "k1");
        knowledge.configuration = configuration(2, ["k2"]);
        expect(identity.kind === "granted" && auth.denial(identity.grant)).toEqual("unknown-key");
    });
});

/**
 * Models the protocol: a leader that acknowledges configurations, polls that are answered late or never, and an entry
 * that pauses. Times are in milliseconds.
 */
describe("a revoked key", () => {
    const step = record({
        /** Time since the previous step. */
        afterMs: nat({ max: 1500 }),
        kind: nat({ max: 4 }),
        /** Delay of an answer in transit, and age of the leader's last quorum before that. */
        delayMs: nat({ max: 3000 }),
        waitMs: nat({ max: 1000 }),
    });

    it("is refused within the bound after the acknowledgement under random schedules", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 0 });
        assert(
            property(array(step, { maxLength: 40 }), steps => {
                t.mock.timers.setTime(Date.now() + 100_000);
                const knowledge = { configuration: configuration(1, ["k"]), confirmedAt: Date.now() };
                const auth = new Authenticator(knowledge, { strict: true, withinMs: revokeMs });
                let removedAt: number | undefined;
                let arriving: { at: number; version: number; confirmedAt: number; }[] = [];
                for (const { afterMs, kind, delayMs, waitMs } of steps) {
                    t.mock.timers.setTime(Date.now() + afterMs);
                    const now = Date.now();
                    if (kind === 0) {
                        removedAt ??= now;
                    }
                    else if (kind <= 2) {
                        // Answers a poll sent `waitMs` ago with what was acknowledged when the quorum was last
                        // confirmed.
                        const quorumAgeMs = Math.min(delayMs, 900);
                        const knows = removedAt !== undefined && removedAt <= now - quorumAgeMs;
                        arriving.push({
                            at: now + delayMs,
                            version: knows ? 2 : 1,
                            confirmedAt: (now - waitMs) + waitMs - quorumAgeMs,
                        });
                    }
                    for (const answer of arriving.filter(({ at }) => at <= now)) {
                        knowledge.confirmedAt = Math.max(knowledge.confirmedAt, answer.confirmedAt);
                        if (answer.version > knowledge.configuration.version) {
                            knowledge.configuration = configuration(2, []);
                        }
                    }
                    arriving = arriving.filter(({ at }) => at > now);
                    const runs = auth.identify(false, "k").kind === "granted";
                    expect(!(runs && removedAt !== undefined && now > removedAt + revokeMs)).toEqual(true);
                }
            }),
            { seed: 7, numRuns: 1000 },
        );
    });
});
