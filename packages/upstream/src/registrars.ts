/** The upstreams that a control host knows, by their leases. */
import { Notifier, sleep } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { type ReportRequest } from "./gen/winchpath/upstream/v1/upstream_pb.js";

/** An upstream that is not heard for this long is out. */
export const leaseMs = 1500;
const sweepMs = 100;

/** One upstream, as its agent last told. */
export interface LiveUpstream {
    readonly report: ReportRequest;
    /** Date.now() at which the report came. */
    readonly heardAt: number;
    /** Ids of models and adapters that are ready, for each accelerator. */
    readonly ready: ReadonlyMap<string, ReadonlySet<string>>;
    /** Date.now() at which the upstream was first heard to be leaving. */
    readonly leavingSince: number | undefined;
}

export class Registrar {
    /** Notified when an upstream comes, goes, or tells something new besides its load. */
    public readonly changed = new Notifier();
    private readonly upstreams = new Map<string, LiveUpstream>();
    private structureCount = 0;

    public constructor(private readonly timeline: Timeline) {}

    /** Grows whenever `changed` is notified: what is derived from more than loads has to be made anew. */
    public get structure(): number {
        return this.structureCount;
    }

    /** Upstreams with a lease, by name. */
    public live(): LiveUpstream[] {
        return [...this.upstreams.values()];
    }

    public find(name: string): LiveUpstream | undefined {
        return this.upstreams.get(name);
    }

    /** Takes in a report; one of an earlier incarnation or order changes nothing. */
    public take(report: ReportRequest): void {
        const known = this.upstreams.get(report.upstream);
        if (known !== undefined && !follows(report, known.report)) {
            return;
        }
        const same = known?.report.incarnation === report.incarnation ? known : undefined;
        const leavingSince = report.leaving ? same?.leavingSince ?? Date.now() : undefined;
        const next = { report, heardAt: Date.now(), ready: readyOf(report), leavingSince };
        this.upstreams.set(report.upstream, next);
        if (same === undefined) {
            this.timeline.record("upstream.joined", { detail: `${report.upstream} at ${report.url}` });
        }
        if (same === undefined || tellsNews(same.report, report)) {
            this.noteChange();
        }
    }

    private noteChange(): void {
        this.structureCount += 1;
        this.changed.notify();
    }

    /** Takes upstreams out whose lease has run out, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        let sweptAt = Date.now();
        while (!signal.aborted) {
            await sleep(sweepMs, signal);
            const now = Date.now();
            // After a pause of this process itself, the reports that wait are heard first.
            if (now - sweptAt < leaseMs) {
                this.sweep(now);
            }
            sweptAt = now;
        }
    }

    private sweep(now: number): void {
        for (const [name, upstream] of this.upstreams) {
            if (now - upstream.heardAt > leaseMs) {
                this.upstreams.delete(name);
                this.timeline.record("lease.expired", { detail: name });
                this.noteChange();
            }
        }
    }
}

function follows(report: ReportRequest, known: ReportRequest): boolean {
    return report.incarnation === known.incarnation
        ? report.sequence > known.sequence
        : report.incarnation > known.incarnation;
}

function readyOf(report: ReportRequest): Map<string, Set<string>> {
    const ready = new Map<string, Set<string>>();
    for (const resident of report.residents.filter(each => each.ready)) {
        const items = ready.get(resident.accelerator) ?? new Set();
        ready.set(resident.accelerator, items.add(resident.item));
    }
    return ready;
}

function tellsNews(before: ReportRequest, after: ReportRequest): boolean {
    return before.leaving !== after.leaving || before.stateKnown !== after.stateKnown
        || before.settled?.index !== after.settled?.index || before.settled?.term !== after.settled?.term
        || residentsText(before) !== residentsText(after);
}

function residentsText(report: ReportRequest): string {
    return report.residents.map(({ accelerator, item, ready }) => `${accelerator}/${item}/${ready}`).join();
}
