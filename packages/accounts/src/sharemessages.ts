/** Messages between entries and the leader about shares of accounts. Work is in prompt tokens, or requests. */

/**
 * Time after which an entry that is silent, or a lack of capacity that isn't reported again, no longer counts, in
 * milliseconds: several report intervals.
 */
export const shareLifetimeMs = 3000;
/** Time for which a new leader learns from all entries before its positions count: two report intervals, in milliseconds. */
export const learningMs = 1000;
/**
 * Positions expire after this time without news, in milliseconds: the last report is up to 500 ms old when a leader is
 * lost, another one takes over within 3 s and has to learn, and the next report follows within 500 ms.
 */
export const positionLifetimeMs = 500 + 3000 + learningMs + 500;

/** Level of a report without requests that lack capacity; priorities are lower. */
export const noLevel = 255;

/** Work of an account at a service, as seen by one entry; totals since the entry's process started. */
export interface WorkCounts {
    readonly service: string;
    readonly account: string;
    /** Work of requests that were sent to an upstream. */
    readonly served: number;
    /** Work of all requests that competed for capacity: those that were sent, or lacked it. */
    readonly asked: number;
    /** Requests that are waiting for capacity now, and their work. */
    readonly waiting: number;
    readonly backlog: number;
    /**
     * Priority of the most urgent request that lacks capacity: it waits, or was rejected since the last report because all
     * upstreams were full. {@link noLevel} if there is none.
     */
    readonly level: number;
}

/** Report of one entry. */
export interface WorkReport {
    readonly entry: string;
    /** Start time of the process in milliseconds; identifies it, since totals restart with a new one. */
    readonly process: number;
    /** Increases with each report of the process. */
    readonly sequence: number;
    /** Whether the counts of all accounts with requests are included, rather than only those that have changed. */
    readonly isComplete: boolean;
    readonly counts: readonly WorkCounts[];
    /** Number of live entries, including this one. */
    readonly entries: number;
}

/** Position of an account among all accounts of a service. */
export interface SharePosition {
    readonly service: string;
    readonly account: string;
    /** Work served over all entries since the leader took over, divided by the account's weight. */
    readonly virtualWork: number;
    /** Whether the account asks for more than its share while others lack capacity. */
    readonly overShare: boolean;
    /** Work per second that the entry may send for an account that is over its share, whatever is left for others. */
    readonly workPerSecond: number;
    /** Requests of an account that is over its share are held back from this priority on. */
    readonly heldFromLevel: number;
}

/** Returned by the entry's side of the shares, see `AccountShares`. */
export interface ShareMeter {
    /** Counts that have changed since the last report, or all of them. */
    workCounts(isComplete: boolean): WorkCounts[];
    /** Applies the leader's answer to a report of `counts`. */
    applyPositions(counts: readonly WorkCounts[], positions: readonly SharePosition[]): void;
}
