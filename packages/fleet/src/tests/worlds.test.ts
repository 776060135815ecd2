/** Every way that a small world can go, up to a number of choices: an engine's room is kept in all of them. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { type FirstCheck } from "./roomengines.js";
import { type Choice, World } from "./worlds.js";

/** Choices after a leader's first order; more are searched by hand. */
const depth = Number(process.env.WORLD_DEPTH ?? 6);

interface Found {
    readonly states: number;
    /** The shortest way to an engine over its room, or to an order ahead of its number. */
    readonly fault: readonly string[] | undefined;
}

interface Branch {
    readonly choices: readonly Choice[];
    readonly told: readonly string[];
}

/** Looks at the shortest ways first. */
async function search(firstCheck: FirstCheck): Promise<Found> {
    const seen = new Set<string>();
    let branches: Branch[] = [{ choices: [], told: [] }];
    for (let length = 0; length <= depth; length++) {
        const next: Branch[] = [];
        for (const branch of branches) {
            const world = await World.play(firstCheck, branch.choices);
            if (world.engine.crashedBy !== undefined || world.engine.ahead.length > 0) {
                await world.end();
                return { states: seen.size, fault: branch.told };
            }
            const { state } = world;
            if (!seen.has(state)) {
                seen.add(state);
                next.push(
                    ...world.choices().map(choice => ({
                        choices: [...branch.choices, choice],
                        told: [...branch.told, world.describe(choice)],
                    })),
                );
            }
            await world.end();
        }
        branches = next;
    }
    return { states: seen.size, fault: undefined };
}

describe("a leader, the next one, and what is on its way to an engine", () => {
    for (const firstCheck of ["number", "content"] as const) {
        it(`never take it over its room within ${depth} choices (${firstCheck} looked at first)`, async t => {
            const { states, fault } = await search(firstCheck);
            t.diagnostic(`${states} states`);
            expect(fault).toEqual(undefined);
        });
    }
});
