/** Records of a member of the control group, kept in memory: which software version began a stream. */
import { type EventLog, type Metrics } from "@winchpath/core";
import { randomUUID } from "node:crypto";
import { ExpiringTable } from "./expiringtables.js";
import { keyBytes, keyText } from "./streamkeys.js";

/** Longest time in which a client takes a stream up again, in milliseconds. */
export const comeBackMs = 60_000;
/** Interval at which entries send the record of a stream that goes on, in milliseconds. */
export const resendIntervalMs = 20_000;

const maxRecords = 200_000;
const maxRecordBytes = 48 * 1024 * 1024;
/** Memory of a record besides its key and version: its places in the table, in bytes. */
const recordOverheadBytes = 160;
/** Longer versions are rejected. */
export const maxVersionLength = 256;

/** A record as its stream's entry sends it. */
export interface VersionRecord {
    /** See `streamKey`. */
    readonly key: Uint8Array;
    readonly softwareVersion: string;
}

export interface StoreLimits {
    readonly maxRecords: number;
    readonly maxBytes: number;
}

export class OriginRecordStore {
    /** Differs between stores, and so after a restart. */
    public readonly id = randomUUID();
    private readonly table: ExpiringTable<string>;

    public constructor(
        private readonly log: EventLog,
        private readonly metrics: Metrics,
        limits: StoreLimits = { maxRecords, maxBytes: maxRecordBytes },
    ) {
        this.table = new ExpiringTable(
            {
                lifetimeMs: comeBackMs + resendIntervalMs,
                maxEntries: limits.maxRecords,
                maxBytes: limits.maxBytes,
            },
            () => this.metrics.count("stream_origins_evicted_total", { at: "member" }),
        );
    }

    public get size(): number {
        return this.table.size;
    }

    /** Estimated memory of the records. */
    public get bytes(): number {
        return this.table.bytes;
    }

    /** Adds a record or refreshes it; a record of another version stays as it is, and isn't refreshed. */
    public record({ key, softwareVersion }: VersionRecord): void {
        const text = keyText(key);
        const existing = this.table.get(text);
        if (existing !== undefined && existing !== softwareVersion) {
            this.metrics.count("stream_origins_conflicting_total", { at: "member" });
            this.log.warn("stream-origin.conflicting", { at: "member", recorded: existing, offered: softwareVersion });
            return;
        }
        this.table.put(text, softwareVersion, keyBytes + softwareVersion.length + recordOverheadBytes);
    }

    /** Returns the software version that began the stream; undefined if there is no record. */
    public find(key: Uint8Array): string | undefined {
        return this.table.get(keyText(key));
    }
}
