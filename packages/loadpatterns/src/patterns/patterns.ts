/** What a load pattern is, and how it is played. */
import { type Callers, Tally } from "../callers.js";
import { type NamedRate } from "../engines.js";
import { type FleetShape, SimulatedFleet } from "../fleets.js";
import { type Mechanism, mechanisms } from "../mechanisms.js";
import { SimulatedTime } from "../times.js";

export interface Pattern {
    readonly name: string;
    readonly shape: FleetShape;
    /** How long it is played once the fleet is up, in milliseconds. */
    readonly forMs: number;
    /** Requests a second for each model as the day begins, where models are placed by them. */
    readonly firstRates?: (seed: number) => readonly number[];
    /** Begins the load; `seed` decides what is drawn. */
    play(fleet: SimulatedFleet, tally: Tally, seed: number): Callers;
}

/** What came of one play. */
export interface PlayResult {
    readonly tally: Tally;
    /** Loads from the weight store. */
    readonly storeLoads: number;
    /** Requests that the busiest engine began, as a multiple of the mean. */
    readonly busiest: number;
    /** Engines that have named a rate, with the times at which requests reached them. */
    readonly limited: readonly (NamedRate & { readonly arrivals: readonly number[]; })[];
}

/** The fleet is up, and demand may be heard, after this long: the leader plans nothing before. */
const settleMs = 1600;
/** Requests that were asked at the end of a play are served to their end, in milliseconds. */
const drainMs = 5100;

/** Plays a pattern once, without the mechanisms that are named. */
export async function playPattern(
    pattern: Pattern,
    seed: number,
    without: ReadonlySet<Mechanism> = new Set(),
): Promise<PlayResult> {
    const time = SimulatedTime.start();
    try {
        const parts = Object.fromEntries(mechanisms.map(name => [name, !without.has(name)]));
        const fleet = new SimulatedFleet(pattern.shape, seed, parts as Record<Mechanism, boolean>);
        const tally = new Tally();
        if (pattern.firstRates === undefined) {
            fleet.place();
        }
        else {
            fleet.placeByLoad(pattern.firstRates(seed));
        }
        fleet.start();
        await time.advance(settleMs);
        const callers = pattern.play(fleet, tally, seed);
        await time.advance(pattern.forMs);
        callers.end();
        await time.advance(drainMs);
        fleet.end();
        return resultOf(fleet, tally);
    }
    finally {
        time.end();
    }
}

function resultOf(fleet: SimulatedFleet, tally: Tally): PlayResult {
    const begun = fleet.engines.map(engine => engine.begun);
    const mean = begun.reduce((sum, count) => sum + count, 0) / begun.length;
    return {
        tally,
        storeLoads: fleet.engines.reduce((sum, engine) => sum + engine.storeLoads, 0),
        busiest: Math.max(...begun) / Math.max(1, mean),
        limited: fleet.engines.flatMap(({ named, arrivals }) => named === undefined ? [] : [{ ...named, arrivals }]),
    };
}
