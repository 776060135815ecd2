/** Leases retry slots to entries while this host leads; each leadership has a record of its own. */
import { type Replica } from "@winchpath/consensus";
import { type EventLog, steadyNow } from "@winchpath/core";
import {
    type RetryBound,
    SlotCoordinator,
    type SlotGrants,
    type SlotLessor,
    type SlotReports,
} from "@winchpath/retries";

/**
 * A leader without quorum contact for longer leases nothing, in milliseconds. Another host may have been elected since; it
 * waits at least this long until it takes what this one has leased to be known.
 */
const maxQuorumAgeMs = 2000;

export class SlotGranter implements SlotLessor {
    private coordinator: SlotCoordinator | undefined;

    /** @param bound may change while the process runs */
    public constructor(
        private readonly replica: () => Pick<Replica, "readyLeadership"> | undefined,
        private readonly bound: () => RetryBound,
        private readonly log: EventLog,
    ) {}

    public processReports(reports: SlotReports): SlotGrants | undefined {
        const leading = this.replica()?.readyLeadership;
        if (leading === undefined || leading.quorumAgeMs >= maxQuorumAgeMs) {
            return undefined;
        }
        if (this.coordinator?.term !== Number(leading.term)) {
            this.coordinator = this.createCoordinator(leading);
        }
        return this.coordinator.processReports(reports);
    }

    private createCoordinator(
        { term, isFirst, leadershipAgeMs }: NonNullable<Replica["readyLeadership"]>,
    ): SlotCoordinator {
        return new SlotCoordinator({
            term: Number(term),
            isFirst,
            electedAt: steadyNow() - leadershipAgeMs,
            maxOverlapMs: maxQuorumAgeMs,
            bound: this.bound,
            log: this.log,
        });
    }
}
