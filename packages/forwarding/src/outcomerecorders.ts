/** Reports the outcome of attempts to the local ejection list and to the leader. */
import { type EventLog } from "@winchpath/core";
import { type DemandMeter } from "@winchpath/fleet";
import { type EjectionTracker } from "@winchpath/routing";
import { type AttemptOutcome } from "./attemptoutcomes.js";
import { ageMs, type InboundRequest } from "./inboundrequests.js";

/** Multiple of the objective after which a missing first event counts as a failure of the upstream. */
const firstByteObjectives = 2;

/** Error code in the message of a failed connection to an address at which no process listens. */
const refusedErrorCode = "ECONNREFUSED";

export class OutcomeRecorder {
    public constructor(
        private readonly ejections: EjectionTracker,
        private readonly meter: DemandMeter,
        private readonly log: EventLog,
    ) {}

    public record(request: InboundRequest, upstream: string, outcome: AttemptOutcome): void {
        this.updateEjections(request, upstream, outcome);
        const failed = upstreamFailed(request, outcome);
        if (failed !== undefined) {
            // The leader detects failure rates that are too low for a single entry to notice.
            this.meter.recordOutcome(upstream, failed);
        }
    }

    private updateEjections(request: InboundRequest, upstream: string, outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
                this.ejections.succeeded(upstream);
                return;
            case "not-run":
                this.recordNotRun(request, upstream, outcome);
                return;
            case "failure":
            case "unknown":
            case "broken":
                if (this.ejections.failed(upstream)) {
                    this.log.warn("upstream.ejected", { upstream, reason: outcome.kind });
                }
                return;
            default:
                this.ejections.unresolved(upstream);
        }
    }

    private recordNotRun(
        request: InboundRequest,
        upstream: string,
        outcome: AttemptOutcome & { readonly kind: "not-run"; },
    ): void {
        if (outcome.misdirected) {
            const { model, adapter } = request.metadata;
            this.meter.recordMismatch({ $typeName: "winchpath.fleet.v1.Mismatch", upstream, model, adapter });
        }
        if (outcome.unreachable) {
            this.ejections.unreachable(upstream);
            this.meter.connectionFailed(upstream, outcome.reason.includes(refusedErrorCode));
            this.log.warn("upstream.ejected", { upstream, reason: outcome.reason });
        }
        else {
            this.ejections.unresolved(upstream);
        }
    }
}

/** Whether the upstream failed the request; undefined if the outcome is inconclusive. */
function upstreamFailed(request: InboundRequest, outcome: AttemptOutcome): boolean | undefined {
    switch (outcome.kind) {
        case "answered":
            return false;
        case "failure":
            return outcome.response.status >= 500;
        case "unknown":
        case "broken":
            return true;
        case "late":
        case "caller-gone":
            return !request.responseStarted && ageMs(request) > request.route.objectiveMs * firstByteObjectives
                ? true
                : undefined;
        case "not-run":
        case "postponed":
            return undefined;
    }
}
