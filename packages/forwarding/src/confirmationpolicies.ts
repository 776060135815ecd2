/** Decides when a request waits until the entry's configuration is confirmed to be the latest one. */
import { steadyNow } from "@winchpath/core";
import { type ConfigurationConfirmer, type FleetView } from "@winchpath/fleet";

/** Longest wait of a request that would be denied, in milliseconds. */
const maxDenialWaitMs = 600;
/** Part of the client's time for which such a request waits. */
const denialWaitShare = 0.3;
/** Wait of a request that would be served by a configuration which may be outdated, in milliseconds. */
const servingWaitMs = 100;
/** Share of the time to put a configuration in force after which the held one may be outdated. */
const suspicionShare = 0.85;
/** Time after a wait without a confirmation in which requests are served without waiting, in milliseconds. */
const servingPauseMs = 5000;

export class ConfirmationPolicy {
    private unconfirmedUntil = Number.NEGATIVE_INFINITY;

    /** `applyMs`: time within which an acknowledged configuration must be in force. */
    public constructor(
        private readonly view: Pick<FleetView<unknown>, "confirmedAgeMs">,
        private readonly confirmer: Pick<ConfigurationConfirmer<unknown>, "confirm">,
        private readonly applyMs: number,
    ) {}

    /**
     * Resolves to whether every configuration acknowledged before the call is known. Asks only if the request would be
     * denied, or if a change may be overdue; otherwise resolves to false without waiting.
     */
    public async confirmIfNeeded(isAllowed: boolean, deadlineMs = Number.POSITIVE_INFINITY): Promise<boolean> {
        if (!isAllowed) {
            return this.confirmer.confirm(Math.min(maxDenialWaitMs, deadlineMs * denialWaitShare));
        }
        if (!this.mayBeOutdated || steadyNow() < this.unconfirmedUntil) {
            return false;
        }
        const confirmed = await this.confirmer.confirm(servingWaitMs);
        if (!confirmed) {
            // Serving continues while the control group cannot be reached.
            this.unconfirmedUntil = steadyNow() + servingPauseMs;
        }
        return confirmed;
    }

    private get mayBeOutdated(): boolean {
        return this.view.confirmedAgeMs > this.applyMs * suspicionShare;
    }
}
