/**
 * Identifies the runs of an upstream. An upstream that restarts under the same name has lost its
 * state, so everything stored about upstreams is keyed by incarnation.
 */
import { steadyNow } from "@winchpath/core";

/** How long ended runs are remembered in order to ignore their late messages, in milliseconds. */
const retentionMs = 60_000;

/** One run of an upstream. */
export interface Incarnation {
    /** Name of the upstream. */
    readonly name: string;
    /** Start time in milliseconds since the epoch, by the upstream's clock; 0 if unknown. */
    readonly born: bigint;
}

/** Formats an incarnation as a string for maps and logs: the name alone if the start time is unknown. */
export function incarnationId({ name, born }: Incarnation): string {
    return born === 0n ? name : `${name}@${born}`;
}

/** Whether `incarnation` is a later run of the same name than `other`. */
export function supersedes(incarnation: Incarnation, other: Incarnation): boolean {
    return incarnation.name === other.name && incarnation.born > other.born;
}

interface EndedRun {
    /** Start time of the latest run that has ended. */
    readonly born: bigint;
    readonly endedAt: number;
}

/** Runs that have ended. The end of a run implies the end of all earlier runs of its name. */
export class EndedIncarnations {
    private readonly byName = new Map<string, EndedRun>();

    public markEnded({ name, born }: Incarnation): void {
        const known = this.byName.get(name);
        this.byName.set(name, {
            born: known === undefined || born > known.born ? born : known.born,
            endedAt: steadyNow(),
        });
    }

    public has({ name, born }: Incarnation): boolean {
        const known = this.byName.get(name);
        return known !== undefined && born <= known.born;
    }

    /** Whether any run of the name has ended within the retention time. */
    public hasAny(name: string): boolean {
        return this.byName.has(name);
    }

    public removeExpired(): void {
        const limit = steadyNow() - retentionMs;
        for (const [name, { endedAt }] of this.byName) {
            if (endedAt < limit) {
                this.byName.delete(name);
            }
        }
    }

    public clear(): void {
        this.byName.clear();
    }
}
