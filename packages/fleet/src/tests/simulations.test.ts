/** Breadth-first search of all event sequences up to a bounded length: no engine is ever ordered over its capacity. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { type FirstCheck } from "./simulatedengines.js";
import { type Action, Simulation } from "./simulations.js";

/** Number of actions after the first leader's first order. */
const depth = Number(process.env.WORLD_DEPTH ?? 6);

interface SearchResult {
    readonly states: number;
    /** Shortest sequence of actions that overloads the engine or sends an order with too high an expected count. */
    readonly violation: readonly string[] | undefined;
}

interface Path {
    readonly actions: readonly Action[];
    readonly descriptions: readonly string[];
}

/** Breadth-first, so that the first violation found is a shortest one. */
async function search(firstCheck: FirstCheck): Promise<SearchResult> {
    const seen = new Set<string>();
    let paths: Path[] = [{ actions: [], descriptions: [] }];
    for (let length = 0; length <= depth; length++) {
        const next: Path[] = [];
        for (const path of paths) {
            const simulation = await Simulation.play(firstCheck, path.actions);
            if (simulation.engine.crashedBy !== undefined || simulation.engine.ordersAhead.length > 0) {
                await simulation.end();
                return { states: seen.size, violation: path.descriptions };
            }
            const { state } = simulation;
            if (!seen.has(state)) {
                seen.add(state);
                next.push(
                    ...simulation.availableActions().map(action => ({
                        actions: [...path.actions, action],
                        descriptions: [...path.descriptions, simulation.describe(action)],
                    })),
                );
            }
            await simulation.end();
        }
        paths = next;
    }
    return { states: seen.size, violation: undefined };
}

describe("two overlapping leaders with orders in flight", () => {
    for (const firstCheck of ["number", "content"] as const) {
        it(`never overload an engine within ${depth} actions (engine checks the ${firstCheck} first)`, async t => {
            const { states, violation } = await search(firstCheck);
            t.diagnostic(`${states} states`);
            expect(violation).toEqual(undefined);
        });
    }
});
