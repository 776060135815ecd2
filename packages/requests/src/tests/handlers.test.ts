import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type ClaimCommand, IdempotencyClaims, RequestFailure } from "../index.js";
import {
    ask,
    createHandler,
    createJob,
    createQuarantine,
    createRetryBudget,
    FakeAgents,
    type Faults,
    responseText,
} from "./fakes.js";

const seed = 20261202;

const faultLists: fc.Arbitrary<Faults> = fc.record({
    disconnects: fc.array(fc.integer({ min: -1, max: 15 }), { maxLength: 6 }),
    truncations: fc.array(fc.integer({ min: 0, max: 15 }), { maxLength: 3 }),
    restarts: fc.array(fc.boolean(), { maxLength: 4 }),
});

function outcomeOf(failure: unknown): string {
    return failure instanceof RequestFailure ? failure.outcome : "answered";
}

describe("RequestHandler", () => {
    // Guards against retries by a right that another entry may have by now, and against a claim that stays held for nothing.
    it("does not send a retry whose right has expired while it waited, and releases its claim", async () => {
        for (const idempotencyKey of [undefined, "k"]) {
            const agents = new FakeAgents({ disconnects: [-1], truncations: [], restarts: [] }, ["a", "b"]);
            const claims = new IdempotencyClaims();
            const commands: ClaimCommand[] = [];
            const apply = claims.apply.bind(claims);
            claims.apply = (command, meta) => {
                commands.push(command as ClaimCommand);
                return apply(command, meta);
            };
            const budget = createRetryBudget();
            budget.maySend = () => {
                budget.applyGrant(0, Number.NEGATIVE_INFINITY);
                return false;
            };
            const job = createJob(agents, { repeatable: idempotencyKey === undefined, idempotencyKey });
            const { failure } = await ask(createHandler(agents, claims, createQuarantine(), budget), job);
            expect([(failure as RequestFailure).code, outcomeOf(failure)]).toEqual(["overloaded", "not-run"]);
            expect(agents.upstream.runs.size).toEqual(0);
            expect(commands.at(-1)?.op).toEqual(idempotencyKey === undefined ? undefined : "release");
            const duplicate = await ask(createHandler(agents, claims), { ...job, requestId: "r2" });
            expect([duplicate.text, duplicate.failure]).toEqual([responseText, undefined]);
        }
    });

    describe(`under random disconnects, truncated responses and restarts (seed ${seed})`, () => {
        it("returns the complete response to a repeatable request or fails, without truncating or mixing responses", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const { text, failure } = await ask(createHandler(agents), createJob(agents, {}));
                    expect(responseText.startsWith(text)).toEqual(true);
                    expect(failure === undefined && text !== responseText).toEqual(false);
                    if (outcomeOf(failure) === "not-run") {
                        expect(agents.upstream.runs.size).toEqual(0);
                    }
                }),
                { seed, numRuns: 300 },
            );
        });

        it("never continues with another run's text when responses differ", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents({ ...structuredClone(faults), varied: true }, ["a", "b"]);
                    const { text } = await ask(createHandler(agents), createJob(agents, {}));
                    const runs = new Set(text.match(/run \d+/g) ?? []);
                    expect(runs.size <= 1).toEqual(true);
                }),
                { seed, numRuns: 300 },
            );
        });

        it("runs a non-idempotent request at most once and reports its outcome correctly", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, async faults => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const { text, failure } = await ask(
                        createHandler(agents),
                        createJob(agents, { repeatable: false }),
                    );
                    const runs = agents.upstream.runs.get("r") ?? 0;
                    expect(runs <= 1).toEqual(true);
                    expect(failure === undefined && text !== responseText).toEqual(false);
                    expect(outcomeOf(failure) === "not-run" && runs > 0).toEqual(false);
                }),
                { seed, numRuns: 300 },
            );
        });

        it("runs concurrent duplicates with the same key at most once across entries", async () => {
            await fc.assert(
                fc.asyncProperty(faultLists, fc.integer({ min: 2, max: 4 }), async (faults, duplicates) => {
                    const agents = new FakeAgents(structuredClone(faults), ["a", "b"]);
                    const claims = new IdempotencyClaims();
                    const answers = await Promise.all(
                        Array.from({ length: duplicates }, (_, duplicate) =>
                            ask(
                                createHandler(agents, claims),
                                createJob(agents, {
                                    requestId: `r${duplicate}`,
                                    repeatable: false,
                                    idempotencyKey: "k",
                                }),
                            )),
                    );
                    const runs = agents.upstream.runs.get("r") ?? 0;
                    expect(runs <= 1).toEqual(true);
                    for (const { text, failure } of answers) {
                        expect(failure === undefined && text !== responseText).toEqual(false);
                        expect(outcomeOf(failure) === "ran" && runs === 0).toEqual(false);
                    }
                    // A duplicate that ended as not-run may still have been run for a later duplicate.
                    const allNotRun = answers.every(({ failure }) => outcomeOf(failure) === "not-run");
                    expect(allNotRun && runs > 0).toEqual(false);
                }),
                { seed, numRuns: 300 },
            );
        });
    });

    describe("a duplicate request after the agent has dropped the response", () => {
        /** Claims that store no responses, as for responses that are too large. */
        class AnswerlessClaims extends IdempotencyClaims {
            public override apply(command: ClaimCommand, context: { time: number; }) {
                return super.apply(command.op === "answer" ? { ...command, answer: undefined } : command, context);
            }
        }

        it("fails with the outcome ran and is not run again", async t => {
            t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
            const agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [] }, ["a"]);
            const claims = new AnswerlessClaims();
            const askAgain = (requestId: string) =>
                ask(
                    createHandler(agents, claims),
                    createJob(agents, { requestId, repeatable: false, idempotencyKey: "k" }),
                );
            expect((await askAgain("r0")).failure).toEqual(undefined);
            t.mock.timers.tick(3600_000);
            // Another request triggers the agent's cleanup.
            const other = { requestId: "other", bodyFor: () => Buffer.from("other") };
            await ask(createHandler(agents), createJob(agents, other));
            expect(outcomeOf((await askAgain("r1")).failure)).toEqual("ran");
            expect(agents.upstream.runs.get("r")).toEqual(1);
        });
    });

    describe("a truncated response that differs at the next replica", () => {
        it("is not continued with text from the other replica", async () => {
            const agents = new FakeAgents({ disconnects: [], truncations: [3], restarts: [], varied: true }, [
                "a",
                "b",
            ]);
            const { text, failure } = await ask(createHandler(agents), createJob(agents, {}));
            expect(outcomeOf(failure)).toEqual("unknown");
            expect(text.includes("run 1") && !text.includes("run 2")).toEqual(true);
        });
    });

    describe("a stream that ends without the end marker", () => {
        it("is not reported as complete", async () => {
            const agents = new FakeAgents({ disconnects: [], truncations: [4, 4, 4, 4, 4, 4, 4, 4], restarts: [] }, [
                "a",
                "b",
            ]);
            const { failure } = await ask(createHandler(agents), createJob(agents, {}));
            expect(outcomeOf(failure)).toEqual("unknown");
        });
    });
});
