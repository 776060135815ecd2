/**
 * Under which request upstreams end: dozens run at one that ends, and one of them may be the cause. Each that had
 * just begun is suspected; one that is there on three occasions is taken for the cause, and what is explained by it
 * counts against nobody else.
 */
import Type, { type Static } from "typebox";
import { type Suspect } from "./commands.js";

/**
 * Upstreams that may end under one request before it goes to no other by itself: a second try saves the many that
 * ran beside the cause, a third would be made within milliseconds, before any entry could know.
 */
export const mostEndsOfOneRequest = 2;
/** Occasions that make a suspect the cause: fewer happen to a request that is merely repeated while upstreams fail. */
export const occasionsToBar = 3;
/**
 * Two that were there on all the same occasions can't be told apart; from this many on both count as the cause. A
 * fourth or fifth upstream is the price of not refusing a bystander on each doubt.
 */
const occasionsToBarAll = 5;
/**
 * Times of two reports may be off by this much, in milliseconds: a message takes a few, and a busy process some more.
 * A second try is sent within a millisecond of the end before it.
 */
const reportSlackMs = 25;
/**
 * Ends within this time of each other may have one cause outside, such as the power of a rack, in milliseconds: its
 * upstreams end within some ten, and two reports may be off by {@link reportSlackMs} each. Each then counts as one of
 * so many: innocent requests aren't held back because half of the upstreams went dark three times.
 */
const togetherMs = 75;
/** Ends are ordered and summed as fractions; sums may be off by less than this. */
const rounding = 1e-9;
/** Ends that are remembered; the oldest give way. Only upstreams that really end take places here. */
const mostEnds = 256;
/** Requests that are noted at one end: more than run and wait at one upstream. */
const mostSuspects = 512;

/** One incarnation of an upstream that has ended. */
interface End {
    /** Milliseconds since the epoch, by the leader's clock. */
    readonly at: number;
    readonly suspects: Map<string, Presence>;
    /** The request that it is put down to. */
    cause: string | undefined;
}

/** A request at an upstream that ended. */
interface Presence {
    readonly size: number;
    /** Milliseconds since the epoch, by the leader's clock; of several copies, the last one. */
    readonly sentAt: number;
}

/** A request that is suspected, or taken for the cause. */
export interface Cause {
    readonly fingerprint: string;
    readonly size: number;
    readonly occasions: number;
}

/** An end, as it is kept on disk. */
export const StoredEnd = Type.Object({
    upstream: Type.String(),
    at: Type.Number(),
    suspects: Type.Array(Type.Object({ fingerprint: Type.String(), size: Type.Integer(), sentAt: Type.Number() })),
    cause: Type.Optional(Type.String()),
});
export type StoredEnd = Static<typeof StoredEnd>;

/** What is told of an end; times in milliseconds since the epoch. */
export interface ToldEnd {
    readonly upstream: string;
    readonly at: number;
    readonly toldAt: number;
    readonly suspects: readonly Suspect[];
}

/** Requests that are held back now, or were. */
export interface HeldRequests {
    readonly barred: () => string[];
    readonly isBarred: (fingerprint: string) => boolean;
    readonly isOnProbation: (fingerprint: string) => boolean;
}

/** What follows from an end. */
export interface Judgement {
    /** Taken for the cause from now on. */
    readonly causes: readonly Cause[];
    /** Barred before; their ends turn out to share the moment with others. */
    readonly baseless: readonly string[];
}

export class Suspicions {
    /** By the upstream's id, oldest first. */
    private readonly ends = new Map<string, End>();

    /**
     * Notes what ran at an upstream that ended, and judges all anew that this bears on. `held`: requests that are
     * held back, or were; the end is put down to one of them where it can be.
     */
    public note(told: ToldEnd, held: HeldRequests): Judgement {
        const grounded = held.barred().filter(fingerprint =>
            this.weightUnder(fingerprint) >= occasionsToBar - rounding
        );
        const end = this.takeIn(told);
        end.cause ??= [...end.suspects.keys()].find(held.isBarred) ?? [...end.suspects.keys()].find(held.isOnProbation);
        const baseless = this.unbarred(grounded);
        this.dropOldest();
        if (end.cause !== undefined) {
            return { causes: [], baseless };
        }
        const causes = [...end.suspects]
            .filter(([fingerprint]) => this.isCause(fingerprint, end))
            .map(([fingerprint, { size }]) => ({ fingerprint, size, occasions: this.occasions(fingerprint) }));
        causes.forEach(({ fingerprint }) => this.putDownTo(fingerprint));
        return { causes, baseless };
    }

    private takeIn({ upstream, at, toldAt, suspects }: ToldEnd): End {
        const end = this.ends.get(upstream) ?? { at, suspects: new Map<string, Presence>(), cause: undefined };
        this.ends.set(upstream, end);
        for (const { fingerprint, size, sentAgoMs } of suspects.slice(0, mostSuspects - end.suspects.size)) {
            const before = end.suspects.get(fingerprint)?.sentAt ?? Number.NEGATIVE_INFINITY;
            end.suspects.set(fingerprint, { size, sentAt: Math.max(before, toldAt - sentAgoMs) });
        }
        return end;
    }

    /** Those that were barred on grounds that have gone: other upstreams turn out to have ended at the same moments. */
    private unbarred(grounded: readonly string[]): string[] {
        const baseless = grounded.filter(fingerprint => this.weightUnder(fingerprint) < occasionsToBar - rounding);
        baseless.flatMap(fingerprint => this.endsUnder(fingerprint)).forEach(end => end.cause = undefined);
        return baseless;
    }

    /** How much the ends that were put down to a request weigh. */
    private weightUnder(fingerprint: string): number {
        return weigh(fingerprint, this.endsUnder(fingerprint), this.ends.values());
    }

