/** Whether a request may be sent once more: by its route, its time and the budget that all entries share. */
import { type Metrics } from "@winchpath/core";
import { type FleetView } from "@winchpath/fleet";
import { type RetryBudgetOptions, WindowBudget } from "./budgets.js";
import { type Job, leftMs } from "./jobs.js";
import { leastAttemptMs } from "./patiences.js";

/** Upstreams that may decline a request before it is given up. */
const maxDeclined = 3;

export class Retries {
    /** By service. */
    private readonly budgets = new Map<string, WindowBudget>();

    public constructor(
        private readonly view: Pick<FleetView<unknown>, "entries">,
        private readonly options: RetryBudgetOptions,
        private readonly metrics: Metrics,
    ) {}

    /** A request has come, which earns a share of a retry. */
    public arrived(job: Job): void {
        this.budget(job.service).request();
    }

    /** Takes a retry of a request that an upstream has failed, or lost; false where there is none. */
    public takeAfterFailure(job: Job): boolean {
        return job.tried.length < job.route.maxAttempts && this.take(job);
    }

    /** Takes a retry of a request that an upstream has not run; false where there is none. */
    public takeAfterDecline(job: Job): boolean {
        return job.declined.size < maxDeclined && this.take(job);
    }

    private take(job: Job): boolean {
        if (leftMs(job) <= leastAttemptMs) {
            return false;
        }
        const taken = this.budget(job.service).spend(this.view.entries);
        if (!taken) {
            this.metrics.count("retries_denied_total", { service: job.service });
        }
        return taken;
    }

    private budget(service: string): WindowBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = new WindowBudget(this.options);
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
