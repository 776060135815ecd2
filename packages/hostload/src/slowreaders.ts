/**
 * Bounds the bytes that a process holds for clients: bodies of their requests, and responses that they read slowly.
 * Beyond the bound the responses that have stalled for longest are ended, since the process would otherwise run out of
 * memory and cut off all of them. Responses alone never exceed the bound after a check; for the sake of bodies only stalled
 * responses are ended, and none while the bodies alone exceed the bound, since that would not help.
 */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";

/**
 * A response counts as stalled if its client has read nothing for this long, in milliseconds. A client that reads pauses
 * for less, by a few round trips and the retransmission of a lost packet.
 */
const minStalledMs = 1000;

/** A response that is being sent to a client. */
export interface HeldOutput {
    /** Bytes that wait for the client to read. */
    heldBytes(): number;
    /** Bytes that the client's connection has taken so far. */
    takenBytes(): number;
    /** Ends the response and closes its connection. */
    end(): void;
}

/** A request that is counted until it is released. */
export interface HeldRequest {
    /** Id of the request for logs, once it is known. */
    id: string | undefined;
    /** Counts bytes of the request's body. */
    addBody(bytes: number): void;
    /** Has no effect if repeated. */
    release(): void;
}

class Tracked implements HeldRequest {
    public id: string | undefined;
    public bodyBytes = 0;
    public heldBytes = 0;
    /** Monotonic time at which the client last took something, or had nothing to take. */
    public progressAt = steadyNow();
    private takenBytes = 0;

    public constructor(private readonly limiter: SlowReaderLimiter, public readonly output: HeldOutput) {}

    public addBody(bytes: number): void {
        this.limiter.addBody(this, bytes);
    }

    public release(): void {
        this.limiter.release(this);
    }

    public update(now: number): void {
        const takenBytes = this.output.takenBytes();
        this.heldBytes = this.output.heldBytes();
        if (this.heldBytes === 0 || takenBytes !== this.takenBytes) {
            this.progressAt = now;
        }
        this.takenBytes = takenBytes;
    }
}

export class SlowReaderLimiter {
    private readonly tracked = new Set<Tracked>();
    private bodyBytes = 0;
    private outputBytes = 0;

    /** `boundBytes`: undefined for no limit. */
    public constructor(
        private readonly boundBytes: number | undefined,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Bytes held as of the last check, and bodies as of now. */
    public get heldBytes(): number {
        return this.bodyBytes + this.outputBytes;
    }

    /** Held bytes as a share of the bound; 0 without one. */
    public get heldShare(): number {
        return this.boundBytes === undefined ? 0 : this.heldBytes / this.boundBytes;
    }

    /** Number of requests that are tracked. */
    public get size(): number {
        return this.tracked.size;
    }

    public track(output: HeldOutput): HeldRequest {
        const tracked = new Tracked(this, output);
        this.tracked.add(tracked);
        return tracked;
    }

    /** Counts bytes of a request's body. */
    public addBody(tracked: Tracked, bytes: number): void {
        if (this.tracked.has(tracked)) {
            tracked.bodyBytes += bytes;
            this.bodyBytes += bytes;
        }
    }

    public release(tracked: Tracked): void {
        if (this.tracked.delete(tracked)) {
            this.bodyBytes -= tracked.bodyBytes;
            this.outputBytes -= tracked.heldBytes;
        }
    }

    /** Called at short intervals; ends responses while more is held than allowed. */
    public check(): void {
        if (this.boundBytes === undefined || this.tracked.size === 0) {
            return;
        }
        const now = steadyNow();
        this.outputBytes = 0;
        for (const tracked of this.tracked) {
            tracked.update(now);
            this.outputBytes += tracked.heldBytes;
        }
        const { boundBytes } = this;
        if (this.bodyBytes <= boundBytes) {
            this.endSlowest(
                () => this.heldBytes > boundBytes,
                ({ progressAt }) => now - progressAt >= minStalledMs,
                now,
            );
        }
        this.endSlowest(() => this.outputBytes > boundBytes, () => true, now);
    }

    /** Ends eligible responses, those that have stalled for longest first, while too much is held. */
    private endSlowest(isExceeded: () => boolean, isEligible: (tracked: Tracked) => boolean, now: number): void {
        if (!isExceeded()) {
            return;
        }
        const slowest = [...this.tracked]
            .filter(tracked => tracked.heldBytes > 0 && isEligible(tracked))
            .sort((a, b) => a.progressAt - b.progressAt || b.heldBytes - a.heldBytes);
        for (const tracked of slowest) {
            if (!isExceeded()) {
                return;
            }
            this.end(tracked, now);
        }
    }

    private end(tracked: Tracked, now: number): void {
        this.metrics.count("slow_readers_ended_total");
        this.log.warn("response.ended", {
            request: tracked.id,
            reason: "slow-reader",
            heldBytes: tracked.heldBytes,
            stalledMs: Math.round(now - tracked.progressAt),
            totalBytes: this.heldBytes,
            boundBytes: this.boundBytes,
        });
        this.release(tracked);
        tracked.output.end();
    }
}
