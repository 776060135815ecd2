/** Bounded buffer of one process's events, ordered by a logical clock. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, silentLog } from "@winchpath/core";
import { type Event, EventSchema } from "./gen/winchpath/timeline/v1/timeline_pb.js";

const defaultCapacity = 4000;

export interface ProcessIdentity {
    /** Role and host, for example "agent/booking-1". */
    readonly process: string;
    readonly host: string;
    readonly dataCentre: string;
}

/** Optional fields of an event. */
export interface EventFields {
    readonly requestId?: string;
    readonly resource?: string;
    readonly revision?: number;
    readonly detail?: string;
}

/** Selects events; an absent field matches all. */
export interface EventFilter {
    readonly requestId?: string;
    readonly resource?: string;
    readonly host?: string;
    readonly limit?: number;
}

/**
 * Keeps the newest events. Messages between processes carry its Lamport clock, so that
 * an effect never sorts before its cause.
 */
export class Timeline {
    private readonly events: Event[] = [];
    private logicalClock = 0n;
    private sequence = 0n;
    private droppedCount = 0n;

    public constructor(
        private readonly identity: ProcessIdentity,
        private readonly capacity: number = defaultCapacity,
        /** Receives every event as well. */
        private readonly log: EventLog = silentLog,
    ) {}

    /** Number of events dropped because the buffer was full. */
    public get dropped(): bigint {
        return this.droppedCount;
    }

    public record(kind: string, fields: EventFields = {}): void {
        this.log.info(kind, { ...fields });
        this.sequence += 1n;
        this.events.push(create(EventSchema, {
            clock: this.tick(),
            time: BigInt(Date.now()),
            ...this.identity,
            kind,
            requestId: fields.requestId,
            resource: fields.resource,
            revision: fields.revision === undefined ? undefined : BigInt(fields.revision),
            detail: fields.detail,
            sequence: this.sequence,
        }));
        if (this.events.length > this.capacity) {
            this.events.shift();
            this.droppedCount += 1n;
        }
    }

    /** Advances the clock for a message to be sent. */
    public tick(): bigint {
        this.logicalClock += 1n;
        return this.logicalClock;
    }

    /** Merges the clock of a received message. */
    public observe(clock: bigint): void {
        if (clock > this.logicalClock) {
            this.logicalClock = clock;
        }
    }

    /** Matching events, oldest first; with a limit, only the newest ones. */
    public list(filter: EventFilter = {}): Event[] {
        const matching = this.events.filter(event => matches(event, filter));
        return filter.limit === undefined ? matching : matching.slice(-filter.limit);
    }
}

function matches(event: Event, filter: EventFilter): boolean {
    return (filter.requestId === undefined || event.requestId === filter.requestId)
        && (filter.resource === undefined || event.resource === filter.resource)
        && (filter.host === undefined || event.host === filter.host);
}

/** Merges the events of several processes in causal order, breaking ties by process and then by sequence. */
export function mergeEvents(lists: readonly (readonly Event[])[]): Event[] {
    return lists.flat().sort((a, b) =>
        compare(a.clock, b.clock) || compare(a.process, b.process) || compare(a.sequence, b.sequence)
    );
}

function compare<T extends bigint | string>(a: T, b: T): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
