/** The scenarios and policies that are compared. */
import {
    EvenRateShares,
    GrantedPermits,
    HashedSenders,
    PhasedRateShares,
    type RatePolicy,
    type RatePolicyContext,
    SingleCoordinator,
} from "./policies.js";
import { type RateFault, type RateScenario } from "./ratesimulations.js";

const entryCounts = [2, 8, 31, 300];
const ratesPerSecond = [0, 0.3, 1, 5, 50];
const demandFactors = [0.2, 2, 20];
const faults: readonly RateFault[] = ["calm", "lost", "cut"];

export const rateScenarios: readonly RateScenario[] = entryCounts.flatMap(entries =>
    ratesPerSecond.flatMap(perSecond =>
        demandFactors.flatMap(demandFactor =>
            [false, true].flatMap(isSingleEntry =>
                faults.map(fault => ({ entries, perSecond, demandFactor, isSingleEntry, fault }))
            )
        )
    )
);

/** Policies to enforce a rate limit, by name. */
export const ratePolicies: Readonly<Record<string, (context: RatePolicyContext) => RatePolicy>> = {
    "even shares": context => new EvenRateShares(context),
    "even shares, phases by chance": context => new PhasedRateShares(context),
    "few senders": context => new HashedSenders(context),
    "one gate": context => new SingleCoordinator(context),
    "permits of the leader": context => new GrantedPermits(context),
};
