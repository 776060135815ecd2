/** What the leader has told this entry about its host. */
import { steadyNow } from "@winchpath/core";
import { type HostGrant } from "./gen/winchpath/fleet/v1/fleet_pb.js";

export class HostGrants {
    private hostRatio = 1;
    /** Monotonic time until which this entry may withdraw its readiness. */
    private withdrawUntil = Number.NEGATIVE_INFINITY;

    /** Ratio of the largest to the smallest processor share among live entries; 1 if unknown. */
    public get ratio(): number {
        return this.hostRatio;
    }

    /** Whether the leader has granted this entry to withdraw its readiness; expires without further responses. */
    public get mayWithdraw(): boolean {
        return steadyNow() < this.withdrawUntil;
    }

    /**
     * Applies the grant of a response; `answeredAt`: a monotonic time not later than when the leader gave it, so that
     * the grant ends here before it ends at the leader. `complete`: whether the leader has heard from all entries;
     * until then the ratio of its predecessor holds.
     */
    public apply(grant: HostGrant | undefined, answeredAt: number, complete: boolean): void {
        if (complete) {
            const ratio = grant?.hostRatio ?? 1;
            this.hostRatio = Number.isFinite(ratio) && ratio > 1 ? ratio : 1;
        }
        this.withdrawUntil = grant?.mayWithdraw === true ? answeredAt + grant.lifeMs : Number.NEGATIVE_INFINITY;
    }
}
