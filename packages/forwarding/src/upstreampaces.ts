/** What an entry knows about the pace of its upstreams, and where that affects decisions. */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import { type Configuration, hasStreamInterference } from "@winchpath/declarations";
import { PaceTable } from "@winchpath/routing";
import { type ActiveFeatures } from "./activefeatures.js";
import { type ResponseMetadata } from "./headercodecs.js";
import { type InboundRequest } from "./inboundrequests.js";
import { type LoadFacts } from "./loadfacts.js";
import { type PlainServiceContext } from "./plainservicecosts.js";
import { type Silence, type SilenceContext } from "./silences.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

export interface UpstreamPacesDependencies {
    readonly facts: Pick<LoadFacts, "longPromptServices" | "recordReportedPace" | "reportedPaceServices">;
    readonly features: Pick<ActiveFeatures, "has" | "refresh">;
    readonly view: { readonly configuration: Configuration | undefined; readonly entries: number; };
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class UpstreamPaces implements PlainServiceContext, SilenceContext {
    private readonly table = new PaceTable();

    public constructor(private readonly deps: UpstreamPacesDependencies) {}

    public get entries(): number {
        return this.deps.view.entries;
    }

    /** Records the pace that a response reports, and the time to its start; `sentAt`: monotonic time of the request. */
    public record(
        { service }: InboundRequest,
        endpoint: UpstreamEndpoint,
        { sealed, notExecuted, misdirected, failed, load }: ResponseMetadata,
        sentAt: number,
    ): void {
        endpoint.markAnswered();
        if (!sealed) {
            // May come from elsewhere, with arbitrary headers.
            return;
        }
        // A failure takes less time than the work that it replaces.
        if (!notExecuted && !misdirected && !failed) {
            this.table.observe(service, endpoint.id, steadyNow() - sentAt);
        }
        const percent = load?.durationPercent;
        if (
            percent !== undefined && this.table.report(endpoint.id, percent)
            && this.deps.facts.recordReportedPace(service)
        ) {
            this.deps.features.refresh(this.deps.view.configuration);
        }
    }

    public isPaceReported(service: string): boolean {
        return this.deps.features.has("reported-pace") && this.deps.facts.reportedPaceServices.has(service);
    }

    public pace(service: string, { id, unansweredSince }: UpstreamEndpoint, now: number): number {
        return this.table.pace(service, id, unansweredSince === undefined ? 0 : now - unansweredSince, now);
    }

    public isSilenceDetected(service: string, isEngine: boolean): boolean {
        return isEngine ? this.hasInterference(service) : this.isPaceReported(service);
    }

    public onSilent(silence: Silence): void {
        this.deps.log.warn("upstream.silent", { ...silence, usualMs: Math.round(silence.usualMs) });
        this.deps.metrics.count("upstreams_silent_total", { service: silence.service });
    }

    public usualMs(service: string): number | undefined {
        return this.table.usualMs(service);
    }

    private hasInterference(service: string): boolean {
        const { features, facts, view: { configuration } } = this.deps;
        return configuration !== undefined && features.has("stream-interference")
            && hasStreamInterference(configuration, service, facts.longPromptServices);
    }
}
