/** The events of one process, in a bounded ring, under a logical clock. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, silentLog } from "@winchpath/core";
import { type Event, EventSchema } from "./gen/winchpath/timeline/v1/timeline_pb.js";

/** Events a process keeps; older ones are dropped and counted. */
const defaultCapacity = 4000;

/** Which process the events belong to. */
export interface ProcessIdentity {
    /** Role and host, "agent/booking-1" for one. */
    readonly process: string;
    readonly host: string;
    readonly dataCentre: string;
}

/** What is told of an event besides its kind; absent fields do not apply. */
export interface EventFields {
    readonly requestId?: string;
    readonly resource?: string;
    readonly revision?: number;
    readonly detail?: string;
}

/** Which events are asked for; an absent field matches all. */
export interface EventFilter {
    readonly requestId?: string;
    readonly resource?: string;
    readonly host?: string;
    readonly limit?: number;
}

/**
 * Keeps the newest events. The clock is a Lamport clock: every message between
 * processes carries it, so that an effect never sorts before its cause.
 */
export class Timeline {
    private readonly events: Event[] = [];
    private clock = 0n;
    private sequence = 0n;
    private droppedCount = 0n;

    public constructor(
        private readonly identity: ProcessIdentity,
        private readonly capacity: number = defaultCapacity,
        /** Where every event is told as well. */
        private readonly log: EventLog = silentLog,
    ) {}

    /** Number of events that were dropped from the ring. */
    public get dropped(): bigint {
        return this.droppedCount;
    }

    /** Adds an event. */
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

    /** Moves the clock on, for a message that is sent. */
    public tick(): bigint {
        this.clock += 1n;
        return this.clock;
    }

    /** Takes in the clock of a message that was received. */
    public observe(clock: bigint): void {
        if (clock > this.clock) {
            this.clock = clock;
        }
    }

    /** The kept events that match, oldest first. */
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

/** Merges the events of several processes in causal order; ties by process, then by order within it. */
export function mergeEvents(lists: readonly (readonly Event[])[]): Event[] {
    return lists.flat().sort((a, b) =>
        compare(a.clock, b.clock) || compare(a.process, b.process) || compare(a.sequence, b.sequence)
    );
}

function compare<T extends bigint | string>(a: T, b: T): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
