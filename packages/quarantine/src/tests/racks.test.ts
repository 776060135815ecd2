/**
 * A rack of upstreams goes dark three times within 3 to 18 s, while answers take three seconds and more to begin: no
 * request has come to a good end before, and prompts that are asked again and again are there each time. None of the
 * requests is guilty.
 */
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { drawsOf, Fleet, upstreams } from "./fleets.js";

const stepMs = 100;
const lastMs = 20_000;
const rack = Array.from({ length: upstreams / 2 }, (_, at) => at);
const darkTimes = 3;
const firstDarkMs = 3000;
const lastDarkMs = 18_000;
/** Upstreams of a rack end within this time of each other, in milliseconds: each reports by itself. */
const spreadMs = 40;
const innocents = 100_000;
/** A prompt that is asked so often comes about once a second. */
const eachSecond = 0.1;

interface Pattern {
    /** How long requests run, in milliseconds. */
    readonly shortestMs: number;
    readonly longestMs: number;
    /** Prompts that are asked again and again, and the share of the steps in which each is. */
    readonly prompts: number;
    readonly asked: number;
}

interface Played {
    readonly sent: number;
    readonly refused: number;
}

function play(seed: number, { shortestMs, longestMs, prompts, asked }: Pattern): Played {
    const draw = drawsOf(seed);
    const fleet = new Fleet(draw, new Set(), shortestMs, longestMs);
    const darkAt = new Set(
        Array.from({ length: darkTimes }, () => {
            const at = firstDarkMs + draw() * (lastDarkMs - firstDarkMs);
            return Math.round(at / stepMs) * stepMs;
        }),
    );
    let sent = 0;
    const send = (request: string) => {
        sent += 1;
        fleet.send(request);
    };
    for (let now = stepMs; now <= lastMs; now += stepMs) {
        fleet.step(now);
        Array.from({ length: prompts }, (_, index) => `prompt ${index}`).filter(() => draw() < asked).forEach(send);
        [`once ${now}`, `thrice ${now}`, `thrice ${now - 1000}`, `thrice ${now - 2000}`].forEach(send);
        if (darkAt.has(now)) {
            rack.forEach(at => fleet.crash(at, Math.round(draw() * spreadMs)));
        }
    }
    return { sent, refused: [...fleet.refused.values()].reduce((sum, count) => sum + count, 0) };
}

/** Of so many innocent requests, how many were refused. */
function refusedOf(pattern: Pattern): number {
    let sent = 0;
    let refused = 0;
    for (let seed = 1; sent < innocents; seed++) {
        const played = play(seed, pattern);
        sent += played.sent;
        refused += played.refused;
    }
    return refused;
}

describe("bystanders of a rack that goes dark three times", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 0 }));
    afterEach(() => mock.timers.reset());

    const patterns: readonly (readonly [string, Pattern])[] = [
        ["one prompt is asked each second", { shortestMs: 3000, longestMs: 12_000, prompts: 1, asked: eachSecond }],
        ["two are, and answers take longer", { shortestMs: 5000, longestMs: 30_000, prompts: 2, asked: eachSecond }],
        ["five are asked each five seconds", {
            shortestMs: 5000,
            longestMs: 30_000,
            prompts: 5,
            asked: eachSecond / 5,
        }],
        ["one is asked each 200 ms", { shortestMs: 5000, longestMs: 30_000, prompts: 1, asked: eachSecond * 5 }],
        ["five are, and nothing ends in time", {
            shortestMs: 20_000,
            longestMs: 40_000,
            prompts: 5,
            asked: eachSecond * 5,
        }],
        ["one is, and nothing ends in time", {
            shortestMs: 20_000,
            longestMs: 40_000,
            prompts: 1,
            asked: eachSecond * 5,
        }],
    ];
    for (const [what, pattern] of patterns) {
        it(`are never refused, of 100,000, where ${what}`, () => {
            expect(refusedOf(pattern)).toEqual(0);
        });
    }
});
