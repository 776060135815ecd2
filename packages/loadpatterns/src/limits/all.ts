/** The moments that are played, and the ways that are compared. */
import { type AccountLimit } from "@winchpath/declarations";
import { EvenShares, Granted, type LimitPolicy } from "./policies.js";
import { type LimitScenario, tolerance, usualLimit } from "./scenarios.js";

const lowered: AccountLimit = { ...usualLimit, perSecond: 20_000, burst: 20_000 };
const sizes = [3, 31, 300];

function all(entries: number): number[] {
    return Array.from({ length: entries }, (_, index) => index);
}

/** One account at many times its usual, through two entries. */
function loud(entries: number): LimitScenario {
    return {
        name: `loud, two of ${entries} entries`,
        entries,
        seconds: 12,
        limit: usualLimit,
        demandAt: second => usualLimit.perSecond * (second > 2 && second < 9 ? 2.5 : 0.33),
        usedAt: () => [0, 1],
    };
}

/** An account near its limit, with bursts, through all entries. */
function near(entries: number): LimitScenario {
    return {
        name: `near its limit, ${entries} entries`,
        entries,
        seconds: 12,
        limit: usualLimit,
        demandAt: second => usualLimit.perSecond * (second % 3 < 0.5 ? 1.8 : 0.72),
        usedAt: () => all(entries),
    };
}

/** Far from the limit, through a few entries that change. */
function usual(entries: number): LimitScenario {
    return {
        name: `a third of its limit, ${entries} entries`,
        entries,
        seconds: 12,
        limit: usualLimit,
        demandAt: () => usualLimit.perSecond * 0.33,
        usedAt: second => [0, 1, 2].map(number => (Math.floor(second / 4) + number) % entries),
    };
}

/** A limit that is lowered to a third of what is sent. */
function low(entries: number): LimitScenario {
    return {
        name: `lowered, ${entries} entries`,
        entries,
        seconds: 20,
        limit: usualLimit,
        demandAt: () => lowered.perSecond * 3,
        usedAt: () => all(entries),
        events: [{ at: 2, act: policy => policy.follow(lowered) }],
        limitAt: second => second < 2 ? usualLimit : lowered,
    };
}

/** The leader is lost for three seconds while an account is loud. */
function leaderless(entries: number): LimitScenario {
    return {
        ...loud(entries),
        name: `loud, leader lost for 3 s, ${entries} entries`,
        usedAt: () => all(Math.min(entries, 4)),
        events: [
            { at: 3, act: policy => policy.loseLeader() },
            { at: 6, act: policy => policy.beginLeader() },
        ],
    };
}

/** The leader is lost for a second just as an account begins to send many times its limit. */
function handedOver(entries: number): LimitScenario {
    return {
        name: `very loud, another leader after 1 s, ${entries} entries`,
        entries,
        seconds: 14,
        limit: usualLimit,
        demandAt: second => usualLimit.perSecond * (second > 2.9 && second < 12 ? 3.5 : 0.55),
        usedAt: () => all(Math.min(entries, 31)),
        events: [
            { at: 2.95, act: policy => policy.loseLeader() },
            { at: 4.15, act: policy => policy.beginLeader() },
        ],
    };
}

export const limitScenarios: readonly LimitScenario[] = sizes.flatMap(entries =>
    [usual, near, loud, low, leaderless, handedOver].map(scenario => scenario(entries))
);

/** Held to grants however full the bucket is: every request needs one. */
const always = { enforceBelow: 2, releaseAbove: 2 };

/** The ways to keep a limit, by name. */
export const limitPolicies: Readonly<Record<string, (scenario: LimitScenario) => LimitPolicy>> = {
    "even shares": ({ entries, limit }) => new EvenShares(entries, limit),
    "grants for all": ({ entries, limit }) => new Granted(entries, limit, tolerance, always),
    "grants near the limit": ({ entries, limit }) => new Granted(entries, limit, tolerance),
};
