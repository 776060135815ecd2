/** The attempts known to an agent: running, finished, or fenced before they arrived. */
import { create } from "@bufbuild/protobuf";
import { Notifier } from "@winchpath/core";
import { FenceOutcome, RunRefusedSchema } from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { refusedChunk, RunRecord, type RunRefusal } from "./runrecords.js";

/** A request is refused as late if its upstream was chosen longer ago than this. */
export const lateAfterMs = 10_000;
/** How long ended attempts and tombstones are retained; must exceed {@link lateAfterMs}, so that late copies are detected. */
export const retentionMs = 6 * lateAfterMs;
const sweepIntervalMs = 1000;
/** Total bytes of ended responses that are retained. */
const maxRetainedBytes = 64 * 1024 * 1024;

export class RunTable {
    /** Notified when an attempt ends. */
    public readonly ended = new Notifier();
    private readonly records = new Map<string, RunRecord>();
    private runningCount = 0;
    private lastSweepAt = 0;

    /** Number of running attempts. */
    public get running(): number {
        return this.runningCount;
    }

    public find(requestId: string, attempt: number): RunRecord | undefined {
        return this.records.get(keyOf(requestId, attempt));
    }

    /** Adds a running attempt, which must not be in the table yet. */
    public begin(requestId: string, attempt: number, idempotent: boolean): RunRecord {
        this.removeExpired();
        this.runningCount += 1;
        const record = new RunRecord(idempotent, () => {
            this.runningCount -= 1;
            this.ended.notify();
        });
        this.records.set(keyOf(requestId, attempt), record);
        return record;
    }

    /**
     * Returns an attempt's outcome. An unknown attempt gets a tombstone, so that it is refused should it still
     * arrive. `reportAgeMs`: age of the report by which its upstream was chosen; if that exceeds the retention time,
     * an unknown attempt may have run and been removed.
     */
    public fence(requestId: string, attempt: number, reportAgeMs: number): FenceOutcome {
        const existing = this.find(requestId, attempt);
        if (existing !== undefined) {
            return existing.outcome;
        }
        if (reportAgeMs >= retentionMs) {
            return FenceOutcome.FORGOTTEN;
        }
        const tombstone = this.begin(requestId, attempt, true);
        tombstone.finish(FenceOutcome.NEVER, { refused: create(RunRefusedSchema) });
        return FenceOutcome.NEVER;
    }

    /** Ends an attempt that the upstream did not start; later copies of it are refused as well. */
    public refuse(record: RunRecord, refusal: RunRefusal): void {
        const { refused } = refusedChunk(refusal);
        record.finish(FenceOutcome.NEVER, { refused });
    }

    /** Aborts all running attempts. */
    public abortAll(): void {
        this.records.forEach(record => record.abort.abort());
    }

    /** Removes expired attempts, then drops responses, oldest first, until the size limit is met. */
    private removeExpired(): void {
        if (Date.now() - this.lastSweepAt < sweepIntervalMs) {
            return;
        }
        this.lastSweepAt = Date.now();
        const cutoff = this.lastSweepAt - retentionMs;
        let retained = 0;
        for (const [key, record] of this.records) {
            if (record.endedAt !== undefined && record.endedAt < cutoff) {
                this.records.delete(key);
            }
            else if (record.endedAt !== undefined) {
                retained += record.retainedBytes;
            }
        }
        for (const record of this.records.values()) {
            if (retained <= maxRetainedBytes) {
                return;
            }
            if (record.endedAt !== undefined) {
                retained -= record.retainedBytes;
                record.dropResponse();
            }
        }
    }
}

function keyOf(requestId: string, attempt: number): string {
    return `${requestId}#${attempt}`;
}
