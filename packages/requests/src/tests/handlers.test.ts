import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type ClaimCommand, Claims, RequestFailure } from "../index.js";
import { ask, FakeAgents, type Faults, handlerFor, jobFor, wholeText } from "./fakes.js";

const seed = 20261202;

const faultLists: fc.Arbitrary<Faults> = fc.record({
    cuts: fc.array(fc.integer({ min: -1, max: 15 }), { maxLength: 6 }),
    breaks: fc.array(fc.integer({ min: 0, max: 15 }), { maxLength: 3 }),
    restarts: fc.array(fc.boolean(), { maxLength: 4 }),
});

function outcomeOf(failure: unknown): string {
    return failure instanceof RequestFailure ? failure.outcome : "answered";
}

describe("RequestHandler", () => {
    describe(`under random cuts, broken answers and restarts (seed ${seed})`, () => {
        it("gives a repeatable request's whole answer or a failure, never a part or a mixture", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const { text, failure } = await ask(handlerFor(agents), jobFor(agents, {}));
                    expect(wholeText.startsWith(text)).toEqual(true);
                    expect(failure === undefined && text !== wholeText).toEqual(false);
                    if (outcomeOf(failure) === "not-run") {
                        expect(agents.upstream.runs.size).toEqual(0);
                    }
                }),
                { seed, numRuns: 300 },
            );
        });

        it("never goes on with another run's text, where each run gives another answer", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents({ ...structuredClone(faults), varied: true }, ["a", "b"]);
                    const { text } = await ask(handlerFor(agents), jobFor(agents, {}));
                    const runs = new Set(text.match(/run \d+/g) ?? []);
                    expect(runs.size <= 1).toEqual(true);
                }),
                { seed, numRuns: 300 },
            );
        });

        it("runs a non-idempotent request at most once, and tells its outcome truly", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const { text, failure } = await ask(handlerFor(agents), jobFor(agents, { repeatable: false }));
                    const runs = agents.upstream.runs.get("r") ?? 0;
                    expect(runs <= 1).toEqual(true);
                    expect(failure === undefined && text !== wholeText).toEqual(false);
                    expect(outcomeOf(failure) === "not-run" && runs > 0).toEqual(false);
                }),
                { seed, numRuns: 300 },
            );
        });

        it("runs copies under one key at most once, through several entries at once", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, fc.integer({ min: 2, max: 4 }), async (faults, copies) => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const claims = new Claims();
                    const answers = await Promise.all(
                        Array.from({ length: copies }, (_, copy) =>
                            ask(
                                handlerFor(agents, claims),
                                jobFor(agents, {
                                    requestId: `r${copy}`,
                                    repeatable: false,
                                    idempotencyKey: "k",
                                }),
                            )),
                    );
                    const runs = agents.upstream.runs.get("r") ?? 0;
                    expect(runs <= 1).toEqual(true);
                    for (const { text, failure } of answers) {
                        expect(failure === undefined && text !== wholeText).toEqual(false);
                        expect(outcomeOf(failure) === "ran" && runs === 0).toEqual(false);
                    }
                    // A copy that was told not-run was another submission of it: it may have run for one that came later.
                    const allNotRun = answers.every(({ failure }) => outcomeOf(failure) === "not-run");
                    expect(allNotRun && runs > 0).toEqual(false);
                }),
                { seed, numRuns: 300 },
            );
        });
    });

    describe("a copy under a key, after the agent has forgotten the answer", () => {
        /** A log that has lost the answer, as it does with one that is too large. */
        class AnswerlessClaims extends Claims {
            public override apply(command: ClaimCommand, context: { time: number; }) {
                return super.apply(command.op === "answer" ? { ...command, answer: undefined } : command, context);
            }
        }

        it("is told that it ran, and is not run again", async t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const agents = new FakeAgents({ cuts: [], breaks: [], restarts: [] }, ["a"]);
            const claims = new AnswerlessClaims();
            const askAgain = (requestId: string) =>
                ask(handlerFor(agents, claims), jobFor(agents, { requestId, repeatable: false, idempotencyKey: "k" }));
            expect((await askAgain("r0")).failure).toEqual(undefined);
            t.mock.timers.tick(3600_000);
            // Another request makes the agent look for what it may forget.
            const other = { requestId: "other", bodyFor: () => Buffer.from("other") };
            await ask(handlerFor(agents), jobFor(agents, other));
            expect(outcomeOf((await askAgain("r1")).failure)).toEqual("ran");
            expect(agents.upstream.runs.get("r")).toEqual(1);
        });
    });

    describe("an answer that broke off, and begins otherwise at the next replica", () => {
        it("is not continued with the other's text", async () => {
            const agents = new FakeAgents({ cuts: [], breaks: [3], restarts: [], varied: true }, ["a", "b"]);
            const { text, failure } = await ask(handlerFor(agents), jobFor(agents, {}));
            expect(outcomeOf(failure)).toEqual("unknown");
            expect(text.includes("run 1") && !text.includes("run 2")).toEqual(true);
        });
    });

    describe("a stream whose upstream ends it without the end mark", () => {
        it("is not passed off as whole", async () => {
            const agents = new FakeAgents({ cuts: [], breaks: [4, 4, 4, 4, 4, 4, 4, 4], restarts: [] }, ["a", "b"]);
            const { failure } = await ask(handlerFor(agents), jobFor(agents, {}));
            expect(outcomeOf(failure)).toEqual("unknown");
        });
    });
});
