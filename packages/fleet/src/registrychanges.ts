/** What the registry of a leader tells, and what it starts with. */
import { type Departure, type TimedDeparture } from "./departures.js";
import { type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** The changes after a position. */
export interface RegistryChanges {
    readonly position: number;
    readonly changed: readonly Upstream[];
    readonly removed: readonly string[];
    /** The subset of `removed` that was draining or had deregistered. */
    readonly departed: readonly string[];
    readonly departures: readonly Departure[];
    /** Whether `changed` contains every upstream. */
    readonly isSnapshot: boolean;
}

/** A departure, with its position in the registry. */
export interface RecordedDeparture extends TimedDeparture {
    readonly position: number;
}

/** What a departure has changed, and the position that entries must reach to have seen it. */
export interface DepartureResult {
    readonly departure: Departure;
    readonly position: number;
}

/** What a new leader knows from the replicated state. */
export interface InheritedState {
    /** Term of the new leadership. */
    readonly term: number;
    readonly departures: readonly Departure[];
}
