/**
 * Departures of upstreams: runs that drain or have deregistered, and get no further requests. They are recorded whether
 * the leader knows the upstream or not, since entries may know it from an earlier leader.
 */
import { departureRetentionMs, type Incarnation, type NamedStart } from "./incarnations.js";

/** Departures beyond this number are forgotten, the oldest first; a rolling exchange of a large fleet brings hundreds. */
export const maxDepartures = 2048;
/** Departures that are kept for one name: runs of one start time differ by their software versions only. */
const maxDeparturesPerName = 8;

export interface Departure extends NamedStart {
    /** Version of the software of the departed run; undefined if it is unknown, which stands for all versions. */
    readonly softwareVersion: string | undefined;
    /** Whether it has deregistered, or drains only. */
    readonly hasLeft: boolean;
    /** Term of the leadership in which it was recorded. */
    readonly term: number;
}

/** A departure and the time at which it was recorded, in milliseconds by the clock of the set's owner. */
export interface TimedDeparture extends Departure {
    readonly at: number;
}

/** Whether a departure names a run only as the current one of its name. */
export function isOfUnknownStart({ born, softwareVersion }: Departure): boolean {
    return born === 0n && softwareVersion === undefined;
}

/** Whether a run has departed. The departure of a run implies that all earlier runs of its name have ended. */
export function covers(departure: Departure, { born, softwareVersion }: Incarnation): boolean {
    return born < departure.born
        || (born === departure.born
            && (departure.softwareVersion === undefined || departure.softwareVersion === softwareVersion));
}

/** Whether `known` says all that `next` would add. */
function includes(known: Departure, next: Departure): boolean {
    if (next.hasLeft && !known.hasLeft) {
        return false;
    }
    if (isOfUnknownStart(next)) {
        // Another run may have begun and departed in a later leadership.
        return isOfUnknownStart(known) && known.term >= next.term;
    }
    return next.softwareVersion === undefined
        ? next.born < known.born || (next.born === known.born && known.softwareVersion === undefined)
        : covers(known, { ...next, softwareVersion: next.softwareVersion });
}

/** A bounded set of departures by name. */
export class DepartureSet<T extends TimedDeparture> {
    private readonly byName = new Map<string, readonly T[]>();

    public all(): T[] {
        return [...this.byName.values()].flat();
    }

    /** Returns the departure that says already what this one says. */
    public find(departure: Departure): T | undefined {
        return this.of(departure).find(known => includes(known, departure));
    }

    /** Adds a departure, and removes those that it includes and the expired ones. */
    public add(departure: T): void {
        const others = this.of(departure).filter(known => !includes(departure, known));
        this.byName.delete(departure.name);
        this.byName.set(departure.name, [...others.slice(1 - maxDeparturesPerName), departure]);
        this.removeExpired(departure.at);
    }

    public covers(incarnation: Incarnation): boolean {
        return this.of(incarnation).some(departure => covers(departure, incarnation));
    }

    /** Whether the run has deregistered. */
    public hasLeft(incarnation: Incarnation): boolean {
        return this.of(incarnation).some(departure => departure.hasLeft && covers(departure, incarnation));
    }

    /** Whether a run of the name with an unknown start has deregistered, which may be this one. */
    public mayHaveLeft(incarnation: Incarnation): boolean {
        return this.of(incarnation).some(departure => departure.hasLeft && isOfUnknownStart(departure));
    }

    public clear(): void {
        this.byName.clear();
    }

    /** Removes what is older than the retention time at `now`, and what is beyond the bound. */
    public removeExpired(now: number): void {
        // Names are in the order of their latest departure.
        for (const [name, departures] of this.byName) {
            const latest = departures[departures.length - 1];
            if (this.byName.size <= maxDepartures && now - latest.at <= departureRetentionMs) {
                return;
            }
            this.byName.delete(name);
        }
    }

    private of({ name }: NamedStart): readonly T[] {
        return this.byName.get(name) ?? [];
    }
}
