/** Decides whether a request is retried, by its route, its deadline and the retry budget. */
import { type EventLog, type Metrics } from "@winchpath/core";
import { type RetryBudgetTable, type SentRetry } from "@winchpath/retries";
import { type Refusal } from "./admissioncontrollers.js";
import { type InboundRequest, remainingMs } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { busyRetryMs, minAttemptMs } from "./waitpolicies.js";

/** Number of upstreams that may decline a request before it is refused. */
const maxDeclines = 3;

/** The refusal of a request that upstreams have declined, and that may not be sent to another one. */
export const declinedRefusal: Refusal = {
    kind: "refused",
    response: LocalResponse.declined,
    retryAfterMs: busyRetryMs,
};

export interface RetryPolicyDependencies {
    readonly retryBudgets: Pick<RetryBudgetTable, "of" | "reportSoon">;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Every send of a request but its first takes a retry from the budget of its service. */
export class RetryPolicy {
    public constructor(private readonly deps: RetryPolicyDependencies) {}

    /**
     * Records an incoming request, which adds to the budget. One that was sent for another service before needs a retry;
     * returns false if none is allowed.
     */
    public admit(request: InboundRequest): boolean {
        if (!request.wasMoved) {
            this.budget(request).recordRequest();
        }
        return this.acquire(request);
    }

    /** Reserves a retry after a failed or lost attempt; returns false if none is allowed. */
    public acquireAfterFailure(request: InboundRequest): boolean {
        return request.attemptedUpstreams.length < request.route.maxAttempts && this.acquireInTime(request);
    }

    /** Reserves a retry after an upstream declined the request; returns false if none is allowed. */
    public acquireAfterDecline(request: InboundRequest): boolean {
        return request.declinedUpstreams.size < maxDeclines && this.acquireInTime(request);
    }

    /** Returns a refusal if the request may not be sent now; checked before every attempt. */
    public refusal(request: InboundRequest): Refusal | undefined {
        const { retry } = request;
        return !request.wasSent || (retry !== undefined && this.budget(request).maySend(retry))
            ? undefined
            : declinedRefusal;
    }

    /** Records that the request is sent now; returns the retry that this takes, if any. */
    public recordSent(request: InboundRequest): SentRetry | undefined {
        request.wasSent = true;
        if (request.retry === undefined) {
            return undefined;
        }
        const sent = this.budget(request).send(request.retry);
        request.retry = undefined;
        this.deps.metrics.count("retries_total", { service: request.service, basis: sent.basis });
        return sent;
    }

    /** Returns a retry that was reserved and won't be sent. */
    public release(request: InboundRequest): void {
        if (request.retry !== undefined) {
            this.budget(request).release(request.retry);
            request.retry = undefined;
        }
    }

    private acquireInTime(request: InboundRequest): boolean {
        return remainingMs(request) > minAttemptMs && this.acquire(request);
    }

    private acquire(request: InboundRequest): boolean {
        if (!request.wasSent || request.retry !== undefined) {
            return true;
        }
        const { service } = request;
        const budget = this.budget(request);
        request.retry = budget.reserve();
        if (request.retry !== undefined) {
            return true;
        }
        this.deps.metrics.count("retries_denied_total", { service });
        this.deps.log.info("retry.denied", { request: request.id, service, ...budget.logFields });
        this.deps.retryBudgets.reportSoon();
        return false;
    }

    private budget({ service }: InboundRequest) {
        return this.deps.retryBudgets.of(service);
    }
}
