/** What entries and the leader tell each other about slots. */

/** The state of an entry's lease for one service. */
export interface SlotReport {
    readonly service: string;
    /** Slots that no other entry may use. */
    readonly held: number;
    /** The part of them that is in use. */
    readonly used: number;
    /** Retries that were denied since the last report. */
    readonly wanted: number;
}

/** The leases of one process of an entry. */
export interface SlotReports {
    readonly entry: string;
    /** Identifies the process of the entry: the next one knows nothing of its leases. */
    readonly process: number;
    /** Increases with each report of the process. */
    readonly sequence: number;
    /** Term of the leader that has answered last; 0 if none has. */
    readonly term: number;
    readonly services: readonly SlotReport[];
}

/** The leader's answer for one service. */
export interface SlotGrant {
    readonly service: string;
    /** Slots that the entry may hold from now on, those that it holds already included. */
    readonly slots: number;
}

/** The leader's answer to all reports of an entry. */
export interface SlotGrants {
    /** Term of the leader. */
    readonly term: number;
    /** Validity of the slots in milliseconds, counted from the creation of the report. */
    readonly lifeMs: number;
    readonly services: readonly SlotGrant[];
}
