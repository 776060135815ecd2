/** The replicated departures of upstreams: a departure is committed before it is acknowledged, so each later leader knows it. */
import Type, { type Static } from "typebox";
import Value from "typebox/value";
import { type Departure, DepartureSet, type TimedDeparture } from "./departures.js";
import { departureRetentionMs } from "./incarnations.js";

const RecordedDeparture = Type.Object({
    name: Type.String(),
    /** Start of the run in milliseconds since the epoch, by its own clock; 0 if unknown. */
    born: Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
    /** Missing if it is unknown. */
    softwareVersion: Type.Optional(Type.String()),
    hasLeft: Type.Boolean(),
});

export const DepartureCommand = Type.Object({ departures: Type.Array(RecordedDeparture) });
export type DepartureCommand = Static<typeof DepartureCommand>;

const StoredDeparture = Type.Intersect([
    RecordedDeparture,
    /** Time by the leader's clock, in milliseconds since the epoch. */
    Type.Object({ term: Type.Integer(), at: Type.Number() }),
]);
const StoredState = Type.Object({ departures: Type.Array(StoredDeparture) });

interface ApplicationContext {
    readonly term: number;
    /** Leader's clock in milliseconds since the epoch; equal on all replicas. */
    readonly time: number;
}

export function encodeDepartures(departures: readonly Departure[]): DepartureCommand {
    return { departures: departures.map(encodeDeparture) };
}

/** A slice of the replicated state; commands that can't be decoded are ignored. */
export class DepartureState {
    public readonly slice = "departures";
    /** Changes with each addition; not replicated. */
    public revision = 0;
    private readonly departures = new DepartureSet<TimedDeparture>();

    public all(): readonly Departure[] {
        return this.departures.all();
    }

    /** Departures within the retention time, by the wall clock, which the leader's clock was at their commit. */
    public recent(): readonly Departure[] {
        const from = Date.now() - departureRetentionMs;
        return this.departures.all().filter(({ at }) => at >= from);
    }

    /** Whether the departure is committed. */
    public includes(departure: Departure): boolean {
        return this.departures.find(departure) !== undefined;
    }

    public apply(command: unknown, { term, time }: ApplicationContext): object {
        if (!Value.Check(DepartureCommand, command)) {
            return {};
        }
        for (const recorded of command.departures) {
            const departure = { ...decodeDeparture(recorded), term, at: time };
            if (!this.includes(departure)) {
                this.departures.add(departure);
            }
        }
        this.revision += 1;
        return {};
    }

    public snapshot(): unknown {
        return {
            departures: this.departures.all().map(departure => ({
                ...encodeDeparture(departure),
                term: departure.term,
                at: departure.at,
            })),
        };
    }

    public restore(state: unknown): void {
        this.departures.clear();
        const stored = Value.Check(StoredState, state) ? state.departures : [];
        for (const { term, at, ...recorded } of stored) {
            this.departures.add({ ...decodeDeparture(recorded), term, at });
        }
        this.revision += 1;
    }
}

function encodeDeparture({ name, born, softwareVersion, hasLeft }: Departure): Static<typeof RecordedDeparture> {
    const known = softwareVersion === undefined ? {} : { softwareVersion };
    return { name, born: Number(born), ...known, hasLeft };
}

function decodeDeparture({ name, born, softwareVersion, hasLeft }: Static<typeof RecordedDeparture>) {
    return { name, born: BigInt(born), softwareVersion, hasLeft };
}
