/** The moments that are played, and the ways that are compared. */
import { type RateScenario, type RateTrouble } from "./plays.js";
import {
    EvenRateShares,
    FewSenders,
    GrantedPermits,
    OneGate,
    PhasedRateShares,
    type PolicyParts,
    type RatePolicy,
} from "./policies.js";

const sizes = [2, 8, 31, 300];
const rates = [0, 0.3, 1, 5, 50];
const factors = [0.2, 2, 20];
const troubles: readonly RateTrouble[] = ["calm", "lost", "cut"];

export const rateScenarios: readonly RateScenario[] = sizes.flatMap(entries =>
    rates.flatMap(perSecond =>
        factors.flatMap(factor =>
            [false, true].flatMap(onOne => troubles.map(trouble => ({ entries, perSecond, factor, onOne, trouble })))
        )
    )
);

/** The ways to hold a rate, by name. */
export const ratePolicies: Readonly<Record<string, (parts: PolicyParts) => RatePolicy>> = {
    "even shares": parts => new EvenRateShares(parts),
    "even shares, phases by chance": parts => new PhasedRateShares(parts),
    "few senders": parts => new FewSenders(parts),
    "one gate": parts => new OneGate(parts),
    "permits of the leader": parts => new GrantedPermits(parts),
};
