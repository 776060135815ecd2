/** Guards against broken responses that are stored or returned as complete for an idempotency key. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { IdempotencyClaims } from "../index.js";
import { ask, createHandler, createJob, FakeAgents } from "./fakes.js";

describe("an unframed response whose connection was reset", () => {
    for (const duplicates of ["at once", "one after the other"] as const) {
        it(`reaches no duplicate of its idempotency key as complete, duplicates ${duplicates}`, async () => {
            const agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [], resets: [true] }, ["a"]);
            const claims = new IdempotencyClaims();
            const askAs = (requestId: string) =>
                ask(
                    createHandler(agents, claims),
                    createJob(agents, {
                        requestId,
                        repeatable: false,
                        idempotencyKey: "k",
                        requiresEndMarker: () => false,
                    }),
                );
            const answers = duplicates === "at once"
                ? await Promise.all(["r0", "r1", "r2"].map(askAs))
                : [await askAs("r0"), await askAs("r1"), await askAs("r2")];
            expect(answers.filter(({ failure }) => failure === undefined)).toEqual([]);
            expect(agents.upstream.runs.get("r")).toEqual(1);
        });
    }

    it("is retried if the request is repeatable", async () => {
        const agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [], resets: [true] }, ["a", "b"]);
        const { failure } = await ask(createHandler(agents), createJob(agents, { requiresEndMarker: () => false }));
        expect({ failure, runs: agents.upstream.runs.get("r") }).toEqual({ failure: undefined, runs: 2 });
    });
});
