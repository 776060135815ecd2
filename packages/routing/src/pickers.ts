/** Load-balancing policies. */
import { type LoadTracker } from "./loadtrackers.js";
import { type RoutedReplica } from "./replicas.js";

/** Request properties that affect the choice of a replica. */
export interface PickContext {
    /** Digest of the prompt prefix; requests with the same prefix benefit from the same replica's cache. */
    readonly prefix: string | undefined;
}

export interface Picker {
    /** Picks one of the candidates, which must not be empty. */
    pick(candidates: readonly RoutedReplica[], context: PickContext): RoutedReplica;
}

/** Baseline for benchmarks. */
export class RoundRobinPicker implements Picker {
    private next = 0;

    public pick(candidates: readonly RoutedReplica[]): RoutedReplica {
        this.next += 1;
        return candidates[this.next % candidates.length];
    }
}

/** A prefix keeps its replica up to this multiple of the average utilization. */
const affinityLoadFactor = 1.25;
/** Added to that bound, so that small differences in utilization do not override cache affinity. */
const affinityTolerance = 0.15;

/**
 * Prefers a prefix's replica by rendezvous hashing, with bounded load; otherwise
 * picks the less loaded of two random candidates.
 */
export class LoadAwarePicker implements Picker {
    public constructor(private readonly loads: LoadTracker, private readonly random: () => number = Math.random) {}

    public pick(candidates: readonly RoutedReplica[], context: PickContext): RoutedReplica {
        if (candidates.length === 1) {
            return candidates[0];
        }
        const preferred = context.prefix === undefined ? undefined : rendezvousChoice(context.prefix, candidates);
        if (
            preferred !== undefined
            && this.utilization(preferred)
                <= this.averageUtilization(candidates) * affinityLoadFactor + affinityTolerance
        ) {
            return preferred;
        }
        const [first, second] = this.randomPair(candidates);
        return this.utilization(second) < this.utilization(first) ? second : first;
    }

    /** Estimated requests at a replica relative to its capacity. */
    private utilization(replica: RoutedReplica): number {
        return this.loads.estimate(replica) / replica.capacity;
    }

    private averageUtilization(candidates: readonly RoutedReplica[]): number {
        return candidates.reduce((sum, candidate) => sum + this.utilization(candidate), 0) / candidates.length;
    }

    private randomPair(candidates: readonly RoutedReplica[]): [RoutedReplica, RoutedReplica] {
        const first = Math.floor(this.random() * candidates.length);
        const step = 1 + Math.floor(this.random() * (candidates.length - 1));
        return [candidates[first], candidates[(first + step) % candidates.length]];
    }
}

/** Rendezvous hashing: only few prefixes move when candidates change. */
function rendezvousChoice(prefix: string, candidates: readonly RoutedReplica[]): RoutedReplica {
    const score = (candidate: RoutedReplica) => hash(`${prefix}/${candidate.upstream}`);
    return candidates.reduce((best, candidate) => score(candidate) > score(best) ? candidate : best);
}

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a with a finalizer. */
function hash(text: string): number {
    let value = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), fnvPrime);
    }
    value = Math.imul(value ^ (value >>> 16), 0x45d9f3b);
    return (value ^ (value >>> 16)) >>> 0;
}
