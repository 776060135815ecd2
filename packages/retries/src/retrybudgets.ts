/** Limits the retries of one entry to one service, so that the retries of all entries cannot amplify an outage. */
import { type EventFields, steadyNow } from "@winchpath/core";
import { RequestCredit } from "./requestcredits.js";
import { type RetryBound } from "./retrybounds.js";
import { SlotLease } from "./slotleases.js";
import { type SlotReport } from "./slotreports.js";

/** What allows a retry: the requests that this entry has received, or a slot that the leader has leased to it. */
export type RetryBasis = "requests" | "slot";

/** A retry that was decided and isn't sent yet. */
export interface RetryReservation {
    readonly basis: RetryBasis;
    /** Monotonic time of the decision. */
    readonly decidedAt: number;
}

/** A retry that was sent. */
export interface SentRetry {
    readonly basis: RetryBasis;
    /** Time from the decision to sending, in milliseconds. */
    readonly waitedMs: number;
}

/**
 * A retry is reserved when it is decided, and counted when it is sent: it may wait in between, and arrives in another window
 * then. What allowed it may have expired by the time, so this is checked again.
 */
export class RetryBudget {
    private readonly credit: RequestCredit;
    private readonly lease: SlotLease;
    private readonly reservations = new Set<RetryReservation>();
    /** Retries that were denied since the last report. */
    private wanted = 0;
    /** Whether the leader can give slots to others that it doesn't know to be free. */
    private hasReturned = false;

    /** @param bound may change while the process runs */
    public constructor(bound: () => RetryBound) {
        this.credit = new RequestCredit(bound);
        this.lease = new SlotLease(bound);
    }

    /** Records a request of a client, which allows a part of a retry. */
    public recordRequest(): void {
        this.credit.recordRequest();
    }

    /** Reserves a retry until it is sent or released; returns undefined if none is left. */
    public reserve(): RetryReservation | undefined {
        const basis = this.availableBasis();
        if (basis === undefined) {
            this.wanted += 1;
            return undefined;
        }
        const reservation = { basis, decidedAt: steadyNow() };
        this.reservations.add(reservation);
        if (basis === "slot") {
            this.lease.reserve();
        }
        return reservation;
    }

    /** Whether a reserved retry may be sent now. */
    public maySend({ basis }: RetryReservation): boolean {
        return basis === "slot" ? this.lease.isValid : this.credit.allows(this.reservedByRequests());
    }

    /** Counts a reserved retry that is sent now. */
    public send(reservation: RetryReservation): SentRetry {
        this.release(reservation);
        const { basis, decidedAt } = reservation;
        if (basis === "slot") {
            this.lease.recordRetry();
        }
        else {
            this.credit.recordRetry();
        }
        return { basis, waitedMs: steadyNow() - decidedAt };
    }

    /** Returns a reserved retry that won't be sent. */
    public release(reservation: RetryReservation): void {
        if (this.reservations.delete(reservation) && reservation.basis === "slot") {
            this.lease.release();
        }
    }

    /** Whether the leader should hear from this entry soon: it lacks slots, or others can have some that it held. */
    public get hasNews(): boolean {
        return this.wanted > 0 || this.hasReturned;
    }

    /** Creates the report on this service, and resets the counters that it contains. */
    public createReport(service: string): SlotReport {
        const { wanted, lease: { held, used } } = this;
        this.wanted = 0;
        this.hasReturned = false;
        return { service, held, used, wanted };
    }

    /** Applies the leader's answer to a report. */
    public applyGrant(slots: number, expiresAt: number): void {
        this.hasReturned = this.lease.renew(slots, expiresAt);
    }

    /** State of the lease, for logs. */
    public get logFields(): EventFields {
        const { held, used, remainingMs } = this.lease;
        const leaseMs = Number.isFinite(remainingMs) ? Math.round(remainingMs) : undefined;
        return { slots: held, slotsUsed: used, leaseMs };
    }

    private availableBasis(): RetryBasis | undefined {
        if (this.credit.allows(this.reservedByRequests() + 1)) {
            return "requests";
        }
        return this.lease.hasFree ? "slot" : undefined;
    }

    private reservedByRequests(): number {
        return [...this.reservations].filter(({ basis }) => basis === "requests").length;
    }
}
