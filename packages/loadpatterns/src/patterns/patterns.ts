/** Definition of a load pattern, and its execution on a simulated fleet. */
import { type AdvertisedLimit } from "../engines.js";
import { type FleetShape, SimulatedFleet } from "../fleets.js";
import { type LoadGenerator, OutcomeCounts } from "../loadgenerators.js";
import { type Mechanism, mechanisms } from "../mechanisms.js";
import { SimulatedClock } from "../simulatedclocks.js";

export interface LoadPattern {
    readonly name: string;
    readonly shape: FleetShape;
    /** How long load is generated after the warm-up, in milliseconds. */
    readonly durationMs: number;
    /** Initial requests per second of each model. If given, the initial placement follows them; otherwise it is round-robin. */
    readonly initialRates?: (seed: number) => readonly number[];
    /** Starts to generate load, with random choices derived from `seed`. */
    startLoad(fleet: SimulatedFleet, outcomes: OutcomeCounts, seed: number): LoadGenerator;
}

/** Result of one run of a load pattern. */
export interface PatternResult {
    readonly outcomes: OutcomeCounts;
    /** Number of model loads from the weight store. */
    readonly storeLoads: number;
    /** Requests that the busiest engine started, as a multiple of the mean over all engines. */
    readonly busiestRatio: number;
    /** Fraction of the prefilled tokens that belong to shared parts of prompts. */
    readonly sharedPrefillRatio: number;
    /** Limits that engines advertised, with the arrival times of all requests at these engines. */
    readonly advertisedLimits: readonly (AdvertisedLimit & { readonly arrivals: readonly number[]; })[];
}

/** Time for the fleet to start before load is generated, in milliseconds. */
const warmupMs = 1600;
/** Time for outstanding requests to finish after the load has stopped, in milliseconds. */
const drainMs = 5100;

/** Runs a pattern once, with the given mechanisms disabled. */
export async function runPattern(
    pattern: LoadPattern,
    seed: number,
    without: ReadonlySet<Mechanism> = new Set(),
): Promise<PatternResult> {
    const clock = SimulatedClock.install();
    try {
        const features = Object.fromEntries(mechanisms.map(name => [name, !without.has(name)]));
        const fleet = new SimulatedFleet(pattern.shape, seed, features as Record<Mechanism, boolean>);
        const outcomes = new OutcomeCounts();
        if (pattern.initialRates === undefined) {
            fleet.placeRoundRobin();
        }
        else {
            fleet.placeByLoad(pattern.initialRates(seed));
        }
        fleet.start();
        await clock.advance(warmupMs);
        const generator = pattern.startLoad(fleet, outcomes, seed);
        await clock.advance(pattern.durationMs);
        generator.stop();
        await clock.advance(drainMs);
        fleet.stop();
        return collectResult(fleet, outcomes);
    }
    finally {
        clock.restore();
    }
}

function collectResult(fleet: SimulatedFleet, outcomes: OutcomeCounts): PatternResult {
    const started = fleet.engines.map(engine => engine.startedRequests);
    const mean = started.reduce((sum, count) => sum + count, 0) / started.length;
    return {
        outcomes,
        storeLoads: fleet.engines.reduce((sum, engine) => sum + engine.storeLoads, 0),
        sharedPrefillRatio: fleet.engines.reduce((sum, engine) => sum + engine.prefilledSharedTokens, 0)
            / Math.max(1, fleet.engines.reduce((sum, engine) => sum + engine.prefilledTokens, 0)),
        busiestRatio: Math.max(...started) / Math.max(1, mean),
        advertisedLimits: fleet.engines.flatMap(({ advertisedLimit, arrivals }) =>
            advertisedLimit === undefined ? [] : [{ ...advertisedLimit, arrivals }]
        ),
    };
}
