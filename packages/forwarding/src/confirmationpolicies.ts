/** Decides when a request waits until the entry's configuration is confirmed to be the latest one. */
import { type ConfigurationConfirmer, type FleetView } from "@winchpath/fleet";

/** Longest wait of a request for a confirmation, in milliseconds. */
const maxWaitMs = 600;
/** Part of the client's time for which a request waits. */
const waitShare = 0.3;
/** Share of the time to put a configuration in force after which the held one may be outdated. */
const suspicionShare = 0.85;

/** What a decision by the held configuration may rest on. */
export type Confirmation =
    /** Every configuration acknowledged before the request is known here. */
    | "confirmed"
    /** A change may be overdue, and the control group can't be asked. */
    | "cut-off"
    /** A change may be overdue, and the control group has not told yet. */
    | "unconfirmed";

export class ConfirmationPolicy {
    /** `applyMs`: time within which an acknowledged configuration must be in force. */
    public constructor(
        private readonly view: Pick<FleetView<unknown>, "confirmedAgeMs">,
        private readonly confirmer: Pick<ConfigurationConfirmer<unknown>, "confirm" | "isCutOff">,
        private readonly applyMs: number,
    ) {}

    /** Whether an acknowledged change may be overdue. */
    public get mayBeOutdated(): boolean {
        return this.view.confirmedAgeMs > this.applyMs * suspicionShare;
    }

    /** Waits for a confirmation as long as the client's time, in milliseconds, allows. */
    public async confirm(deadlineMs = Number.POSITIVE_INFINITY): Promise<Confirmation> {
        if (await this.confirmer.confirm(Math.min(maxWaitMs, deadlineMs * waitShare))) {
            return "confirmed";
        }
        return this.confirmer.isCutOff ? "cut-off" : "unconfirmed";
    }
}
