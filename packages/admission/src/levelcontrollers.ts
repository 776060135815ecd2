/** The leader's admission limits, from the counts of all entries. */
import { targetLimit } from "./admissiontargets.js";
import { type ServiceLevelCounts } from "./levelcounters.js";
import { LevelRates } from "./levelrates.js";
import { type AdmissionLimit, openLimit, SteadyLevel } from "./steadylevels.js";

/** One report of an entry. */
export interface LevelReport {
    readonly entry: string;
    /** Identifies the process; its sequence restarts with each process of the same name. */
    readonly process: bigint;
    /** Increases with each report of the process. */
    readonly sequence: bigint;
    readonly counts: readonly ServiceLevelCounts[];
}

/** The limit of one service, and what it sustains. */
export interface ServiceLimit {
    readonly service: string;
    readonly limit: AdmissionLimit;
    /** Requests per second that upstreams accept from all entries. */
    readonly capacity: number;
}

interface Sender {
    readonly process: bigint;
    readonly sequence: bigint;
    /** The process before this one, whose late reports are ignored. */
    readonly before: bigint | undefined;
    readonly at: number;
}

interface ServiceState {
    readonly rates: LevelRates;
    readonly steady: SteadyLevel;
    changedAt: number;
}

/** Limits are not evaluated more often, in milliseconds. */
const minEvaluationIntervalMs = 100;
/** State of services and senders without reports for this long is discarded, in milliseconds. */
const expiryMs = 60_000;
/** Maximum number of services and senders; further ones are ignored, which bounds the memory that reports can occupy. */
const maxServices = 200;
const maxSenders = 2000;

export class LevelController {
    private readonly services = new Map<string, ServiceState>();
    private readonly senders = new Map<string, Sender>();
    private evaluatedAt = Number.NEGATIVE_INFINITY;
    private evaluated: readonly ServiceLimit[] = [];

    /**
     * Adds a report; returns false if it is a late or duplicated copy. Counts of an entry that falls silent lose their
     * weight with the rates' time constant. `now`: monotonic time in milliseconds.
     */
    public record({ entry, process, sequence, counts }: LevelReport, now: number): boolean {
        const last = this.senders.get(entry);
        const isRestarted = last !== undefined && process !== last.process;
        const isLate = isRestarted ? process === last.before : last !== undefined && sequence <= last.sequence;
        if (isLate || (last === undefined && this.senders.size >= maxSenders)) {
            return false;
        }
        this.senders.set(entry, { process, sequence, before: isRestarted ? last.process : last?.before, at: now });
        for (const service of new Set(counts.map(({ service }) => service))) {
            this.stateOf(service, now)?.rates.add(counts.filter(count => count.service === service), now);
        }
        return true;
    }

    /** Returns the limits of the services whose capacity is short. */
    public limits(now: number): readonly ServiceLimit[] {
        if (now - this.evaluatedAt >= minEvaluationIntervalMs) {
            this.evaluatedAt = now;
            this.removeExpired(now);
            this.evaluated = [...this.services].map(([service, state]) => evaluate(service, state, now))
                .filter(({ limit }) => limit < openLimit);
        }
        return this.evaluated;
    }

    private stateOf(service: string, now: number): ServiceState | undefined {
        let state = this.services.get(service);
        if (state === undefined && this.services.size < maxServices) {
            state = { rates: new LevelRates(), steady: new SteadyLevel(), changedAt: now };
            this.services.set(service, state);
        }
        if (state !== undefined) {
            state.changedAt = now;
        }
        return state;
    }

    private removeExpired(now: number): void {
        for (const [name, { changedAt }] of this.services) {
            if (now - changedAt > expiryMs) {
                this.services.delete(name);
            }
        }
        for (const [name, { at }] of this.senders) {
            if (now - at > expiryMs) {
                this.senders.delete(name);
            }
        }
    }
}

function evaluate(service: string, { rates, steady }: ServiceState, now: number): ServiceLimit {
    const all = rates.rates(now);
    return {
        service,
        limit: steady.update(targetLimit(all, steady.current), now, all.map(({ level }) => level)),
        capacity: all.reduce((sum, { sent, declined }) => sum + Math.max(0, sent - declined), 0),
    };
}
