/** The leader's record of one announced upstream, and what is known about whether it can be reached. */
import { eventLoop, steadyNow } from "@winchpath/core";
import { type Announcement, type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** How long a report of an unreachable upstream counts, in milliseconds: until its next announcement is due. */
const unreachableReportTtlMs = 2500;

export interface RegisteredUpstream {
    readonly upstream: Upstream;
    /** Monotonic time of the last announcement. */
    readonly lastAnnouncedAt: number;
    /** Monotonic time of the last failed connection per reporting process; cleared by an announcement. */
    readonly unreachableReports: ReadonlyMap<string, number>;
    /** Monotonic time at which it last refused a connection; cleared by an announcement. */
    readonly refusedAt: number;
    /** Models that its host has cached in memory, and on disk. */
    readonly inMemory: ReadonlySet<string>;
    readonly onDisk: ReadonlySet<string>;
}

export interface UpstreamRecord extends RegisteredUpstream {
    upstream: Upstream;
    lastAnnouncedAt: number;
    unreachableReports: Map<string, number>;
    refusedAt: number;
    inMemory: ReadonlySet<string>;
    onDisk: ReadonlySet<string>;
    sequence: bigint;
    position: number;
    /** Whether this leader's orders determine the held models; announcements may predate those orders. */
    modelsFromOrders: boolean;
}

export function createUpstreamRecord({ upstream, sequence }: Announcement): UpstreamRecord {
    return {
        upstream: upstream!,
        sequence,
        lastAnnouncedAt: 0,
        unreachableReports: new Map(),
        refusedAt: Number.NEGATIVE_INFINITY,
        inMemory: new Set(),
        onDisk: new Set(),
        position: 0,
        modelsFromOrders: false,
    };
}

/** Records that an upstream has announced itself, so that earlier failures to reach it count no more. */
export function recordContact(record: UpstreamRecord): void {
    record.lastAnnouncedAt = steadyNow();
    record.unreachableReports.clear();
    record.refusedAt = Number.NEGATIVE_INFINITY;
}

/**
 * Whether an upstream is probably down: it has not announced itself for `maxSilenceMs`, has refused a connection, or
 * can't be reached by at least `minReports` processes.
 */
export function isProbablyDown(record: RegisteredUpstream, maxSilenceMs: number, minReports: number): boolean {
    const now = steadyNow();
    const isRecent = (at: number) => now - at < unreachableReportTtlMs;
    const unreachableCount = [...record.unreachableReports.values()].filter(isRecent).length;
    return eventLoop.readUntil - record.lastAnnouncedAt > maxSilenceMs || isRecent(record.refusedAt)
        || unreachableCount >= minReports;
}
