/**
 * Decides which connections are accepted while more wait in the kernel than the process can serve. The runtime accepts
 * one connection in each turn of the event loop, so that on a host that lacks processor time thousands wait in the accept
 * queue, and the process spends its time on those whose clients have left long ago.
 *
 * The length of that queue isn't known. It stands for as long as every turn finds a connection in it; once it has stood
 * for too long, all that wait are rejected until a turn finds none.
 */
import { steadyNow } from "@winchpath/core";

/** Share of the tightest objective for which the queue may stand; a rejected client can then still be served in time. */
const standingObjectiveShare = 0.2;
/** Lower bound of that time, in milliseconds; bursts of clients that connect at once take as long. */
const minStandingMs = 50;

/**
 * The same where nobody has told that this host lacks what others have, in objectives and in milliseconds.
 * A queue that stands for so long has a length that the process doesn't work off.
 */
const unaidedObjectives = 2;
const minUnaidedStandingMs = 1000;

/**
 * Connections that a queue which has stood for too long must have held. A process that wasn't scheduled for a while finds
 * a few in turns that lie far apart, and can serve them at once.
 */
const minStandingConnections = 8;

export interface ConnectionCounts {
    readonly admitted: number;
    readonly rejected: number;
}

export class ConnectionLimiter {
    private maxStandingMs = minStandingMs;
    private maxUnaidedStandingMs = minUnaidedStandingMs;
    /** Monotonic time since when every turn of the event loop has found a connection. */
    private standingSince: number | undefined;
    /** Connections that have arrived since then. */
    private standingConnections = 0;
    private admitted = 0;
    private rejected = 0;

    /** Sets the tightest objective among the routes, in milliseconds. */
    public setObjective(objectiveMs: number): void {
        this.maxStandingMs = Math.max(minStandingMs, objectiveMs * standingObjectiveShare);
        this.maxUnaidedStandingMs = Math.max(minUnaidedStandingMs, objectiveMs * unaidedObjectives);
    }

    /** Whether a connection that has arrived is accepted. `isScarce`: whether this host is known to lack what others have. */
    public admit(isScarce = true): boolean {
        const now = steadyNow();
        const maxStandingMs = isScarce ? this.maxStandingMs : this.maxUnaidedStandingMs;
        this.standingSince ??= now;
        this.standingConnections += 1;
        const isAdmitted = now - this.standingSince <= maxStandingMs
            || this.standingConnections <= minStandingConnections;
        if (isAdmitted) {
            this.admitted += 1;
        }
        else {
            this.rejected += 1;
        }
        return isAdmitted;
    }

    /** Returns the connections that have arrived since the last call. */
    public takeCounts(): ConnectionCounts {
        const { admitted, rejected } = this;
        [this.admitted, this.rejected] = [0, 0];
        return { admitted, rejected };
    }

    /** Called when a turn of the event loop has found no connection, so that none waits. */
    public recordEmpty(): void {
        this.standingSince = undefined;
        this.standingConnections = 0;
    }
}
