/** All attempts that an agent remembers: running, finished, or fenced off before they came. */
import { create } from "@bufbuild/protobuf";
import { Notifier } from "@winchpath/core";
import { FenceOutcome, RunRefusedSchema } from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { refusedChunk, RunRecord, type RunRefusal } from "./records.js";

/** A request that was chosen longer ago than this is refused as late. */
export const lateAfterMs = 10_000;
/** How long an ended attempt or a tombstone is remembered: well beyond the time after which a copy is late. */
export const rememberMs = 6 * lateAfterMs;
const sweepMs = 1000;
/** Bytes of ended answers that are kept in all. */
const maxKeptBytes = 64 * 1024 * 1024;

export class RunTable {
    /** Notified when an attempt ends. */
    public readonly ended = new Notifier();
    private readonly records = new Map<string, RunRecord>();
    private runningCount = 0;
    private sweptAt = 0;

    /** Attempts that run now. */
    public get running(): number {
        return this.runningCount;
    }

    public find(requestId: string, attempt: number): RunRecord | undefined {
        return this.records.get(keyOf(requestId, attempt));
    }

    /** Begins an attempt that is not in the table. */
    public begin(requestId: string, attempt: number, idempotent: boolean): RunRecord {
        this.forgetOld();
        this.runningCount += 1;
        const record = new RunRecord(idempotent, () => {
            this.runningCount -= 1;
            this.ended.notify();
        });
        this.records.set(keyOf(requestId, attempt), record);
        return record;
    }

    /**
     * Tells what became of an attempt; one that never came is refused from now on.
     * `chosenMsAgo`: the age of the report that its upstream was chosen by. An
     * attempt that is not known, and that may have ended and been forgotten since,
     * may have run.
     */
    public fence(requestId: string, attempt: number, chosenMsAgo: number): FenceOutcome {
        const known = this.find(requestId, attempt);
        if (known !== undefined) {
            return known.outcome;
        }
        if (chosenMsAgo >= rememberMs) {
            return FenceOutcome.FORGOTTEN;
        }
        const tombstone = this.begin(requestId, attempt, true);
        tombstone.finish(FenceOutcome.NEVER, { refused: create(RunRefusedSchema) });
        return FenceOutcome.NEVER;
    }

    /** Ends an attempt that the upstream did not begin; the same attempt is refused later too. */
    public refuse(record: RunRecord, refusal: RunRefusal): void {
        const { refused } = refusedChunk(refusal);
        record.finish(FenceOutcome.NEVER, { refused });
    }

    /** Cuts off what is still running. */
    public abortAll(): void {
        this.records.forEach(record => record.abort.abort());
    }

    /** Drops what can't matter any more, then whole answers, oldest first, above the limit. */
    private forgetOld(): void {
        if (Date.now() - this.sweptAt < sweepMs) {
            return;
        }
        this.sweptAt = Date.now();
        const horizon = this.sweptAt - rememberMs;
        let kept = 0;
        for (const [key, record] of this.records) {
            if (record.endedAt !== undefined && record.endedAt < horizon) {
                this.records.delete(key);
            }
            else if (record.endedAt !== undefined) {
                kept += record.keptBytes;
            }
        }
        for (const record of this.records.values()) {
            if (kept <= maxKeptBytes) {
                return;
            }
            if (record.endedAt !== undefined) {
                kept -= record.keptBytes;
                record.dropAnswer();
            }
        }
    }
}

function keyOf(requestId: string, attempt: number): string {
    return `${requestId}#${attempt}`;
}
