/** An entry's copy of the software versions of each service. */
import { type PollResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";

export class ReceivedSoftwareVersions {
    private byService: ReadonlyMap<string, readonly string[]> = new Map();
    private epoch = "";
    private position = 0n;
    private confirmedUntil = Number.NEGATIVE_INFINITY;

    /** Undefined if nothing was received in the leadership. */
    public positionIn(epoch: string): bigint | undefined {
        return epoch === this.epoch ? this.position : undefined;
    }

    /** Monotonic time up to which every committed version is known here. */
    public get confirmedAt(): number {
        return this.confirmedUntil;
    }

    public of(service: string): readonly string[] {
        return this.byService.get(service) ?? [];
    }

    /** Applies a response that includes everything committed until `confirmedAt`. */
    public apply(res: PollResponse, confirmedAt: number): void {
        if (!res.softwareVersionsKnown) {
            return;
        }
        if (res.softwareVersionsListed) {
            this.byService = new Map(res.softwareVersions.map(({ service, versions }) => [service, versions]));
            this.epoch = res.epoch;
            this.position = res.softwareVersionPosition;
        }
        // An unlisted position confirms the copy only if the copy has it.
        if (res.softwareVersionPosition === this.positionIn(res.epoch)) {
            this.confirmedUntil = Math.max(this.confirmedUntil, confirmedAt);
        }
    }
}
