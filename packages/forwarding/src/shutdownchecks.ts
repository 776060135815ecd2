/** Decides whether a request is still sent to an upstream while this process closes its connections to clients. */
import { type Metrics, steadyNow } from "@winchpath/core";
import { type Refusal } from "./admissioncontrollers.js";
import { type InboundRequest, remainingMs } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";

/** Retry-After while shutting down, in milliseconds; the client should use another entry. */
export const stoppingRetryMs = 50;
/** Fewer responses of a route don't tell how long its next one takes. */
const minResponses = 10;
/** Share of a route's responses by which the time of the next one is estimated. */
const estimateQuantile = 0.99;
/** Multiple of that time that has to be left, as upstreams may be slower now than before. */
const slownessFactor = 2;

export interface ShutdownCheckDependencies {
    readonly metrics: Pick<Metrics, "histogram">;
    /** Monotonic time at which connections to clients are closed, whatever is pending; undefined if no close is under way. */
    readonly closesAt?: () => number | undefined;
}

export class ShutdownCheck {
    public constructor(private readonly deps: ShutdownCheckDependencies) {}

    /** Returns a refusal if the response might not be complete when the connections are closed. */
    public refusal(request: InboundRequest): Refusal | undefined {
        const closesAt = this.deps.closesAt?.();
        if (closesAt === undefined) {
            return undefined;
        }
        const leftMs = closesAt - steadyNow();
        const neededMs = Math.min(remainingMs(request), this.usualMs(request) * slownessFactor);
        return neededMs <= leftMs
            ? undefined
            : { kind: "refused", response: LocalResponse.stopping, retryAfterMs: stoppingRetryMs };
    }

    /** Time that responses of the request's route have taken since their arrival, in milliseconds; infinite if not known. */
    private usualMs({ route }: InboundRequest): number {
        const times = this.deps.metrics.histogram("request", { route: route.name, outcome: "answered" });
        return times.count < minResponses ? Number.POSITIVE_INFINITY : times.quantile(estimateQuantile);
    }
}
