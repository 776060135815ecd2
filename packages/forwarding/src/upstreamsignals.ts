/** Handles availability signals in response headers: draining, rate limits and backoff. */
import { type AvailabilityTracker, UnsupportedNameReporter } from "@winchpath/availability";
import { type EventLog, type Metrics } from "@winchpath/core";
import { type DemandMeter } from "@winchpath/fleet";
import { type EjectionTracker } from "@winchpath/routing";
import { type ResponseMetadata } from "./headercodecs.js";
import { type InboundRequest } from "./inboundrequests.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";
import { type UpstreamPaces } from "./upstreampaces.js";

export interface SignalDependencies {
    readonly availability: AvailabilityTracker;
    readonly ejections: Pick<EjectionTracker, "responded">;
    readonly paces: Pick<UpstreamPaces, "record">;
    readonly meter: Pick<DemandMeter, "leaving">;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/**
 * Applies the signals of every response, including those that are not forwarded. An entry that is disconnected from the
 * control group has no other source.
 */
export class UpstreamSignals {
    private readonly unknownHeaders: UnsupportedNameReporter;

    public constructor(private readonly deps: SignalDependencies) {
        this.unknownHeaders = new UnsupportedNameReporter(deps.log, deps.metrics);
    }

    /** `sentAt`: monotonic time at which the request was sent. */
    public handle(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        metadata: ResponseMetadata,
        sentAt: number,
    ): void {
        this.deps.ejections.responded(endpoint.id);
        this.deps.paces.record(request, endpoint, metadata, sentAt);
        if (metadata.leaving) {
            this.handleDraining(request, endpoint);
        }
        if (metadata.sealed) {
            // Responses without a seal may come from elsewhere, with arbitrary headers.
            this.unknownHeaders.report(request.service, endpoint.id, metadata.unknownHeaders);
        }
        if (metadata.limitPerSecond !== undefined) {
            this.handleRateLimit(request, endpoint, metadata.limitPerSecond, sentAt);
        }
        else if (
            metadata.sealed && metadata.id === request.id
            && this.deps.availability.rates.recordUnlimitedAnswer(endpoint.id, sentAt)
        ) {
            this.deps.log.info("upstream.unlimited", { upstream: endpoint.id, request: request.id });
        }
        if (metadata.restMs !== undefined) {
            this.handleBackoff(request, endpoint, metadata.restMs);
        }
        else if (this.deps.availability.answered(endpoint.id)) {
            this.deps.log.info("upstream.rested", { upstream: endpoint.id, request: request.id });
        }
    }

    /** Stops sending new requests to the upstream; running ones continue. */
    private handleDraining(request: InboundRequest, endpoint: UpstreamEndpoint): void {
        if (!this.deps.availability.markDraining(endpoint.id)) {
            return;
        }
        this.deps.log.info("upstream.leaving", { upstream: endpoint.id, told: "answer", request: request.id });
        this.deps.metrics.count("upstreams_leaving_total", { told: "answer" });
        this.deps.meter.leaving();
        endpoint.renewConnections();
    }

    private handleRateLimit(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        perSecond: number,
        sentAt: number,
    ): void {
        const before = this.deps.availability.rates.recordRate(endpoint.id, perSecond, sentAt);
        if (before === perSecond) {
            return;
        }
        this.deps.log.warn("upstream.limited", { upstream: endpoint.id, perSecond, before, request: request.id });
        this.deps.metrics.count("upstream_limits_total", { service: request.service });
    }

    private handleBackoff(request: InboundRequest, endpoint: UpstreamEndpoint, restMs: number): void {
        this.deps.availability.startBackoff(endpoint.id, restMs);
        this.deps.log.warn("upstream.rests", { upstream: endpoint.id, restMs, request: request.id });
        this.deps.metrics.count("upstream_rests_total", { service: request.service });
    }
}
