/** Sends an entry's records to one member of the control group. */
import { Code, ConnectError } from "@connectrpc/connect";
import { type EventLog, messageOf, type Metrics, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { StreamOriginService } from "./gen/winchpath/streamorigins/v1/streamorigins_pb.js";
import { type VersionRecord } from "./originrecordstores.js";
import { maxBatchSize } from "./originservices.js";
import { joinKeys, keyText } from "./streamkeys.js";

const callTimeoutMs = 600;
/** Pause after a failed call, in milliseconds. */
const retryMs = 100;
/** Pause after a call as a multiple of its duration, so that a busy member gets fewer and larger calls. */
const pauseFactor = 2;
const maxPauseMs = 100;
const maxQueuedRecords = 20_000;
/** Records dropped at a time from a full queue; removing single ones from the front of a large map is slow. */
const dropCount = 1000;

export class RecordSender {
    private readonly queue = new Map<string, VersionRecord>();
    private readonly stopping = new AbortController();
    private storeId = "";
    private sending = false;
    private dropped = 0;

    public constructor(
        private readonly url: string,
        private readonly clients: PeerClients,
        private readonly onRestart: () => void,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Number of records that wait; failed ones wait for the next call. */
    public get queued(): number {
        return this.queue.size;
    }

    /** Queues a record; the oldest are dropped if too many wait. */
    public add(record: VersionRecord): void {
        this.queue.set(keyText(record.key), record);
        if (this.queue.size > maxQueuedRecords) {
            this.dropOldest();
        }
    }

    /** Starts sending what is queued, unless that goes on already. */
    public start(): void {
        if (!this.sending) {
            this.sending = true;
            void this.sendAll();
        }
    }

    /** Ends sending; what is queued is discarded. */
    public close(): void {
        this.stopping.abort();
        this.queue.clear();
    }

    private async sendAll(): Promise<void> {
        const { signal } = this.stopping;
        while (this.queue.size > 0 && !signal.aborted) {
            const batch = [...this.queue.values()].slice(0, maxBatchSize);
            const startedAt = steadyNow();
            if (await this.send(batch, signal)) {
                this.removeSent(batch);
                await sleep(Math.min(maxPauseMs, pauseFactor * (steadyNow() - startedAt)), signal);
            }
            else {
                await sleep(retryMs, signal);
            }
        }
        this.sending = false;
    }

    /** Returns whether the batch is done with. */
    private async send(batch: readonly VersionRecord[], signal: AbortSignal): Promise<boolean> {
        this.logDropped();
        try {
            const client = this.clients.client(StreamOriginService, this.url);
            const { storeId } = await client.record({ versions: groupByVersion(batch) }, {
                timeoutMs: callTimeoutMs,
                signal,
            });
            this.metrics.count("stream_origins_sent_total", {}, batch.length);
            this.noteStore(storeId);
            return true;
        }
        catch (err) {
            this.log.warn("stream-origin.not-sent", { host: this.url, records: batch.length, error: messageOf(err) });
            return err instanceof ConnectError && err.code === Code.InvalidArgument;
        }
    }

    private removeSent(batch: readonly VersionRecord[]): void {
        for (const record of batch) {
            const text = keyText(record.key);
            // A record that was queued again meanwhile is sent again.
            if (this.queue.get(text) === record) {
                this.queue.delete(text);
            }
        }
    }

    private noteStore(storeId: string): void {
        const restarted = this.storeId !== "" && this.storeId !== storeId;
        this.storeId = storeId;
        if (restarted) {
            this.log.info("stream-origin.member-restarted", { host: this.url });
            this.onRestart();
        }
    }

    private dropOldest(): void {
        [...this.queue.keys()].slice(0, dropCount).forEach(key => this.queue.delete(key));
        this.dropped += dropCount;
        this.metrics.count("stream_origins_dropped_total", {}, dropCount);
    }

    private logDropped(): void {
        if (this.dropped > 0) {
            this.log.warn("stream-origin.dropped", { host: this.url, records: this.dropped });
            this.dropped = 0;
        }
    }
}

function groupByVersion(records: readonly VersionRecord[]) {
    const keysByVersion = new Map<string, Uint8Array[]>();
    for (const { key, softwareVersion } of records) {
        const keys = keysByVersion.get(softwareVersion) ?? [];
        keys.push(key);
        keysByVersion.set(softwareVersion, keys);
    }
    return [...keysByVersion].map(([softwareVersion, keys]) => ({ softwareVersion, keys: joinKeys(keys) }));
}
