/** Admission limits between the leader, which computes them from the reports of all entries, and the entries. */
import { create } from "@bufbuild/protobuf";
import { holdMs, type LeaderLimit, LevelController, openLimit, type ServiceLevelCounts } from "@winchpath/admission";
import { type EventLog, steadyNow } from "@winchpath/core";
import {
    type AdmissionLevel,
    AdmissionLevelSchema,
    type DemandRequest,
    type LevelDemand,
    LevelDemandSchema,
    type PollResponse,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** The leader's part: starts anew with each leadership, since earlier reports are incomplete. */
export class AdmissionCoordinator {
    private epoch: string | undefined;
    private controller = new LevelController();
    /** Levels of the last response, to log changes. */
    private known = new Map<string, number>();

    public constructor(private readonly log: EventLog) {}

    /** Records a report. `epoch`: the current leadership; undefined if this host is not the leader. */
    public record(epoch: string | undefined, report: DemandRequest): void {
        if (epoch === undefined || report.levels.length === 0) {
            return;
        }
        this.begin(epoch);
        this.controller.record({ ...report, counts: report.levels.map(decodeLevel) }, steadyNow());
    }

    /** Returns the levels of the services whose capacity is short. */
    public levels(epoch: string): AdmissionLevel[] {
        this.begin(epoch);
        const levels = this.controller.limits(steadyNow()).map(({ service, limit, capacity }) => {
            const level = Math.floor(limit);
            return create(AdmissionLevelSchema, { service, level, share: limit - level, capacity });
        });
        this.logChanges(levels);
        return levels;
    }

    private begin(epoch: string): void {
        if (epoch !== this.epoch) {
            this.epoch = epoch;
            this.controller = new LevelController();
            this.known.clear();
        }
    }

    private logChanges(levels: readonly AdmissionLevel[]): void {
        for (const { service, level, share, capacity } of levels) {
            if (this.known.get(service) !== level) {
                this.log.info("admission.level", { service, level, share, capacity: Math.round(capacity) });
            }
        }
        const lifted = [...this.known.keys()].filter(name => !levels.some(({ service }) => service === name));
        lifted.forEach(service => this.log.info("admission.lifted", { service }));
        this.known = new Map(levels.map(({ service, level }) => [service, level]));
    }
}

interface ReceivedLevel {
    readonly level: AdmissionLevel;
    readonly receivedAt: number;
}

/** The entry's part: the limits that it last received. */
export class ReceivedLimits {
    private readonly levels = new Map<string, ReceivedLevel>();
    /** Monotonic time of the last response that was complete or had a limit. */
    private receivedAt = Number.NEGATIVE_INFINITY;

    /** Applies a response of a leader; `now`: monotonic time. */
    public apply({ admission, complete }: PollResponse, now: number): void {
        if (complete) {
            this.levels.clear();
        }
        // A new leader has heard too little of the demand to lift the limits of its predecessor.
        if (complete || admission.length > 0) {
            this.receivedAt = now;
        }
        admission.forEach(level => this.levels.set(level.service, { level, receivedAt: now }));
    }

    /** The limit of a service; undefined until a leader has responded. */
    public of(service: string): LeaderLimit | undefined {
        if (this.receivedAt === Number.NEGATIVE_INFINITY) {
            return undefined;
        }
        const found = this.levels.get(service);
        const limit = found === undefined ? openLimit : found.level.level + found.level.share;
        return { limit, ageMs: steadyNow() - (found?.receivedAt ?? this.receivedAt) };
    }

    /**
     * Requests per second that a service accepts from all entries; undefined unless its capacity is short, and once the
     * figure is older than a limit holds without a leader.
     */
    public capacity(service: string): number | undefined {
        const found = this.levels.get(service);
        return found !== undefined && steadyNow() - found.receivedAt < holdMs ? found.level.capacity : undefined;
    }
}

/** Encodes the counts of an entry for its report. */
export function encodeLevels(counts: readonly ServiceLevelCounts[]): LevelDemand[] {
    return counts.map(({ work, ...values }) =>
        create(LevelDemandSchema, { ...values, work: BigInt(Math.round(work)) })
    );
}

function decodeLevel({ $typeName: _, work, ...values }: LevelDemand): ServiceLevelCounts {
    return { ...values, work: Number(work) };
}
