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

export class Suspicions {
    /** By the upstream's id, oldest first. */
    private readonly ends = new Map<string, End>();

    /** Notes what ran at an upstream that ended; gives those that are taken for the cause from now on. */
    public note({ upstream, at, toldAt, suspects }: ToldEnd, isBarred: (fingerprint: string) => boolean): Cause[] {
        const end = this.ends.get(upstream) ?? { at, suspects: new Map<string, Presence>(), cause: undefined };
        this.ends.set(upstream, end);
        for (const { fingerprint, size, sentAgoMs } of suspects.slice(0, mostSuspects - end.suspects.size)) {
            const before = end.suspects.get(fingerprint)?.sentAt ?? Number.NEGATIVE_INFINITY;
            end.suspects.set(fingerprint, { size, sentAt: Math.max(before, toldAt - sentAgoMs) });
        }
        this.dropOldest();
        end.cause ??= [...end.suspects.keys()].find(isBarred);
        if (end.cause !== undefined) {
            return [];
        }
        const causes = [...end.suspects]
            .filter(([fingerprint]) => this.isCause(fingerprint, end))
            .map(([fingerprint, { size }]) => ({ fingerprint, size, occasions: this.occasions(fingerprint) }));
        causes.forEach(({ fingerprint }) => this.putDownTo(fingerprint));
        return causes;
    }

    /** Occasions on which upstreams ended under a request, and nothing else is known to be the cause. */
    public occasions(fingerprint: string): number {
        return occasionsOf(fingerprint, this.endsOf(fingerprint));
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
            occasions: occasionsOf(fingerprint, ends),
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
        const occasions = occasionsOf(fingerprint, ends);
        if (occasions < occasionsToBar) {
            return false;
        }
        return occasions >= occasionsToBarAll || !this.hasRival(fingerprint, ends, latest);
    }

    /** Whether another request was there each time as well. */
    private hasRival(fingerprint: string, ends: readonly End[], latest: End): boolean {
        return [...latest.suspects.keys()].some(other =>
            other !== fingerprint && ends.every(({ suspects }) => suspects.has(other))
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
 * have ended by one cause outside, such as the power of a rack.
 */
function occasionsOf(fingerprint: string, ends: readonly End[]): number {
    let count = 0;
    let last = Number.NEGATIVE_INFINITY;
    for (const { at, suspects } of [...ends].sort((a, b) => a.at - b.at)) {
        if (suspects.get(fingerprint)!.sentAt > last - reportSlackMs) {
            count += 1;
            last = at;
        }
    }
    return count;
}
