/** An entry's copy of the upstreams and the configuration, which stays usable while no leader is reachable. */
import { AvailabilityTracker } from "@winchpath/availability";
import { type EventLog, type Metrics, Notifier, steadyNow } from "@winchpath/core";
import { type QuarantineChanges, QuarantineList } from "@winchpath/quarantine";
import { ReceivedLimits } from "./admissioncoordinators.js";
import { covers, type Departure, isOfUnknownStart } from "./departures.js";
import { decodeDeparture, decodeQuarantine, decodeUpstream } from "./encodings.js";
import {
    type ConfirmResponse,
    type PollResponse,
    type Upstream,
    UpstreamState,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { HostGrants } from "./hostgrants.js";
import { supersedes } from "./incarnations.js";
import { ReceivedSoftwareVersions } from "./receivedversions.js";

/** Bound on the quarantined requests in one log line. */
const maxLoggedRequests = 16;

/** Parses a configuration document. Logs the reason and returns undefined if the document is invalid. */
export type DocumentReader<C> = (text: string, version: number) => C | undefined;

/** An upstream as last told by a leader. */
interface KnownUpstream {
    readonly upstream: Upstream;
    /** Epoch and term of the leadership that told it. */
    readonly epoch: string;
    readonly term: number;
    /** Monotonic time at which it was told. */
    readonly at: number;
}

export class FleetView<C> {
    /** Notified after each change. */
    public readonly changed = new Notifier();
    public readonly quarantine = new QuarantineList();
    /** What the leader has told about this entry's host. */
    public readonly hosts = new HostGrants();
    /** Admission limits of the leader. */
    public readonly admission = new ReceivedLimits();
    private readonly upstreamsById = new Map<string, KnownUpstream>();
    /** Ids of the current incarnations by name and by address. */
    private readonly idOfName = new Map<string, string>();
    private readonly idAtAddress = new Map<string, string>();
    private current: { readonly version: number; readonly configuration: C; } | undefined;
    private liveEntries = 1;
    private lastResponseAt = Number.NEGATIVE_INFINITY;
    private readonly receivedVersions = new ReceivedSoftwareVersions();
    private confirmedUntil = Number.NEGATIVE_INFINITY;

    /** `availability`: draining state and rate limits that upstreams have reported to this process or the leader. */
    public constructor(
        private readonly readDocument: DocumentReader<C>,
        private readonly log: EventLog,
        public readonly availability = new AvailabilityTracker(),
        private readonly metrics?: Metrics,
    ) {}

    public get configuration(): C | undefined {
        return this.current?.configuration;
    }

    /** Version of the active document; 0 if there is none. */
    public get version(): number {
        return this.current?.version ?? 0;
    }

    /** Number of live entries, including this one. */
    public get entries(): number {
        return this.liveEntries;
    }

    /** Milliseconds since the last response of the leader. */
    public get ageMs(): number {
        return steadyNow() - this.lastResponseAt;
    }

    public upstreams(): Upstream[] {
        return [...this.upstreamsById.values()].map(({ upstream }) => upstream);
    }

    public get(id: string): Upstream | undefined {
        return this.upstreamsById.get(id)?.upstream;
    }

    /**
     * Milliseconds until the first upstream that loads a model should be ready; undefined if none loads it.
     *
     * @param softwareVersion the only version of upstreams to consider; undefined for all
     */
    public readyInMs(service: string, model: string, softwareVersion?: string): number | undefined {
        const now = steadyNow();
        const waits = [...this.upstreamsById.values()]
            .filter(({ upstream }) => upstream.service === service && upstream.state === UpstreamState.READY)
            .filter(({ upstream }) => softwareVersion === undefined || upstream.softwareVersion === softwareVersion)
            .flatMap(({ upstream, at }) =>
                upstream.models
                    .filter(held => held.name === model && held.readyInMs > 0)
                    .map(held => Math.max(0, at + held.readyInMs - now))
            );
        return waits.length === 0 ? undefined : Math.min(...waits);
    }

    /**
     * Monotonic time up to which every acknowledged document is known here. Computed from the time of the
     * request, how long the leader held it, and when a majority last confirmed that leader.
     */
    public get confirmedAt(): number {
        return this.confirmedUntil;
    }

    /** Milliseconds since {@link confirmedAt}. */
    public get confirmedAgeMs(): number {
        return steadyNow() - this.confirmedUntil;
    }

    /**
     * Committed software versions of a service's upstreams; empty if unknown. Complete as of
     * {@link softwareVersionsConfirmedAgeMs} ago. Upstreams with a further version are distributed only `versionHoldMs`
     * after it is committed.
     */
    public softwareVersions(service: string): readonly string[] {
        return this.receivedVersions.of(service);
    }

    /** Position of the software versions that were received in a leadership; undefined if none were. */
    public softwareVersionPositionIn(epoch: string): bigint | undefined {
        return this.receivedVersions.positionIn(epoch);
    }

    /** Age in milliseconds for which {@link softwareVersions} is known to be complete; infinite if it never was. */
    public get softwareVersionsConfirmedAgeMs(): number {
        return steadyNow() - this.receivedVersions.confirmedAt;
    }

    /** Applies a response of the leader; `sentAt`: monotonic time at which the request was sent. */
    public apply(res: PollResponse, sentAt = Number.NEGATIVE_INFINITY): void {
        this.lastResponseAt = steadyNow();
        this.updateEntries(res);
        this.hosts.apply(res.host, sentAt + res.waitedMs, res.complete);
        this.admission.apply(res, this.lastResponseAt);
        this.quarantine.setKey(res.fingerprintKey);
        this.applyQuarantine(decodeQuarantine(res));
        // Before upstreams, so that one is never known without its version.
        this.receivedVersions.apply(res, sentAt + res.waitedMs - res.quorumAgeMs);
        // Kept across leaders: the next one may accept a delayed announcement of such an upstream.
        res.left.forEach(id => this.availability.markDraining(id));
        res.departures.forEach(departure => this.applyDeparture(decodeDeparture(departure), res.epoch));
        res.removed.forEach(id => this.removeReported(id, res.epoch));
        res.changed.forEach(bytes => this.update(decodeUpstream(bytes), res));
        if (res.complete) {
            this.deleteUnconfirmed(res.epoch);
        }
        if (res.documentText !== "") {
            this.updateDocument(res.documentText, Number(res.documentVersion), res.documentAgeMs);
        }
        if (Number(res.documentVersion) <= this.version) {
            // Not reached if the newest document is invalid here.
            this.confirmedUntil = Math.max(this.confirmedUntil, sentAt + res.waitedMs - res.quorumAgeMs);
        }
        this.changed.notify();
    }

    private updateEntries({ entries, epoch }: Pick<PollResponse, "entries" | "epoch">): void {
        const before = this.liveEntries;
        this.liveEntries = Math.max(1, entries);
        if (this.liveEntries !== before) {
            this.log.info("feed.entries", { entries: this.liveEntries, before, epoch });
        }
    }

    private applyQuarantine(changes: QuarantineChanges): void {
        this.quarantine.applyChanges(changes);
        const { position, whole, listed, removed } = changes;
        if (listed.length > 0 || removed.length > 0) {
            this.log.info("quarantine.in-force", {
                position,
                whole,
                listed: listed.slice(0, maxLoggedRequests).map(({ fingerprint, standing, occasions }) =>
                    `${fingerprint} ${standing} ${occasions}`
                ),
                listedCount: listed.length,
                removedCount: removed.length,
            });
        }
    }

    /** Applies a confirmation of the document by a quorum read; `sentAt`: monotonic time at which it was requested. */
    public applyConfirmation(res: ConfirmResponse, sentAt: number): void {
        const version = Number(res.documentVersion);
        if (res.documentText !== "") {
            this.updateDocument(res.documentText, version, res.documentAgeMs);
        }
        // An older version comes from a host that is still restoring its state.
        if (version === this.version) {
            this.confirmedUntil = Math.max(this.confirmedUntil, sentAt);
        }
        this.changed.notify();
    }

    /** Stops sending to the run that a departure names, whichever leader has told of that run. */
    private applyDeparture(departure: Departure, epoch: string): void {
        const known = this.upstreamsById.get(this.idOfName.get(departure.name) ?? "");
        if (known === undefined) {
            return;
        }
        // The leader that recorded the departure did not know the run, so a run that it or a later one has told is another.
        const wasCurrent = isOfUnknownStart(departure) && known.term < departure.term;
        if (!wasCurrent && !covers(departure, known.upstream)) {
            return;
        }
        const { upstream } = known;
        upstream.state = UpstreamState.DRAINING;
        if (this.availability.markDraining(upstream.id)) {
            const { hasLeft: left, term } = departure;
            this.log.info("upstream.departed", { upstream: upstream.id, left, term, epoch, toldBy: known.epoch });
        }
    }

    private update(upstream: Upstream, { epoch, term }: Pick<PollResponse, "epoch" | "term">): void {
        const holder = this.getByName(upstream.name);
        if (holder !== undefined && supersedes(holder, upstream)) {
            // A new leader may have received a delayed announcement of an earlier incarnation.
            return;
        }
        const before = this.upstreamsById.get(upstream.id);
        if (upstream.state === UpstreamState.DRAINING) {
            this.availability.markDraining(upstream.id);
        }
        else if (this.availability.isDraining(upstream.id)) {
            // The leader may not know yet that the upstream drains, or may have removed it in the meantime.
            upstream.state = UpstreamState.DRAINING;
        }
        if (upstream.limited) {
            this.availability.rates.recordKnownLimit(upstream.id);
        }
        if (before?.upstream.state !== upstream.state) {
            this.log.info("upstream.known", {
                upstream: upstream.id,
                service: upstream.service,
                softwareVersion: upstream.softwareVersion,
                state: upstream.state === UpstreamState.DRAINING ? "draining" : "ready",
                epoch,
            });
        }
        this.upstreamsById.set(upstream.id, { upstream, epoch, term: Number(term), at: steadyNow() });
        this.claim(this.idOfName, upstream.name, upstream.id);
        this.claim(this.idAtAddress, upstream.address, upstream.id);
    }

    /** The current incarnation of a name. */
    public getByName(name: string): Upstream | undefined {
        return this.get(this.idOfName.get(name) ?? "");
    }

    /** Assigns a name or an address to an incarnation, and deletes its previous owner. */
    private claim(owners: Map<string, string>, key: string, id: string): void {
        const before = this.get(owners.get(key) ?? "");
        owners.set(key, id);
        const isOther = before !== undefined && before.id !== id;
        if (isOther && (before.name === key || before.address === key)) {
            this.delete(before.id);
        }
    }

    private removeReported(id: string, epoch: string): void {
        if (this.get(id) !== undefined) {
            this.log.info("upstream.forgotten", { upstream: id, epoch });
            this.delete(id);
        }
    }

    private delete(id: string): void {
        const upstream = this.get(id);
        if (upstream === undefined) {
            return;
        }
        this.upstreamsById.delete(id);
        if (this.idOfName.get(upstream.name) === id) {
            this.idOfName.delete(upstream.name);
        }
        if (this.idAtAddress.get(upstream.address) === id) {
            this.idAtAddress.delete(upstream.address);
        }
    }

    /** Deletes upstreams that the current leader has not confirmed. */
    private deleteUnconfirmed(epoch: string): void {
        for (const [id, record] of this.upstreamsById) {
            if (record.epoch !== epoch) {
                this.delete(id);
                this.log.info("upstream.unconfirmed", { upstream: id, epoch });
            }
        }
    }

    /** Activates a document if it is newer than the active one, whichever leader sent it. */
    private updateDocument(text: string, version: number, appliedAgeMs: number): void {
        if (version <= this.version) {
            return;
        }
        const configuration = this.readDocument(text, version);
        if (configuration !== undefined) {
            this.current = { version, configuration };
            this.metrics?.histogram("configuration_in_force").record(appliedAgeMs);
            this.log.info("configuration.in-force", {
                version,
                appliedAgeMs,
                confirmedAgeMs: Math.round(this.confirmedAgeMs),
            });
        }
    }
}