    private endsUnder(fingerprint: string): End[] {
        return [...this.ends.values()].filter(({ cause }) => cause === fingerprint);
    }

    /** Occasions on which upstreams ended under a request, and nothing else is known to be the cause. */
    public occasions(fingerprint: string): number {
        return this.occasionsIn(fingerprint, this.endsOf(fingerprint));
    }

    private occasionsIn(fingerprint: string, ends: readonly End[]): number {
        return Math.floor(weigh(fingerprint, ends, this.ends.values()) + rounding);
    }

    /** All that is suspected, with the occasions. */
    public all(): Cause[] {
        const open = [...this.ends.values()].filter(({ cause }) => cause === undefined);
        const found = new Map<string, { size: number; ends: End[]; }>();
        for (const end of open) {
            for (const [fingerprint, { size }] of end.suspects) {
                const { ends } = found.get(fingerprint) ?? { ends: [] };
                found.set(fingerprint, { size, ends: [...ends, end] });
            }
        }
        return [...found].map(([fingerprint, { size, ends }]) => ({
            fingerprint,
            size,
            occasions: this.occasionsIn(fingerprint, ends),
        }));
    }

    /** A request has come to a good end somewhere: it was no cause. */
    public clear(fingerprint: string): void {
        for (const end of this.ends.values()) {
            end.suspects.delete(fingerprint);
            if (end.cause === fingerprint) {
                end.cause = undefined;
            }
        }
    }

    /** Forgets ends from before a moment. */
    public forgetBefore(at: number): void {
        for (const [upstream, end] of this.ends) {
            if (end.at < at) {
                this.ends.delete(upstream);
            }
        }
    }

    public snapshot(): StoredEnd[] {
        return [...this.ends].map(([upstream, { at, suspects, cause }]) => ({
            upstream,
            at,
            suspects: [...suspects].map(([fingerprint, { size, sentAt }]) => ({ fingerprint, size, sentAt })),
            ...(cause === undefined ? {} : { cause }),
        }));
    }

    public restore(ends: readonly StoredEnd[]): void {
        this.ends.clear();
        for (const { upstream, at, suspects, cause } of ends) {
            const present = suspects.map(({ fingerprint, size, sentAt }) => [fingerprint, { size, sentAt }] as const);
            this.ends.set(upstream, { at, suspects: new Map(present), cause });
        }
    }

    private isCause(fingerprint: string, latest: End): boolean {
        const ends = this.endsOf(fingerprint);
        const occasions = this.occasionsIn(fingerprint, ends);
        if (occasions < occasionsToBar) {
            return false;
        }
        return occasions >= occasionsToBarAll || !this.hasRival(fingerprint, ends, latest);
    }

    /**
     * Whether another request was there each time as well, or all times but one where there were as few as it takes: a
     * prompt that is asked often stands beside two ends of one guilty request before that one has its third.
     */
    private hasRival(fingerprint: string, ends: readonly End[], latest: End): boolean {
        const needed = ends.length - (ends.length <= occasionsToBar ? 1 : 0);
        return [...latest.suspects.keys()].some(other =>
            other !== fingerprint && ends.filter(({ suspects }) => suspects.has(other)).length >= needed
        );
    }

    private putDownTo(fingerprint: string): void {
        for (const end of this.endsOf(fingerprint)) {
            end.cause = fingerprint;
        }
    }

    private endsOf(fingerprint: string): End[] {
        return [...this.ends.values()].filter(({ suspects, cause }) =>
            cause === undefined && suspects.has(fingerprint)
        );
    }

    private dropOldest(): void {
        const [oldest] = this.ends.keys();
        if (this.ends.size > mostEnds) {
            this.ends.delete(oldest);
        }
    }
}

/**
 * How often a request was sent, and ended an upstream, after all of its earlier ends: copies that run at once may
 * have ended by one cause outside. `all`: the ends that may share a moment with one of `ends`.
 */
function weigh(fingerprint: string, ends: readonly End[], all: Iterable<End>): number {
    const counted = inSequence(fingerprint, ends);
    if (counted.length < 2) {
        return counted.length;
    }
    const known = [...all];
    return counted.reduce((sum, end) => sum + 1 / sharersOf(fingerprint, end, known), 0);
}

/** Of the ends of a request, oldest first, those that it was sent after the one before. */
function inSequence(fingerprint: string, ends: readonly End[]): End[] {
    const counted: End[] = [];
    for (const end of [...ends].sort((a, b) => a.at - b.at)) {
        const before = counted.at(-1);
        if (before === undefined || follows(fingerprint, end, before)) {
            counted.push(end);
        }
    }
    return counted;
}

/** Whether a request was sent to the upstream of one end after the other end. */
function follows(fingerprint: string, end: End, before: End): boolean {
    return end.suspects.get(fingerprint)!.sentAt > before.at - reportSlackMs;
}

/**
 * Ends that share the moment of one, itself among them: not those that another request is known to have caused, and
 * not those that the request itself went on to or came from.
 */
function sharersOf(fingerprint: string, end: End, all: readonly End[]): number {
    return all.filter(other => {
        if (other === end) {
            return true;
        }
        const isExplained = other.cause !== undefined && other.cause !== fingerprint;
        return !isExplained && Math.abs(other.at - end.at) <= togetherMs && !areInSequence(fingerprint, end, other);
    }).length;
}

function areInSequence(fingerprint: string, one: End, other: End): boolean {
    if (!other.suspects.has(fingerprint)) {
        return false;
    }
    const [earlier, later] = one.at <= other.at ? [one, other] : [other, one];
    return follows(fingerprint, later, earlier);
}
