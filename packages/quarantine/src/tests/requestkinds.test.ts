/**
 * Simulates periods in which a share of one kind of request crashes its upstream and is retried, so that dozens of
 * crashing requests exist at once. Each must be barred after few crashes, and no harmless request of the kind may be.
 */
import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { occasionsToBar } from "../index.js";
import { Fleet, seededRandom } from "./simulatedfleets.js";

const steps = 400;
const stepMs = 100;
/** Requests of the kind per step. */
const perStep = 2;
/** Number of times a crashing request is sent. */
const attempts = 8;
/** Steps until a retry: with callers that respect the retry delay, and with ones that don't. */
const minRetrySteps = 3;
const maxRetrySteps = 15;

/** Frequent harmless requests, each sent about once per second. */
const prompts = ["asked each second", "and another"];
const promptShare = 0.1;

interface FaultyPeriod {
    readonly from: number;
    readonly to: number;
    readonly share: number;
}

/** Two periods in which a few percent of the requests crash their upstream. */
function createFaultyPeriods(random: () => number): FaultyPeriod[] {
    return [0, 1].map(half => {
        const from = (half + random() * 0.5) * (steps / 2);
        return { from, to: from + 50 + random() * 50, share: 0.01 + random() * 0.04 };
    });
}

function simulate(seed: number): Fleet {
    const random = seededRandom(seed);
    const periods = createFaultyPeriods(random);
    const crashing = new Set<string>();
    const due = new Map<number, string[]>();
    const fleet = new Fleet(random, crashing);
    for (let step = 1; step <= steps; step++) {
        fleet.step(step * stepMs);
        for (let number = 0; number < perStep; number++) {
            const request = `${step}-${number}`;
            const period = periods.find(({ from, to }) => from <= step && step < to);
            if (period !== undefined && random() < period.share) {
                crashing.add(request);
                scheduleRetries(due, request, step, random);
            }
            fleet.send(request);
        }
        due.get(step)?.forEach(request => fleet.send(request));
        prompts.filter(() => random() < promptShare).forEach(request => fleet.send(request));
    }
    return fleet;
}

function scheduleRetries(due: Map<number, string[]>, request: string, step: number, random: () => number): void {
    let at = step;
    for (let time = 1; time < attempts; time++) {
        at += minRetrySteps + Math.floor(random() * (maxRetrySteps - minRetrySteps));
        due.set(at, [...due.get(at) ?? [], request]);
    }
}

describe("a kind of request of which a share crashes upstreams", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 0 }));
    afterEach(() => mock.timers.reset());

    it("has no harmless one refused, and few crashes by each crashing one", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 2 ** 31 }), seed => {
                const fleet = simulate(seed);
                const harmless = [...fleet.refused.keys()].filter(request => !fleet.crashes.has(request));
                expect(harmless).toEqual([]);
                // Crashing requests that run together take one or two more crashes to tell apart.
                expect(Math.max(0, ...fleet.crashes.values())).toBeLessThanOrEqual(occasionsToBar + 3);
            }),
            { numRuns: 100, seed: 41 },
        );
    });
});
