/** Speeds of engines: reported by entries, merged by the leader, and distributed with the feed. */
import { create } from "@bufbuild/protobuf";
import { steadyNow } from "@winchpath/core";
import { type EnginePace, isPlausiblePace, type WeightedPace } from "@winchpath/engineload";
import { type DemandRequest, type EngineTiming, EngineTimingSchema } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type Registry } from "./registries.js";

/** Relative change from which a speed is reported or distributed again; bounds the messages. */
const minChange = 0.2;
/** Observations of one entry that count at most, so that none outweighs all others. */
const maxSamples = 50;
/** Engines that an entry reports at most; each restart of an engine counts as another one. */
const maxEngines = 1000;
/**
 * Time for which speeds of engines without an announcement are kept, in milliseconds. Entries report a speed once to a
 * leader, and a new leader may receive it before the engine's announcement.
 */
const announcementWaitMs = 4000;
/** Speeds from entries that have sent no report for this long are dropped, in milliseconds. */
const entryRetentionMs = 60_000;
/** Entries whose speeds are kept at most. */
const maxEntries = 2000;

interface ReportedTiming {
    readonly pace: WeightedPace;
    /** Epoch of the leadership that it was reported to. */
    readonly epoch: string;
}

/** Speeds that an entry has observed, and those that the leader knows of. */
export class EngineTimingReports {
    private readonly observed = new Map<string, WeightedPace>();
    private readonly reported = new Map<string, ReportedTiming>();

    /** `upstream`: id of the engine. */
    public record(upstream: string, pace: WeightedPace): void {
        this.observed.delete(upstream);
        this.observed.set(upstream, pace);
        if (this.observed.size > maxEngines) {
            const [oldest] = this.observed.keys();
            this.observed.delete(oldest);
            this.reported.delete(oldest);
        }
    }

    /** Speeds that the leader of this epoch does not know, or that have changed by more than a fifth. */
    public unreportedTo(epoch: string): EngineTiming[] {
        return [...this.observed]
            .filter(([upstream, pace]) => {
                const reported = this.reported.get(upstream);
                return reported?.epoch !== epoch || hasChanged(reported.pace, pace);
            })
            .map(([upstream, { promptTokensPerMs, eventMs, samples }]) =>
                create(EngineTimingSchema, { upstream, promptTokensPerMs, eventMs, samples })
            );
    }

    public markReported(timings: readonly EngineTiming[], epoch: string): void {
        timings.forEach(timing => this.reported.set(timing.upstream, { pace: timing, epoch }));
    }
}

/** Merges the reports of all entries at the leader. */
export class EngineTimingMerger {
    /** Latest speed by engine and entry. */
    private readonly timings = new Map<string, Map<string, EngineTiming>>();

    /** Time at which the first speed of an engine without an announcement was received. */
    private readonly unannounced = new Map<string, number>();
    /** Time of each entry's last report, oldest first. */
    private readonly reportedAt = new Map<string, number>();

    public constructor(private readonly registry: Pick<Registry, "get" | "setTiming">) {}

    public record({ entry, timings }: Pick<DemandRequest, "entry" | "timings">): void {
        const now = steadyNow();
        this.removeSilentEntries(now);
        if (this.reportedAt.has(entry) || this.reportedAt.size < maxEntries) {
            this.reportedAt.delete(entry);
            this.reportedAt.set(entry, now);
            timings.filter(isUsable).forEach(timing => this.recordTiming(entry, timing, now));
        }
        this.removeUnknown(now);
    }

    private recordTiming(entry: string, timing: EngineTiming, now: number): void {
        const { upstream } = timing;
        const isAnnounced = this.registry.get(upstream) !== undefined;
        if (!isAnnounced && !this.unannounced.has(upstream)) {
            if (this.unannounced.size >= maxEngines) {
                return;
            }
            this.unannounced.set(upstream, now);
        }
        const byEntry = this.timings.get(upstream) ?? new Map<string, EngineTiming>();
        this.timings.set(upstream, byEntry);
        byEntry.set(entry, timing);
        if (isAnnounced) {
            this.publish(upstream);
        }
    }

    private publish(upstream: string): void {
        const published = this.registry.get(upstream)?.upstream;
        const byEntry = this.timings.get(upstream);
        if (published === undefined || byEntry === undefined || byEntry.size === 0) {
            return;
        }
        const merged = merge([...byEntry.values()]);
        if (published.timing === undefined || hasChanged(published.timing, merged)) {
            this.registry.setTiming(upstream, create(EngineTimingSchema, { upstream, ...merged }));
        }
    }

    private removeSilentEntries(now: number): void {
        for (const [entry, at] of this.reportedAt) {
            if (now - at <= entryRetentionMs) {
                break;
            }
            this.reportedAt.delete(entry);
            this.timings.forEach(byEntry => byEntry.delete(entry));
        }
    }

    /** Publishes speeds of engines that have announced themselves since, and drops those of engines that are gone. */
    private removeUnknown(now: number): void {
        for (const [upstream, since] of this.unannounced) {
            if (this.registry.get(upstream) !== undefined) {
                this.unannounced.delete(upstream);
                this.publish(upstream);
            }
            else if (now - since > announcementWaitMs) {
                this.unannounced.delete(upstream);
            }
        }
        for (const [upstream, byEntry] of this.timings) {
            const isKnown = this.registry.get(upstream) !== undefined || this.unannounced.has(upstream);
            if (!isKnown || byEntry.size === 0) {
                this.timings.delete(upstream);
            }
        }
    }
}

function merge(timings: readonly EngineTiming[]): WeightedPace {
    const weights = timings.map(({ samples }) => Math.min(maxSamples, samples));
    /** Weighted mean of the known values. */
    const mean = (value: (timing: EngineTiming) => number | undefined): number | undefined => {
        let sum = 0;
        let totalWeight = 0;
        for (const [index, timing] of timings.entries()) {
            const one = value(timing);
            if (one !== undefined) {
                sum += weights[index] * one;
                totalWeight += weights[index];
            }
        }
        return totalWeight > 0 ? sum / totalWeight : undefined;
    };
    return {
        promptTokensPerMs: 1 / mean(timing => 1 / timing.promptTokensPerMs)!,
        eventMs: mean(({ eventMs }) => eventMs),
        samples: weights.reduce((sum, weight) => sum + weight, 0),
    };
}

function isUsable({ promptTokensPerMs, eventMs, samples }: EngineTiming): boolean {
    return isPlausiblePace(promptTokensPerMs) && samples > 0
        && (eventMs === undefined || (eventMs >= 0 && Number.isFinite(eventMs)));
}

function hasChanged(before: EnginePace, now: EnginePace): boolean {
    const differs = (a: number | undefined, b: number | undefined) =>
        a === undefined || b === undefined ? a !== b : Math.abs(b - a) > minChange * a;
    return differs(before.promptTokensPerMs, now.promptTokensPerMs) || differs(before.eventMs, now.eventMs);
}
