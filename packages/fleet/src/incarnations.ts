/**
 * Identifies the runs of an upstream. An upstream that restarts under the same name has lost its
 * state, so everything stored about upstreams is keyed by incarnation. One that changes its software version has
 * restarted, even if it doesn't announce when it started.
 */
import { steadyNow } from "@winchpath/core";

/** How long ended runs are remembered in order to ignore their late messages, in milliseconds. */
export const departureRetentionMs = 60_000;

/** One run of an upstream. */
export interface Incarnation {
    /** Name of the upstream. */
    readonly name: string;
    /** Start time in milliseconds since the epoch, by the upstream's clock; 0 if unknown. */
    readonly born: bigint;
    /** Version of its software; empty if it announces none. */
    readonly softwareVersion: string;
}

/** The part of an incarnation that orders the runs of a name. */
export type NamedStart = Pick<Incarnation, "name" | "born">;

/** Formats an incarnation as a string for maps and logs, without the parts that are unknown. */
export function incarnationId({ name, born, softwareVersion }: Incarnation): string {
    const start = born === 0n ? "" : `@${born}`;
    const version = softwareVersion === "" ? "" : `#${softwareVersion}`;
    return `${name}${start}${version}`;
}

/** Whether `incarnation` is a later run of the same name than `other`. */
export function supersedes(incarnation: NamedStart, other: NamedStart): boolean {
    return incarnation.name === other.name && incarnation.born > other.born;
}

interface EndedRun {
    /** Start time of the latest run that has ended. */
    readonly born: bigint;
    /** Software versions of the ended runs with this start time; undefined if all have ended. */
    readonly softwareVersions: ReadonlySet<string> | undefined;
    readonly endedAt: number;
}

/** Runs that have ended. The end of a run implies the end of all earlier runs of its name. */
export class EndedIncarnations {
    private readonly byName = new Map<string, EndedRun>();

    /** Without a software version, the runs of all versions with this start time have ended. */
    public markEnded({ name, born, softwareVersion }: NamedStart & Partial<Incarnation>): void {
        const known = this.byName.get(name);
        const endedAt = steadyNow();
        if (known !== undefined && born < known.born) {
            this.byName.set(name, { ...known, endedAt });
            return;
        }
        const ended = known?.born === born ? known.softwareVersions : new Set<string>();
        const isOneVersion = softwareVersion !== undefined && ended !== undefined;
        const softwareVersions = isOneVersion ? new Set([...ended, softwareVersion]) : undefined;
        this.byName.set(name, { born, softwareVersions, endedAt });
    }

    /** Records that an incarnation replaces one with the same start time, to whose software version it may return. */
    public markReplaced({ name, born }: Incarnation, next: Incarnation): void {
        const known = this.byName.get(name);
        const ended = known?.born === born ? known.softwareVersions : undefined;
        const softwareVersions = new Set([...ended ?? []].filter(version => version !== next.softwareVersion));
        this.byName.set(name, { born, softwareVersions, endedAt: steadyNow() });
    }

    public has({ name, born, softwareVersion }: Incarnation): boolean {
        const known = this.byName.get(name);
        return known !== undefined
            && (born < known.born || (born === known.born && known.softwareVersions?.has(softwareVersion) !== false));
    }

    /** Whether any run of the name has ended within the retention time. */
    public hasAny(name: string): boolean {
        return this.byName.has(name);
    }

    public removeExpired(): void {
        const limit = steadyNow() - departureRetentionMs;
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
