/**
 * The slots that the leader has leased to an entry for one service. A slot is in use from the decision to retry until a
 * window after the retry was sent, so an entry with n slots sends at most n retries in any window.
 */
import { steadyNow } from "@winchpath/core";
import { type RetryBound, transitMs } from "./retrybounds.js";

export class SlotLease {
    private slots = 0;
    /** Monotonic time after which no slot may be used. */
    private expiresAt = Number.NEGATIVE_INFINITY;
    /** Retries that were decided and not sent yet. */
    private reserved = 0;
    /** Monotonic times at which retries were sent, ascending. */
    private sentAt: number[] = [];

    /** @param bound may change while the process runs */
    public constructor(private readonly bound: () => RetryBound) {}

    /** Number of slots that are in use. */
    public get used(): number {
        const { windowMs } = this.bound();
        const from = steadyNow() - windowMs - transitMs;
        while (this.sentAt.length > 0 && this.sentAt[0] <= from) {
            this.sentAt.shift();
        }
        return this.reserved + this.sentAt.length;
    }

    /** Number of slots that no other entry may use now. */
    public get held(): number {
        return Math.max(this.isValid ? this.slots : 0, this.used);
    }

    /** Milliseconds until the lease expires; negative once it has. */
    public get remainingMs(): number {
        return this.expiresAt - steadyNow();
    }

    public get isValid(): boolean {
        return this.remainingMs > 0;
    }

    public get hasFree(): boolean {
        return this.isValid && this.used < this.slots;
    }

    /** Takes a free slot for a retry that will be sent later. */
    public reserve(): void {
        this.reserved += 1;
    }

    /** Returns the slot of a retry that won't be sent. */
    public release(): void {
        this.reserved -= 1;
    }

    /** Records that a retry without reservation is sent now. */
    public recordRetry(): void {
        this.sentAt.push(steadyNow());
    }

    /** Applies a grant. Slots in use stay in use, also if there are fewer now. Returns whether there are fewer. */
    public renew(slots: number, expiresAt: number): boolean {
        const hasFewer = this.isValid && slots < this.slots;
        this.slots = slots;
        this.expiresAt = expiresAt;
        return hasFewer;
    }
}
