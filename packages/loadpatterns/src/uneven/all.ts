/** The scenarios and policies that are compared. */
import { reportHalfLifeMs } from "@winchpath/routing";
import { OutstandingPolicy, PacePolicy, QueuePolicy, ReportsOnlyPolicy } from "./policies.js";
import { type UnevenPolicy, type UnevenScenario } from "./unevensimulations.js";

const base = { upstreams: 4, slots: 6, workMs: 21, objectiveMs: 150, durationMs: 12_000 };

/** Each upstream in turn is five times as slow for 400 ms. */
export function inTurn(entries: number, utilization: number): UnevenScenario {
    const slowMs = 400;
    return {
        ...base,
        name: `in turn, ${entries} entries, ${utilization}`,
        entries,
        utilization,
        change(upstreams, atMs) {
            const slow = Math.floor(atMs / slowMs) % upstreams.length;
            upstreams.forEach((upstream, index) => upstream.pace = index === slow ? 5 : 1);
        },
    };
}

/** Each upstream changes its pace four times per second, independently, and is three to six times as slow at a sixth of the time. */
export function independent(entries: number, utilization: number): UnevenScenario {
    const changesPerMs = 4 / 1000;
    return {
        ...base,
        name: `independent, ${entries} entries, ${utilization}`,
        entries,
        utilization,
        change(upstreams, _atMs, random) {
            for (const upstream of upstreams) {
                if (random.uniform() < changesPerMs) {
                    upstream.pace = random.uniform() < 1 / 6 ? 3 + 3 * random.uniform() : 0.8 + 0.4 * random.uniform();
                }
            }
        },
    };
}

/** One upstream is three times as slow all the time. */
export function lasting(entries: number, utilization: number): UnevenScenario {
    return {
        ...base,
        name: `lasting, ${entries} entries, ${utilization}`,
        entries,
        utilization,
        change(upstreams) {
            upstreams[0].pace = 3;
        },
    };
}

function withViewAge(scenario: UnevenScenario, viewAgeMs: number): UnevenScenario {
    return { ...scenario, name: `${scenario.name}, reports ${viewAgeMs} ms old`, viewAgeMs };
}

/** Loads at which the upstreams that are not slow have capacity for all requests. */
export const unevenScenarios: readonly UnevenScenario[] = [
    ...[3, 31, 300].flatMap(entries => [inTurn, independent, lasting].map(scenario => scenario(entries, 0.5))),
    ...[inTurn, independent, lasting].map(scenario => scenario(3, 0.65)),
    ...[3, 31, 300].flatMap(entries => [200, 1000].map(viewAgeMs => withViewAge(inTurn(entries, 0.5), viewAgeMs))),
];

/** Half-lives of a reported pace to compare, in milliseconds. */
const halfLivesMs = [25, 100, 200, 500, 1000, 2500];

export const unevenPolicies: Readonly<Record<string, UnevenPolicy>> = {
    "outstanding requests": new OutstandingPolicy(),
    "learned pace": new PacePolicy(0),
    ...Object.fromEntries(halfLivesMs.map(ms => [`reported pace, ${ms} ms`, new PacePolicy(ms)])),
    "reported pace, two choices": new PacePolicy(reportHalfLifeMs, "two"),
    "reported pace, without ages": new ReportsOnlyPolicy(reportHalfLifeMs),
    "reported pace, free slots": new QueuePolicy(reportHalfLifeMs),
};
