/** The choice among ready replicas. */
import { type LoadBook } from "./loads.js";
import { type RoutedReplica } from "./replicas.js";

/** What is known of the request when its replica is chosen. */
export interface PickContext {
    /** Digest of the prompt's beginning; requests with the same one profit from one cache. */
    readonly prefix: string | undefined;
}

export interface Picker {
    /** One of the candidates, of which there is at least one. */
    pick(candidates: readonly RoutedReplica[], context: PickContext): RoutedReplica;
}

/** The one to compare with: each in turn. */
export class RoundRobinPicker implements Picker {
    private next = 0;

    public pick(candidates: readonly RoutedReplica[]): RoutedReplica {
        this.next += 1;
        return candidates[this.next % candidates.length];
    }
}

/** Load above the average, as a factor, up to which a prefix keeps its replica. */
const affinityBound = 1.25;
/** Difference in use that is worth less than a cached prefix. */
const affinitySlack = 0.15;

/**
 * The less loaded of two random candidates; but a prefix goes to its own replica
 * (by rendezvous hashing) as long as that one is not much more loaded than the rest.
 */
export class LoadAwarePicker implements Picker {
    public constructor(private readonly loads: LoadBook, private readonly random: () => number = Math.random) {}

    public pick(candidates: readonly RoutedReplica[], context: PickContext): RoutedReplica {
        if (candidates.length === 1) {
            return candidates[0];
        }
        const preferred = context.prefix === undefined ? undefined : preferredOf(context.prefix, candidates);
        if (
            preferred !== undefined
            && this.use(preferred) <= this.averageUse(candidates) * affinityBound + affinitySlack
        ) {
            return preferred;
        }
        const [first, second] = this.twoOf(candidates);
        return this.use(second) < this.use(first) ? second : first;
    }

    /** Requests there and on the way, in shares of its capacity. */
    private use(replica: RoutedReplica): number {
        return this.loads.estimate(replica) / replica.capacity;
    }

    private averageUse(candidates: readonly RoutedReplica[]): number {
        return candidates.reduce((sum, candidate) => sum + this.use(candidate), 0) / candidates.length;
    }

    private twoOf(candidates: readonly RoutedReplica[]): [RoutedReplica, RoutedReplica] {
        const first = Math.floor(this.random() * candidates.length);
        const step = 1 + Math.floor(this.random() * (candidates.length - 1));
        return [candidates[first], candidates[(first + step) % candidates.length]];
    }
}

/** The candidate with the highest hash of prefix and name: few prefixes move when candidates come and go. */
function preferredOf(prefix: string, candidates: readonly RoutedReplica[]): RoutedReplica {
    const score = (candidate: RoutedReplica) => hash(`${prefix}/${candidate.upstream}`);
    return candidates.reduce((best, candidate) => score(candidate) > score(best) ? candidate : best);
}

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a with a final mix, 32 bits. */
function hash(text: string): number {
    let value = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), fnvPrime);
    }
    value = Math.imul(value ^ (value >>> 16), 0x45d9f3b);
    return (value ^ (value >>> 16)) >>> 0;
}
