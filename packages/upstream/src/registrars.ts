/** Tracks the upstreams that hold a lease with this control host. */
import { Notifier, sleep } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { type ReportRequest } from "./gen/winchpath/upstream/v1/upstream_pb.js";

/** An upstream is removed when it has not reported for this long. */
export const leaseMs = 1500;
const sweepIntervalMs = 100;

/** An upstream with a valid lease, as last reported by its agent. */
export interface LiveUpstream {
    readonly report: ReportRequest;
    /** `Date.now()` when the report arrived. */
    readonly lastReportAt: number;
    /** Ids of the ready models and adapters, by accelerator. */
    readonly ready: ReadonlyMap<string, ReadonlySet<string>>;
    /** `Date.now()` when the upstream was first reported as leaving. */
    readonly leavingSince: number | undefined;
}

export class Registrar {
    /** Notified when an upstream joins, expires or reports a change other than its load. */
    public readonly changed = new Notifier();
    private readonly upstreams = new Map<string, LiveUpstream>();
    private currentStructureVersion = 0;

    public constructor(private readonly timeline: Timeline) {}

    /** Increases with every change other than of loads; used to invalidate derived data. */
    public get structureVersion(): number {
        return this.currentStructureVersion;
    }

    /** All upstreams with a valid lease. */
    public live(): LiveUpstream[] {
        return [...this.upstreams.values()];
    }

    public find(name: string): LiveUpstream | undefined {
        return this.upstreams.get(name);
    }

    /** Applies a report; ignores one of an earlier incarnation or with an earlier sequence number. */
    public receive(report: ReportRequest): void {
        const current = this.upstreams.get(report.upstream);
        if (current !== undefined && !supersedes(report, current.report)) {
            return;
        }
        const sameIncarnation = current?.report.incarnation === report.incarnation ? current : undefined;
        const leavingSince = report.leaving ? sameIncarnation?.leavingSince ?? Date.now() : undefined;
        const next = { report, lastReportAt: Date.now(), ready: readyItems(report), leavingSince };
        this.upstreams.set(report.upstream, next);
        if (sameIncarnation === undefined) {
            this.timeline.record("upstream.joined", { detail: `${report.upstream} at ${report.url}` });
        }
        if (sameIncarnation === undefined || hasStructuralChange(sameIncarnation.report, report)) {
            this.notifyChange();
        }
    }

    private notifyChange(): void {
        this.currentStructureVersion += 1;
        this.changed.notify();
    }

    /** Removes upstreams whose lease has expired, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        let sweptAt = Date.now();
        while (!signal.aborted) {
            await sleep(sweepIntervalMs, signal);
            const now = Date.now();
            // If this process itself was suspended, pending reports are handled before leases expire.
            if (now - sweptAt < leaseMs) {
                this.sweep(now);
            }
            sweptAt = now;
        }
    }

    private sweep(now: number): void {
        for (const [name, upstream] of this.upstreams) {
            if (now - upstream.lastReportAt > leaseMs) {
                this.upstreams.delete(name);
                this.timeline.record("lease.expired", { detail: name });
                this.notifyChange();
            }
        }
    }
}

function supersedes(report: ReportRequest, known: ReportRequest): boolean {
    return report.incarnation === known.incarnation
        ? report.sequence > known.sequence
        : report.incarnation > known.incarnation;
}

function readyItems(report: ReportRequest): Map<string, Set<string>> {
    const ready = new Map<string, Set<string>>();
    for (const resident of report.residents.filter(each => each.ready)) {
        const items = ready.get(resident.accelerator) ?? new Set();
        ready.set(resident.accelerator, items.add(resident.item));
    }
    return ready;
}

function hasStructuralChange(before: ReportRequest, after: ReportRequest): boolean {
    return before.leaving !== after.leaving || before.stateKnown !== after.stateKnown
        || before.settled?.index !== after.settled?.index || before.settled?.term !== after.settled?.term
        || residentsKey(before) !== residentsKey(after);
}

function residentsKey(report: ReportRequest): string {
    return report.residents.map(({ accelerator, item, ready }) => `${accelerator}/${item}/${ready}`).join();
}
