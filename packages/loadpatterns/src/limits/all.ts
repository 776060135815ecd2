/** The scenarios and policies that are compared. */
import { type AccountLimit } from "@winchpath/declarations";
import { EvenShares, GrantedLimits, type LimitPolicy } from "./policies.js";
import { defaultLimit, type LimitScenario, tolerance } from "./scenarios.js";

const loweredLimit: AccountLimit = { ...defaultLimit, perSecond: 20_000, burst: 20_000 };
const entryCounts = [3, 31, 300];

function allEntries(entries: number): number[] {
    return Array.from({ length: entries }, (_, index) => index);
}

/** An account exceeds its limit for some seconds, through two entries. */
function overLimit(entries: number): LimitScenario {
    return {
        name: `loud, two of ${entries} entries`,
        entries,
        seconds: 12,
        limit: defaultLimit,
        demandAt: second => defaultLimit.perSecond * (second > 2 && second < 9 ? 2.5 : 0.33),
        entriesAt: () => [0, 1],
    };
}

/** An account stays near its limit, with bursts above it, through all entries. */
function nearLimit(entries: number): LimitScenario {
    return {
        name: `near its limit, ${entries} entries`,
        entries,
        seconds: 12,
        limit: defaultLimit,
        demandAt: second => defaultLimit.perSecond * (second % 3 < 0.5 ? 1.8 : 0.72),
        entriesAt: () => allEntries(entries),
    };
}

/** An account stays far below its limit, through a few entries that change over time. */
function farBelowLimit(entries: number): LimitScenario {
    return {
        name: `a third of its limit, ${entries} entries`,
        entries,
        seconds: 12,
        limit: defaultLimit,
        demandAt: () => defaultLimit.perSecond * 0.33,
        entriesAt: second => [0, 1, 2].map(number => (Math.floor(second / 4) + number) % entries),
    };
}

/** The limit is lowered to a third of the demand. */
function limitLowered(entries: number): LimitScenario {
    return {
        name: `lowered, ${entries} entries`,
        entries,
        seconds: 20,
        limit: defaultLimit,
        demandAt: () => loweredLimit.perSecond * 3,
        entriesAt: () => allEntries(entries),
        events: [{ at: 2, apply: policy => policy.applyLimit(loweredLimit) }],
        limitAt: second => second < 2 ? defaultLimit : loweredLimit,
    };
}

/** The leader is unavailable for three seconds while an account exceeds its limit. */
function leaderLost(entries: number): LimitScenario {
    return {
        ...overLimit(entries),
        name: `loud, leader lost for 3 s, ${entries} entries`,
        entriesAt: () => allEntries(Math.min(entries, 4)),
        events: [
            { at: 3, apply: policy => policy.stopLeader() },
            { at: 6, apply: policy => policy.startLeader() },
        ],
    };
}

/** The leader fails just before an account starts to send a multiple of its limit, and another one takes over. */
function leaderReplaced(entries: number): LimitScenario {
    return {
        name: `very loud, another leader after 1 s, ${entries} entries`,
        entries,
        seconds: 14,
        limit: defaultLimit,
        demandAt: second => defaultLimit.perSecond * (second > 2.9 && second < 12 ? 3.5 : 0.55),
        entriesAt: () => allEntries(Math.min(entries, 31)),
        events: [
            { at: 2.95, apply: policy => policy.stopLeader() },
            { at: 4.15, apply: policy => policy.startLeader() },
        ],
    };
}

export const limitScenarios: readonly LimitScenario[] = entryCounts.flatMap(entries =>
    [farBelowLimit, nearLimit, overLimit, limitLowered, leaderLost, leaderReplaced].map(scenario => scenario(entries))
);

/** Thresholds above any bucket level, so that every request needs a grant. */
const always = { enforceBelow: 2, releaseAbove: 2 };

/** Policies to enforce a limit, by name. */
export const limitPolicies: Readonly<Record<string, (scenario: LimitScenario) => LimitPolicy>> = {
    "even shares": ({ entries, limit }) => new EvenShares(entries, limit),
    "grants for all": ({ entries, limit }) => new GrantedLimits(entries, limit, tolerance, always),
    "grants near the limit": ({ entries, limit }) => new GrantedLimits(entries, limit, tolerance),
};
