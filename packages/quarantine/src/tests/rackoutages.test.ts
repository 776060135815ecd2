/**
 * Simulates three outages of a rack while requests run so long that none has succeeded before, and frequent prompts are
 * present at every outage. Guards against barring requests for crashes with an external cause.
 */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { Fleet, seededRandom, upstreamCount } from "./simulatedfleets.js";

const stepMs = 100;
const durationMs = 20_000;
const rack = Array.from({ length: upstreamCount / 2 }, (_, at) => at);
const outages = 3;
const minOutageMs = 3000;
const maxOutageMs = 18_000;
/** Time over which the upstreams of a rack crash in an outage, in milliseconds. */
const spreadMs = 40;
const minRequests = 100_000;
/** Share of steps in which a prompt is sent that comes about once per second. */
const oncePerSecond = 0.1;

interface Pattern {
    /** Duration of requests in milliseconds. */
    readonly shortestMs: number;
    readonly longestMs: number;
    /** Number of frequent prompts, and the share of steps in which each is sent. */
    readonly prompts: number;
    readonly asked: number;
}

interface SimulationResult {
    readonly sent: number;
    readonly refused: number;
}

function simulate(seed: number, { shortestMs, longestMs, prompts, asked }: Pattern): SimulationResult {
    const random = seededRandom(seed);
    const fleet = new Fleet(random, new Set(), shortestMs, longestMs);
    const outageAt = new Set(
        Array.from({ length: outages }, () => {
            const at = minOutageMs + random() * (maxOutageMs - minOutageMs);
            return Math.round(at / stepMs) * stepMs;
        }),
    );
    let sent = 0;
    const send = (request: string) => {
        sent += 1;
        fleet.send(request);
    };
    for (let now = stepMs; now <= durationMs; now += stepMs) {
        fleet.step(now);
        Array.from({ length: prompts }, (_, index) => `prompt ${index}`).filter(() => random() < asked).forEach(send);
        [`once ${now}`, `thrice ${now}`, `thrice ${now - 1000}`, `thrice ${now - 2000}`].forEach(send);
        if (outageAt.has(now)) {
            rack.forEach(at => fleet.crash(at, Math.round(random() * spreadMs)));
        }
    }
    return { sent, refused: [...fleet.refused.values()].reduce((sum, count) => sum + count, 0) };
}

/** Number of harmless requests that were refused. */
function countRefused(pattern: Pattern): number {
    let sent = 0;
    let refused = 0;
    for (let seed = 1; sent < minRequests; seed++) {
        const result = simulate(seed, pattern);
        sent += result.sent;
        refused += result.refused;
    }
    return refused;
}

describe("harmless requests during three outages of a rack", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 0 }));
    afterEach(() => mock.timers.reset());

    const patterns: readonly (readonly [string, Pattern])[] = [
        ["one prompt is asked each second", { shortestMs: 3000, longestMs: 12_000, prompts: 1, asked: oncePerSecond }],
        ["two are, and answers take longer", { shortestMs: 5000, longestMs: 30_000, prompts: 2, asked: oncePerSecond }],
        ["five are asked each five seconds", {
            shortestMs: 5000,
            longestMs: 30_000,
            prompts: 5,
            asked: oncePerSecond / 5,
        }],
        ["one is asked each 200 ms", { shortestMs: 5000, longestMs: 30_000, prompts: 1, asked: oncePerSecond * 5 }],
        ["five are, and nothing ends in time", {
            shortestMs: 20_000,
            longestMs: 40_000,
            prompts: 5,
            asked: oncePerSecond * 5,
        }],
        ["one is, and nothing ends in time", {
            shortestMs: 20_000,
            longestMs: 40_000,
            prompts: 1,
            asked: oncePerSecond * 5,
        }],
    ];
    for (const [what, pattern] of patterns) {
        it(`are never refused, of 100,000, where ${what}`, () => {
            expect(countRefused(pattern)).toEqual(0);
        });
    }
});
