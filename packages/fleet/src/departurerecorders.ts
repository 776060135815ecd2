/** Commits departures on behalf of the leader; those that are due at the same time share a commit. */
import { Deferred } from "@winchpath/core";
import { type Departure } from "./departures.js";
import { type DepartureState } from "./departurestates.js";

interface WaitingDeparture {
    readonly departure: Departure;
    readonly committed: Deferred<void>;
}

export class DepartureRecorder {
    private waiting: WaitingDeparture[] = [];
    private isCommitting = false;

    /**
     * @param state the replicated departures
     * @param commit commits departures; resolves once they are applied on this replica
     */
    public constructor(
        private readonly state: () => Pick<DepartureState, "includes">,
        private readonly commit: (departures: readonly Departure[]) => Promise<void>,
    ) {}

    /** Resolves once the departure is committed; rejects if that fails. */
    public record(departure: Departure): Promise<void> {
        if (this.state().includes(departure)) {
            return Promise.resolve();
        }
        const committed = new Deferred<void>();
        this.waiting.push({ departure, committed });
        if (!this.isCommitting) {
            void this.commitWaiting();
        }
        return committed.promise;
    }

    private async commitWaiting(): Promise<void> {
        this.isCommitting = true;
        while (this.waiting.length > 0) {
            const batch = this.waiting;
            this.waiting = [];
            try {
                await this.commit(batch.map(({ departure }) => departure));
                batch.forEach(({ committed }) => committed.resolve());
            }
            catch (err) {
                batch.forEach(({ committed }) => committed.reject(err as Error));
            }
        }
        this.isCommitting = false;
    }
}
