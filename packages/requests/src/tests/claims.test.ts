import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type ClaimCommand, type ClaimResult, IdempotencyClaims } from "../index.js";

const seed = 20261202;
const windowMs = 100;
const place = { upstream: "u", url: "http://u", incarnation: "i", seenReport: 1 };

function claim(key: string, holder: string, fingerprint = "f"): ClaimCommand {
    return { op: "claim", key, requestId: `r-${holder}`, fingerprint, holder, windowMs, ...place };
}

describe("IdempotencyClaims", () => {
    it("assign a key to the first request and return that claim to duplicates", () => {
        const claims = new IdempotencyClaims();
        expect(claims.apply(claim("k", "a"), { time: 1 }).tag).toEqual("mine");
        const second = claims.apply(claim("k", "b"), { time: 2 });
        expect(second.tag === "held" && second.claim.requestId).toEqual("r-a");
    });

    it("return the same result when a command is applied twice", () => {
        const claims = new IdempotencyClaims();
        const first = claims.apply(claim("k", "a"), { time: 1 });
        expect(claims.apply(claim("k", "a"), { time: 2 })).toEqual(first);
        const reassign: ClaimCommand = { op: "reassign", key: "k", fromAttempt: 1, holder: "b.2", ...place };
        const passed = claims.apply(reassign, { time: 3 });
        expect(passed.tag === "mine" && passed.claim.attempt).toEqual(2);
        expect(claims.apply(reassign, { time: 4 })).toEqual(passed);
    });

    it("assign the next attempt to only one process", () => {
        const claims = new IdempotencyClaims();
        claims.apply(claim("k", "a"), { time: 1 });
        const tags = ["b.2", "c.2"].map(holder =>
            claims.apply({ op: "reassign", key: "k", fromAttempt: 1, holder, ...place }, { time: 2 }).tag
        );
        expect(tags).toEqual(["mine", "held"]);
    });

    it("reject a key for a different request until the claim expires", () => {
        const claims = new IdempotencyClaims();
        claims.apply(claim("k", "a"), { time: 1 });
        expect(claims.apply(claim("k", "b", "other"), { time: windowMs }).tag).toEqual("mismatch");
        expect(claims.apply(claim("k", "b", "other"), { time: windowMs + 1 }).tag).toEqual("mine");
    });

    it("drop the oldest responses above the size limit, but not the record that they ran", () => {
        const claims = new IdempotencyClaims();
        const body = "x".repeat(10 * 1024 * 1024);
        for (const key of ["a", "b", "c", "d"]) {
            claims.apply(claim(key, "h"), { time: 1 });
            claims.apply({ op: "answer", key, attempt: 1, answer: { status: 200, headers: [], body } }, { time: 2 });
        }
        const restored = new IdempotencyClaims();
        restored.restore(structuredClone(claims.snapshot()));
        const kept = ["a", "b", "c", "d"].map(
            key => [restored.find(key)?.ran, restored.find(key)?.answer !== undefined],
        );
        expect(kept).toEqual([[true, false], [true, true], [true, true], [true, true]]);
        claims.apply(claim("e", "h"), { time: 3 });
        const late: ClaimCommand = { op: "reassign", key: "a", fromAttempt: 1, holder: "x.2", ...place };
        expect(claims.apply(late, { time: 4 }).tag).toEqual("held");
    });

    it(`match a reference model under random commands (seed ${seed})`, () => {
        const command = fc.record({
            op: fc.constantFrom("claim" as const, "reassign" as const, "release" as const),
            key: fc.constantFrom("k", "l"),
            holder: fc.constantFrom("a", "b", "c"),
            attempt: fc.integer({ min: 1, max: 3 }),
            wait: fc.integer({ min: 0, max: 40 }),
        });
        fc.assert(
            fc.property(fc.array(command, { maxLength: 40 }), commands => {
                const claims = new IdempotencyClaims();
                const reference = new Map<string, { holder: string; attempt: number; until: number; }>();
                let time = 0;
                for (const { op, key, holder, attempt, wait } of commands) {
                    time += wait;
                    [...reference].filter(([, held]) => held.until <= time).forEach(([expired]) =>
                        reference.delete(expired)
                    );
                    const held = reference.get(key);
                    let expected: ClaimResult["tag"] = "free";
                    if (op === "claim") {
                        expected = held === undefined || held.holder === holder ? "mine" : "held";
                        reference.set(key, held ?? { holder, attempt: 1, until: time + windowMs });
                        expect(claims.apply(claim(key, holder), { time }).tag).toEqual(expected);
                    }
                    else if (op === "reassign") {
                        if (held !== undefined) {
                            const turn = held.attempt === attempt;
                            expected = turn || held.holder === holder ? "mine" : "held";
                            reference.set(key, turn ? { ...held, holder, attempt: attempt + 1 } : held);
                        }
                        const result = claims.apply({ op, key, fromAttempt: attempt, holder, ...place }, { time });
                        expect(result.tag).toEqual(expected);
                    }
                    else {
                        const released = held?.attempt === attempt;
                        expected = held === undefined || released ? "free" : "held";
                        if (released) {
                            reference.delete(key);
                        }
                        expect(claims.apply({ op, key, attempt }, { time }).tag).toEqual(expected);
                    }
                }
            }),
            { seed, numRuns: 500 },
        );
    });
});
