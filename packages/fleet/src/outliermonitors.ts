/** Evaluates what entries report about upstreams, and writes the results to the registry. */
import { EngineTimingMerger } from "./enginetimings.js";
import { type DemandRequest } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { OutlierDetector } from "./outlierdetectors.js";
import { type Registry } from "./registries.js";

/** Published failure rate of an upstream that refuses connections. */
const refusingPercent = 100;

export class OutlierMonitor {
    private readonly detector = new OutlierDetector();
    private readonly timings: EngineTimingMerger;

    public constructor(private readonly registry: Registry) {
        this.timings = new EngineTimingMerger(registry);
    }

    /** Records the refused connections, request outcomes and engine speeds in an entry's report. */
    public record(report: DemandRequest): void {
        report.refused.forEach(id => this.registry.reportRefused(id));
        this.timings.record(report);
        report.outcomes.forEach(counts => this.detector.record(counts));
        if (report.refused.length > 0 || report.outcomes.some(({ failed }) => failed > 0)) {
            this.evaluate();
        }
    }

    /** Evaluates all upstreams; also called periodically, since ejections expire. */
    public evaluate(): void {
        const services = new Map<string, string[]>();
        for (const { upstream } of this.registry.all()) {
            services.set(upstream.service, [...services.get(upstream.service) ?? [], upstream.id]);
        }
        for (const ids of services.values()) {
            this.detector.ejectOutliers(ids).forEach((share, id) =>
                this.registry.setFailingPercent(id, this.isRefusing(id) ? refusingPercent : Math.round(share * 100))
            );
        }
    }

    /**
     * Whether an upstream has refused a connection since its last announcement, regardless of its silence. A report of a
     * refused connection expires after 2.5 s.
     */
    private isRefusing(id: string): boolean {
        return this.registry.isSuspect(id, Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY);
    }
}
