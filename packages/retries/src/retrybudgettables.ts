/** The retry budgets of an entry, by service, and its part of the exchange with the leader about slots. */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import { type RetryBound } from "./retrybounds.js";
import { RetryBudget } from "./retrybudgets.js";
import { type SlotGrants, type SlotReport } from "./slotreports.js";

/** Leases are renewed at this interval without other reasons to report, in milliseconds. */
const renewalMs = 2000;
/** The same if the leader hasn't answered the last report, such as one that isn't ready yet. */
const unansweredMs = 500;
/** An early report is requested at most this often, in milliseconds: slots move no faster between entries. */
const earlyReportMs = 250;

export interface RetryBudgetTableOptions {
    /** May change while the process runs. */
    readonly bound: () => RetryBound;
    /** Services whose slots are leased ahead, before a retry needs one. */
    readonly services: () => readonly string[];
    /** Called when the leader should be contacted soon. */
    readonly requestReport: () => void;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class RetryBudgetTable {
    private readonly budgets = new Map<string, RetryBudget>();
    /** Slots granted last, by service. */
    private readonly granted = new Map<string, number>();
    /** Monotonic time of the last report. */
    private reportedAt = Number.NEGATIVE_INFINITY;
    /** Whether the leader has answered the last report. */
    private isAnswered = true;
    private answeredTerm = 0;

    public constructor(private readonly options: RetryBudgetTableOptions) {}

    public of(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(this.options.bound);
            this.budgets.set(service, budget);
        }
        return budget;
    }

    /** Requests an early report, after a retry was denied or slots were returned; the next regular one tells it otherwise. */
    public reportSoon(): void {
        if (steadyNow() - this.reportedAt >= earlyReportMs) {
            this.options.requestReport();
        }
    }

    /** Term of the leader that has answered last; 0 if none has. */
    public get term(): number {
        return this.answeredTerm;
    }

    /** Whether there is something to tell the leader, or leases have to be renewed. */
    public get hasReports(): boolean {
        return this.isRenewalDue || [...this.budgets.values()].some(({ hasNews }) => hasNews);
    }

    /** Requests a report if leases have to be renewed; called when the leader or the services may have changed. */
    public refresh(): void {
        if (this.isRenewalDue) {
            this.options.requestReport();
        }
    }

    private get isRenewalDue(): boolean {
        const intervalMs = this.isAnswered ? renewalMs : unansweredMs;
        return steadyNow() - this.reportedAt >= intervalMs && this.services.size > 0;
    }

    private get services(): ReadonlySet<string> {
        return new Set([...this.options.services(), ...this.budgets.keys()]);
    }

    public createReports(): SlotReport[] {
        this.reportedAt = steadyNow();
        this.isAnswered = false;
        return [...this.services].map(service => this.of(service).createReport(service));
    }

    /** Applies the leader's answer to reports that were created at `askedAt` (monotonic). */
    public applyGrants({ term, lifeMs, services }: SlotGrants, askedAt: number): void {
        if (term < this.answeredTerm) {
            return;
        }
        this.isAnswered = true;
        this.answeredTerm = term;
        for (const { service, slots } of services) {
            this.of(service).applyGrant(slots, askedAt + lifeMs);
            this.recordGrant(service, slots);
        }
        if ([...this.budgets.values()].some(({ hasNews }) => hasNews)) {
            this.reportSoon();
        }
    }

    private recordGrant(service: string, slots: number): void {
        const { log, metrics } = this.options;
        const before = this.granted.get(service);
        if (before !== slots) {
            this.granted.set(service, slots);
            metrics.setGauge("retry_slots", slots, { service });
            log.info("retries.slots", { service, before, term: this.answeredTerm, ...this.of(service).logFields });
        }
    }
}
