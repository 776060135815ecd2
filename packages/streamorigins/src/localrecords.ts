/** An entry's records of the streams that it forwarded recently. */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import { ExpiringTable } from "./expiringtables.js";
import { comeBackMs } from "./originrecordstores.js";
import { type StreamIdentity } from "./origins.js";
import { identityText, streamKey } from "./streamkeys.js";

const maxRecords = 100_000;
const maxRecordBytes = 32 * 1024 * 1024;
/** Memory of a record besides its identity's text, in bytes. */
const recordOverheadBytes = 250;

export class LocalRecord {
    /** Members to which the record was sent, or waits to be sent. */
    public sentTo: readonly string[] = [];
    private sentAt = Number.NEGATIVE_INFINITY;
    private computedKey: Uint8Array | undefined;

    public constructor(
        public readonly service: string,
        public readonly softwareVersion: string,
        /** See `identityText`. */
        public readonly text: string,
    ) {}

    /** Computed on first use: most records are never sent. */
    public get key(): Uint8Array {
        return this.computedKey ??= streamKey(this.text);
    }

    public get wasSent(): boolean {
        return this.sentAt !== Number.NEGATIVE_INFINITY;
    }

    /** Time since the record began to be sent to all its replicas; infinite if it never was. */
    public get sentAgeMs(): number {
        return steadyNow() - this.sentAt;
    }

    /** Begins to send the record to all its replicas. */
    public beginSending(): void {
        this.sentTo = [];
        this.sentAt = steadyNow();
    }
}

/** Bounded table of local records; the oldest are evicted first. */
export class LocalRecords {
    private readonly table: ExpiringTable<LocalRecord>;

    public constructor(
        onEvict: (record: LocalRecord) => void,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.table = new ExpiringTable(
            { lifetimeMs: comeBackMs, maxEntries: maxRecords, maxBytes: maxRecordBytes },
            record => {
                this.metrics.count("stream_origins_evicted_total", { at: "entry" });
                onEvict(record);
            },
        );
    }

    public get size(): number {
        return this.table.size;
    }

    /** Estimated memory of the records. */
    public get bytes(): number {
        return this.table.bytes;
    }

    /** Adds or refreshes the record of a stream; undefined if there is one of another version, which stays. */
    public put(stream: StreamIdentity, softwareVersion: string): LocalRecord | undefined {
        const text = identityText(stream);
        const existing = this.table.get(text);
        if (existing !== undefined && existing.softwareVersion !== softwareVersion) {
            const { id, service } = stream;
            const recorded = existing.softwareVersion;
            this.metrics.count("stream_origins_conflicting_total", { at: "entry" });
            this.log.warn("stream-origin.conflicting", {
                at: "entry",
                id,
                service,
                recorded,
                offered: softwareVersion,
            });
            return undefined;
        }
        const record = existing ?? new LocalRecord(stream.service, softwareVersion, text);
        this.table.put(text, record, text.length + softwareVersion.length + recordOverheadBytes);
        return record;
    }

    public get(text: string): LocalRecord | undefined {
        return this.table.get(text);
    }

    /** Records that have not expired, oldest first. */
    public values(): LocalRecord[] {
        return this.table.values();
    }
}
