/** The leader's record of the slots of one service, and how it divides them among entries. */
import { steadyNow } from "@winchpath/core";
import { type SlotReport } from "./slotreports.js";

/** Weight of an entry that neither uses nor wants slots, so that it has some when it needs them. */
const idleWeight = 1;
/** Share of the free slots that an entry may get in advance at once: others may not have reported yet. */
const maxAdvanceShare = 0.5;

/** What a leader may divide, and for how long. */
export interface SlotTerms {
    /** Number of slots of the service. */
    readonly total: number;
    /** Whether leases of earlier leaders may count that this one hasn't heard of. */
    readonly isLearning: boolean;
    /** Validity of a lease in milliseconds. */
    readonly leaseMs: number;
    /** Time for which a slot counts as used after its lease has expired, in milliseconds. */
    readonly retentionMs: number;
}

interface Holder {
    /** Slots that it may hold, by its last report and the answer to it. */
    held: number;
    used: number;
    wanted: number;
    /** Monotonic time at which its lease expires. */
    expiresAt: number;
    /** Whether it has had an answer of this leader, so that it asks no earlier one. */
    hasJoined: boolean;
}

/**
 * The slots that entries may hold together never exceed the total. An entry is taken to hold what it has reported or was
 * granted, whichever is more, until its next report, or until the lease has expired and every retry under it has left the
 * window. A new leader divides only what entries bring along, until whatever else earlier leaders granted no longer counts.
 */
export class SlotLedger {
    private readonly holders = new Map<string, Holder>();
    /** Processes whose slots were added to the pool. */
    private readonly joined = new Set<string>();
    /** Slots that entries have brought along from earlier leaders. */
    private broughtAlong = 0;

    /**
     * Records a report and returns the slots that the entry may hold from now on.
     *
     * @param holder the process of the entry
     * @param hasJoined whether the process has had an answer of this leader before
     */
    public grant(holder: string, report: SlotReport, hasJoined: boolean, terms: SlotTerms): number {
        this.removeExpired(terms);
        if (hasJoined && !this.joined.has(holder)) {
            this.joined.add(holder);
            this.broughtAlong += report.held;
        }
        const { held, used, wanted } = report;
        const expiresAt = steadyNow() + terms.leaseMs;
        const state: Holder = { held, used, wanted, expiresAt, hasJoined };
        this.holders.set(holder, state);
        // Until it has had an answer, an earlier leader may still change its lease.
        const slots = terms.isLearning && !hasJoined ? held : this.divide(state, terms);
        state.held = Math.max(held, slots);
        return slots;
    }

    /** Slots that entries may hold together, as far as this leader knows. */
    public heldByAll(): number {
        return [...this.holders.values()].reduce((sum, { held }) => sum + held, 0);
    }

    private divide(holder: Holder, terms: SlotTerms): number {
        const pool = terms.isLearning ? Math.min(this.broughtAlong, terms.total) : terms.total;
        const counted = [...this.holders.values()].filter(({ hasJoined }) => hasJoined || !terms.isLearning);
        const free = pool - counted.reduce((sum, { held }) => sum + held, 0);
        const target = targetOf(holder, counted, pool);
        if (target <= holder.held) {
            return Math.max(target, holder.used);
        }
        const atOnce = Math.max(holder.wanted, Math.ceil(free * maxAdvanceShare));
        return holder.held + Math.max(0, Math.min(target - holder.held, free, atOnce));
    }

    private removeExpired({ retentionMs }: SlotTerms): void {
        const now = steadyNow();
        for (const [name, { expiresAt }] of this.holders) {
            if (now > expiresAt + retentionMs) {
                this.holders.delete(name);
            }
        }
    }
}

/** An entry's slots in use, and its part of the others: by what entries use and want, and the same for those that don't. */
function targetOf(holder: Holder, holders: readonly Holder[], pool: number): number {
    const now = steadyNow();
    const live = holders.filter(({ expiresAt }) => now < expiresAt);
    const taken = holders.reduce((sum, other) => sum + (now < other.expiresAt ? other.used : other.held), 0);
    const rest = Math.max(0, pool - taken);
    const total = live.reduce((sum, other) => sum + weightOf(other), 0);
    const before = live.slice(0, live.indexOf(holder)).reduce((sum, other) => sum + weightOf(other), 0);
    // Rounded so that the parts of all entries add up.
    const part = (weight: number) => Math.floor(rest * weight / total);
    return holder.used + part(before + weightOf(holder)) - part(before);
}

function weightOf({ used, wanted }: Holder): number {
    return idleWeight + used + wanted;
}
