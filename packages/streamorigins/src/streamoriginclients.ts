/** Records and finds, for an entry, which software version began a stream. */
import { type EventLog, type Metrics } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { KeyReplicas } from "./keyreplicas.js";
import { type LocalRecord, LocalRecords } from "./localrecords.js";
import { lookUpOrigin } from "./originlookups.js";
import { resendIntervalMs } from "./originrecordstores.js";
import { type StreamIdentity, type StreamOrigin, type StreamOrigins } from "./origins.js";
import { RecordFinder } from "./recordfinders.js";
import { RecordReplicator } from "./recordreplicators.js";
import { identityText, streamKey } from "./streamkeys.js";

/** What the entry knows of software versions and of the control group. */
export interface VersionView {
    /** Versions of a service in the replicated state; empty if unknown. */
    softwareVersions(service: string): readonly string[];
    /** Time since the versions were last known to be complete, counted from the start of the question. */
    readonly softwareVersionsConfirmedAgeMs: number;
    /** URLs of the members of the control group. */
    controlUrls(): readonly string[];
}

/**
 * Greatest age of a confirmed set of versions from which conclusions are drawn, in milliseconds. A service's
 * further versions serve 1,500 ms after entries could learn of them at the earliest; the rest is a margin.
 */
const maxConfirmedAgeMs = 3900;
const findTimeoutMs = 300;

export class StreamOriginClient implements StreamOrigins {
    private readonly records: LocalRecords;
    private readonly replicator: RecordReplicator;
    private readonly finders = new Map<string, RecordFinder>();
    /** Services with local records, each with whether its records are sent to members. */
    private readonly services = new Map<string, boolean>();
    private replicas = new KeyReplicas([]);
    private sharesAll = false;
    private readonly lookups = new Map<string, Promise<StreamOrigin>>();

    public constructor(
        private readonly view: VersionView,
        private readonly clients: PeerClients,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.records = new LocalRecords(record => this.replicator.forget(record), log, metrics);
        this.replicator = new RecordReplicator(() => this.records.values(), clients, log, metrics);
    }

    public record(stream: StreamIdentity, softwareVersion: string): void {
        const record = this.records.put(stream, softwareVersion);
        if (record === undefined) {
            return;
        }
        const { service } = stream;
        const isShared = this.services.get(service) ?? false;
        this.services.set(service, isShared);
        if (!this.sharesAll && this.soleVersion(service) === softwareVersion) {
            return;
        }
        if (!isShared) {
            this.share(new Set([service]));
        }
        else {
            this.sendIfDue(record);
        }
    }

    public async find(stream: StreamIdentity, signal: AbortSignal): Promise<StreamOrigin> {
        const text = identityText(stream);
        const softwareVersion = this.records.get(text)?.softwareVersion ?? this.soleVersion(stream.service);
        if (softwareVersion !== undefined) {
            return { kind: "known", softwareVersion };
        }
        const origin = await untilAborted(this.lookUp(text), signal);
        this.metrics.count("stream_origin_lookups_total", { outcome: outcomeOf(origin) });
        if (origin.kind === "unknown") {
            const { id, service } = stream;
            this.log.warn("stream-origin.unknown", { id, service, reason: origin.reason, aborted: signal.aborted });
        }
        return origin;
    }

    /** Takes over changes of the view; to be called after each one, and once a second. */
    public refresh(): void {
        const changed = new Set<string>();
        for (const [service, isShared] of this.services) {
            const needsSharing = this.sharesAll || this.soleVersion(service) === undefined;
            if (needsSharing && !isShared) {
                changed.add(service);
            }
            this.services.set(service, needsSharing);
        }
        this.updateReplicas();
        this.share(changed);
        this.metrics.setGauge("stream_origins_local", this.records.size);
    }

    /** Sends the records of all services from now on, because this entry can't do it once it has stopped. */
    public prepareStop(): void {
        this.sharesAll = true;
        this.refresh();
    }

    /** Ends sending; what was not sent yet is lost. */
    public close(): void {
        this.replicator.close();
    }

    /** The only version that can have begun streams of a service; undefined if there may be several. */
    private soleVersion(service: string): string | undefined {
        const versions = this.view.softwareVersions(service);
        const isConfirmed = this.view.softwareVersionsConfirmedAgeMs < maxConfirmedAgeMs;
        return isConfirmed && versions.length === 1 ? versions[0] : undefined;
    }

    /** Begins to send the records of services, with those of recent streams. */
    private share(services: ReadonlySet<string>): void {
        if (services.size === 0) {
            return;
        }
        services.forEach(service => this.services.set(service, true));
        this.updateReplicas();
        this.records.values().filter(({ service }) => services.has(service)).forEach(rec => this.sendIfDue(rec));
    }

    private sendIfDue(record: LocalRecord): void {
        if (record.sentAgeMs >= resendIntervalMs) {
            this.replicator.send(record);
        }
    }

    /** Calls for the same stream share one lookup. */
    private lookUp(text: string): Promise<StreamOrigin> {
        let lookup = this.lookups.get(text);
        if (lookup === undefined) {
            this.updateReplicas();
            const ask = (url: string, key: Uint8Array) => this.finder(url).find(key);
            lookup = lookUpOrigin(streamKey(text), this.replicas, ask, findTimeoutMs)
                .finally(() => this.lookups.delete(text));
            this.lookups.set(text, lookup);
        }
        return lookup;
    }

    private finder(url: string): RecordFinder {
        let finder = this.finders.get(url);
        if (finder === undefined) {
            finder = new RecordFinder(url, this.clients, findTimeoutMs);
            this.finders.set(url, finder);
        }
        return finder;
    }

    private updateReplicas(): void {
        const urls = this.view.controlUrls();
        if (this.replicas.equals(urls)) {
            return;
        }
        this.replicas = new KeyReplicas(urls);
        this.replicator.setReplicas(this.replicas);
        [...this.finders.keys()].filter(url => !urls.includes(url)).forEach(url => this.finders.delete(url));
    }
}

/** Resolves like the lookup, or as unreachable when the signal is aborted. */
async function untilAborted(lookup: Promise<StreamOrigin>, signal: AbortSignal): Promise<StreamOrigin> {
    const unreachable: StreamOrigin = { kind: "unknown", reason: "unreachable" };
    if (signal.aborted) {
        return unreachable;
    }
    let onAbort!: () => void;
    const aborted = new Promise<StreamOrigin>(resolve => onAbort = () => resolve(unreachable));
    signal.addEventListener("abort", onAbort, { once: true });
    try {
        return await Promise.race([lookup, aborted]);
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
}

function outcomeOf(origin: StreamOrigin): string {
    return origin.kind === "known" ? "found" : origin.reason;
}
