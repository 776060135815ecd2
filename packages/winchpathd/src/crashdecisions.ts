/** Decisions about crashes of upstreams during one leadership: which are recorded, and which suspected requests may run. */
import { type EventLog, type Metrics } from "@winchpath/core";
import { type CrashDecisions, type Registry, UpstreamState } from "@winchpath/fleet";
import {
    CrashMonitor,
    type QuarantineCommand,
    type QuarantineResult,
    type QuarantineState,
    SuspectTrials,
    type UpstreamPresence,
} from "@winchpath/quarantine";

/** Time in which a new leader receives an announcement of every live upstream: three intervals of 1.2 s. */
const registryWarmUpMs = 4000;

export interface LeaderCrashDecisionsOptions {
    readonly book: () => QuarantineState;
    readonly registry: Pick<Registry, "get" | "wasReplaced">;
    /** Milliseconds since this host became the leader. */
    readonly leadershipAgeMs: () => number;
    /** Commits a command; resolves once it is applied locally. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
}

export class LeaderCrashDecisions implements CrashDecisions {
    public readonly monitor: CrashMonitor;
    public readonly trials: SuspectTrials;

    public constructor(private readonly options: LeaderCrashDecisionsOptions) {
        this.monitor = new CrashMonitor({ ...options, presence: upstream => this.presence(upstream) });
        this.trials = new SuspectTrials({
            ...options,
            hasUndecidedCrash: features => this.monitor.hasUndecidedCrash(features),
        });
    }

    /** Records crashes until the signal is aborted. */
    public run(signal: AbortSignal): Promise<void> {
        return this.monitor.run(signal);
    }

    private presence(upstream: string): UpstreamPresence {
        const { registry, leadershipAgeMs } = this.options;
        const known = registry.get(upstream)?.upstream;
        if (known !== undefined) {
            return known.state === UpstreamState.DRAINING ? "leaving" : "serving";
        }
        if (registry.wasReplaced(upstream)) {
            return "replaced";
        }
        return leadershipAgeMs() < registryWarmUpMs ? "unheard" : "gone";
    }
}
