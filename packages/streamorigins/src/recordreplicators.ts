/** Keeps an entry's records at their replicas, as long as they are useful. */
import { type EventLog, type Metrics, sleep } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { KeyReplicas } from "./keyreplicas.js";
import { type LocalRecord } from "./localrecords.js";
import { maxVersionLength } from "./originrecordstores.js";
import { RecordSender } from "./recordsenders.js";

/** Time for which a record waits for others, in milliseconds. */
const batchMs = 5;
/** Records hashed and queued at a time, so that the event loop isn't blocked. */
const recordsPerBatch = 500;

export class RecordReplicator {
    private readonly senders = new Map<string, RecordSender>();
    private readonly pending = new Set<LocalRecord>();
    private readonly stopping = new AbortController();
    private replicas = new KeyReplicas([]);
    private isBatching = false;

    public constructor(
        private readonly records: () => readonly LocalRecord[],
        private readonly clients: PeerClients,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Sends a record to all its replicas, again if it was sent before. */
    public send(record: LocalRecord): void {
        record.beginSending();
        this.enqueue(record);
    }

    /** Gives up a record. */
    public forget(record: LocalRecord): void {
        this.pending.delete(record);
    }

    /** Sets the members of the control group; records sent so far are sent to the replicas that they lack. */
    public setReplicas(replicas: KeyReplicas): void {
        if (this.replicas === replicas) {
            return;
        }
        this.replicas = replicas;
        for (const [url, sender] of this.senders) {
            if (!replicas.urls.includes(url)) {
                sender.close();
                this.senders.delete(url);
            }
        }
        this.records().filter(record => record.wasSent).forEach(record => this.enqueue(record));
    }

    public close(): void {
        this.stopping.abort();
        this.senders.forEach(sender => sender.close());
    }

    private enqueue(record: LocalRecord): void {
        this.pending.add(record);
        if (!this.isBatching) {
            this.isBatching = true;
            void this.runBatches(this.stopping.signal);
        }
    }

    private async runBatches(signal: AbortSignal): Promise<void> {
        while (this.pending.size > 0 && !signal.aborted) {
            await sleep(batchMs, signal);
            this.queueBatch();
        }
        this.isBatching = false;
    }

    private queueBatch(): void {
        let count = 0;
        for (const record of this.pending) {
            if (count++ === recordsPerBatch) {
                break;
            }
            this.pending.delete(record);
            this.queue(record);
        }
        this.senders.forEach(sender => sender.start());
    }

    private queue(record: LocalRecord): void {
        const { key, softwareVersion } = record;
        if (softwareVersion.length > maxVersionLength) {
            this.metrics.count("stream_origins_dropped_total");
            this.log.warn("stream-origin.dropped", { service: record.service, reason: "version-too-long" });
            return;
        }
        const urls = this.replicas.of(key);
        urls.filter(url => !record.sentTo.includes(url)).forEach(url => this.sender(url).add({ key, softwareVersion }));
        record.sentTo = urls;
    }

    private sender(url: string): RecordSender {
        let sender = this.senders.get(url);
        if (sender === undefined) {
            sender = new RecordSender(url, this.clients, () => this.resendTo(url), this.log, this.metrics);
            this.senders.set(url, sender);
        }
        return sender;
    }

    /** Sends to a restarted member the records that it lost. */
    private resendTo(url: string): void {
        for (const record of this.records().filter(({ sentTo }) => sentTo.includes(url))) {
            record.sentTo = record.sentTo.filter(member => member !== url);
            this.enqueue(record);
        }
    }
}
