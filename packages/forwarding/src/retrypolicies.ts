/** Decides whether a request is retried, by its route, its deadline and the retry budget. */
import { type Metrics } from "@winchpath/core";
import { type FleetView } from "@winchpath/fleet";
import { type InboundRequest, remainingMs } from "./inboundrequests.js";
import { RetryBudget, type RetryBudgetOptions } from "./retrybudgets.js";
import { minAttemptMs } from "./waitpolicies.js";

/** Number of upstreams that may decline a request before it is refused. */
const maxDeclines = 3;

export class RetryPolicy {
    /** Retry budgets by service. */
    private readonly budgets = new Map<string, RetryBudget>();

    public constructor(
        private readonly view: Pick<FleetView<unknown>, "entries">,
        private readonly options: RetryBudgetOptions,
        private readonly metrics: Metrics,
    ) {}

    /** Records an incoming request, which adds to the retry budget. */
    public recordRequest(request: InboundRequest): void {
        this.budget(request.service).recordRequest();
    }

    /** Takes a retry after a failed or lost attempt; returns false if none is allowed. */
    public acquireAfterFailure(request: InboundRequest): boolean {
        return request.attemptedUpstreams.length < request.route.maxAttempts && this.acquire(request);
    }

    /** Takes a retry after an upstream declined the request; returns false if none is allowed. */
    public acquireAfterDecline(request: InboundRequest): boolean {
        return request.declinedUpstreams.size < maxDeclines && this.acquire(request);
    }

    private acquire(request: InboundRequest): boolean {
        if (remainingMs(request) <= minAttemptMs) {
            return false;
        }
        const taken = this.budget(request.service).trySpend(this.view.entries);
        if (!taken) {
            this.metrics.count("retries_denied_total", { service: request.service });
        }
        return taken;
    }

    private budget(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(this.options);
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
