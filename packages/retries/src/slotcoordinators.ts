/** The leader's side of slots: leases them to entries, for each service. */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type RetryBound, transitMs } from "./retrybounds.js";
import { SlotLedger, type SlotTerms } from "./slotledgers.js";
import { type SlotGrant, type SlotGrants, type SlotReports } from "./slotreports.js";

/** Validity of a lease, in milliseconds: longer than it takes to elect a leader. */
export const slotLeaseMs = 5000;

export interface SlotCoordinatorOptions {
    /** Term of this leadership. */
    readonly term: number;
    /** Whether the group has had no leader before, so that no lease can exist. */
    readonly isFirst: boolean;
    /** Monotonic time of the election. */
    readonly electedAt: number;
    /** Time for which an earlier leader may have granted leases after the election of this one, in milliseconds. */
    readonly maxOverlapMs: number;
    /** May change while the process runs. */
    readonly bound: () => RetryBound;
    readonly log: EventLog;
}

/** Lives as long as a leadership. */
export class SlotCoordinator {
    private readonly ledgers = new Map<string, SlotLedger>();
    /** Sequence number of the last report, by process. */
    private readonly sequences = new Map<string, number>();

    public constructor(private readonly options: SlotCoordinatorOptions) {}

    /** Term of the leadership. */
    public get term(): number {
        return this.options.term;
    }

    /** Records the reports of an entry, and renews or changes its leases. */
    public processReports(reports: SlotReports): SlotGrants {
        const { term, log } = this.options;
        const { entry } = reports;
        if (reports.term > term) {
            log.warn("retries.later-leader", { entry, term, entryTerm: reports.term });
            return this.grants([]);
        }
        const holder = `${entry}/${reports.process}`;
        if (reports.sequence <= (this.sequences.get(holder) ?? 0)) {
            // Overtaken by a later report; the entry has given up waiting for the answer.
            return this.grants([]);
        }
        this.sequences.set(holder, reports.sequence);
        const terms = this.terms();
        return this.grants(reports.services.map(report => ({
            service: report.service,
            slots: this.ledger(report.service).grant(holder, report, reports.term === term, terms),
        })));
    }

    private grants(services: readonly SlotGrant[]): SlotGrants {
        return { term: this.options.term, lifeMs: slotLeaseMs, services };
    }

    private terms(): SlotTerms {
        const { slack, windowMs } = this.options.bound();
        const retentionMs = windowMs + transitMs;
        const { isFirst, maxOverlapMs, electedAt } = this.options;
        const learningMs = isFirst ? 0 : maxOverlapMs + slotLeaseMs + retentionMs;
        return {
            total: Math.floor(slack),
            isLearning: steadyNow() - electedAt < learningMs,
            leaseMs: slotLeaseMs,
            retentionMs,
        };
    }

    private ledger(service: string): SlotLedger {
        let ledger = this.ledgers.get(service);
        if (ledger === undefined) {
            ledger = new SlotLedger();
            this.ledgers.set(service, ledger);
        }
        return ledger;
    }
}
