/** The control leader's registry of announced upstreams. */
import { clone, equals } from "@bufbuild/protobuf";
import { DrainTracker } from "@winchpath/availability";
import { type EventLog, eventLoop, Notifier, steadyNow } from "@winchpath/core";
import { ChangeLog } from "./changelogs.js";
import { DelayedAnnouncements } from "./delayedannouncements.js";
import { type Departure, DepartureSet } from "./departures.js";
import {
    type Announcement,
    type EngineTiming,
    type HeldModel,
    HeldModelSchema,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { EndedIncarnations, type Incarnation, supersedes } from "./incarnations.js";
import { PendingAnnouncements } from "./pendingannouncements.js";
import {
    createUpstreamRecord,
    isProbablyDown,
    recordContact,
    type RegisteredUpstream,
    type UpstreamRecord,
} from "./registeredupstreams.js";
import {
    type DepartureResult,
    type InheritedState,
    type RecordedDeparture,
    type RegistryChanges,
} from "./registrychanges.js";
import { RemovalLog } from "./removallogs.js";
import { type VersionKey } from "./softwareversions.js";
import { reducesTraffic, upstreamLogFields } from "./upstreamchanges.js";

/**
 * An upstream is removed after this long without an announcement, ten default intervals. Entries detect failures
 * themselves, so this only frees stale records.
 */
const expireAfterMs = 12_000;
/** An upstream owns its address until this long after its last announcement; two default intervals. */
const addressHeldMs = 2400;
/** Replaced incarnations that are remembered. */
const maxReplaced = 2000;
/** Sequence numbers up to this one come from a process that has just started. */
const maxInitialSequence = 2n;

export class Registry {
    /** Notified after each change. */
    public readonly changed = new Notifier();
    /** Notified when an upstream is held back. */
    public readonly heldBackChanged = new Notifier();
    /** Ids of upstreams that aren't distributed to entries yet. */
    private readonly heldBackIds = new Set<string>();
    private readonly upstreams = new Map<string, UpstreamRecord>();
    /** Ids of the current incarnations by name and by address. */
    private readonly idOfName = new Map<string, string>();
    private readonly idAtAddress = new Map<string, string>();
    private readonly endedIncarnations = new EndedIncarnations();
    private readonly changes = new ChangeLog();
    private readonly pending: PendingAnnouncements;
    /** Survives leader changes and expiry: an incarnation that drains never becomes ready again. */
    private readonly drainingIds = new DrainTracker();
    /** Departures that entries are told of, whether the upstreams are known or not. */
    private readonly departures = new DepartureSet<RecordedDeparture>();
    private lastDeparturePosition = 0;
    private term = 0;
    private readonly delayedAnnouncements = new DelayedAnnouncements();
    /** Incarnations that lost their name or address to another one without draining first. */
    private readonly replaced = new Set<string>();
    private readonly removals = new RemovalLog();
    private lastPosition = 0;
    private lastUrgentPosition = 0;

    /**
     * `isKnownService`: whether the configuration declares a service. `isAdmitted`: whether upstreams with a software
     * version may be distributed to entries.
     */
    public constructor(
        private readonly log: EventLog,
        private readonly isKnownService = (_service: string) => true,
        private readonly isAdmitted = (_version: VersionKey) => true,
    ) {
        this.pending = new PendingAnnouncements(log);
    }

    /** Position of the latest change. */
    public get position(): number {
        return this.lastPosition;
    }

    /** Position of the latest change that requires entries to route requests differently. */
    public get urgentPosition(): number {
        return this.lastUrgentPosition;
    }

    public get(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id);
    }

    /** Whether an upstream of this name is known. */
    public knowsName(name: string): boolean {
        return this.getByName(name) !== undefined;
    }

    /** Whether another incarnation has taken over the name or address of one that never drained. */
    public wasReplaced(id: string): boolean {
        return this.replaced.has(id);
    }

    public all(): RegisteredUpstream[] {
        return [...this.upstreams.values()];
    }

    /** Upstreams that aren't distributed to entries yet because of their software versions. */
    public heldBack(): Upstream[] {
        return [...this.heldBackIds].map(id => this.upstreams.get(id)!.upstream);
    }

    /** Distributes held-back upstreams whose software versions have been admitted. */
    public releaseAdmitted(): void {
        for (const { id, service, softwareVersion: version } of this.heldBack()) {
            if (this.isAdmitted({ service, version })) {
                this.heldBackIds.delete(id);
                this.log.info("upstream.released", { upstream: id, service, softwareVersion: version });
                this.recordChange(this.upstreams.get(id)!);
            }
        }
    }

    /** Applies an announcement. Returns the position that entries must reach to have seen it. */
    public announce(announcement: Announcement): number {
        const upstream = announcement.upstream!;
        const position = this.applyIfCurrent(announcement);
        if (upstream.state !== UpstreamState.DRAINING) {
            return position;
        }
        // Also if the announcement itself changed nothing: entries may know the upstream from an earlier leader.
        return Math.max(position, this.recordDeparture(this.departureOf(upstream)));
    }

    /** The departure that a draining announcement tells. */
    public departureOf({ name, born, softwareVersion }: Incarnation): Departure {
        return { name, born, softwareVersion, hasLeft: false, term: this.term };
    }

    /** Applies an announcement unless it is outdated, or may be. */
    private applyIfCurrent(announcement: Announcement): number {
        const upstream = announcement.upstream!;
        if (!this.isKnownService(upstream.service)) {
            this.pending.add(announcement);
            return this.lastPosition;
        }
        const known = this.upstreams.get(upstream.id);
        if (this.isSuperseded(upstream) || (known !== undefined && announcement.sequence <= known.sequence)) {
            return this.lastPosition;
        }
        if (known === undefined && this.mayBeDelayed(announcement)) {
            this.log.info("announcement.doubted", { upstream: upstream.id, address: upstream.address });
            return this.lastPosition;
        }
        this.removePreviousIncarnation(upstream);
        this.claimAddress(upstream);
        const record = known ?? createUpstreamRecord(announcement);
        this.upstreams.set(upstream.id, record);
        this.idOfName.set(upstream.name, upstream.id);
        record.sequence = announcement.sequence;
        recordContact(record);
        record.inMemory = new Set(announcement.inMemory);
        record.onDisk = new Set(announcement.onDisk);
        this.applyAnnouncement(record, upstream, known === undefined);
        return record.position;
    }

    /** Records an announcement without changes. Returns false if the upstream is unknown. */
    public reaffirm(id: string, sequence: bigint): boolean {
        const record = this.upstreams.get(id);
        if (record === undefined) {
            return false;
        }
        if (sequence > record.sequence) {
            record.sequence = sequence;
            recordContact(record);
        }
        return true;
    }

    /** Applies announcements that were held back for unknown services; called after configuration changes. */
    public admitPending(): void {
        this.pending.drain().forEach(announcement => this.announce(announcement));
    }

    /**
     * Removes an upstream that has deregistered, and its earlier incarnations. A `born` of 0 stands for the
     * current incarnation.
     */
    public leave(name: string, born = 0n): DepartureResult {
        const known = this.getByName(name);
        const isCurrent = known !== undefined && (born === 0n || born === known.born);
        const departed = isCurrent ? known : { name, born };
        this.endedIncarnations.markEnded(departed);
        const departure = {
            name,
            born: departed.born,
            softwareVersion: isCurrent ? known.softwareVersion : undefined,
            hasLeft: true,
            term: this.term,
        };
        if (known !== undefined && !supersedes(known, departed)) {
            this.drainingIds.add(known.id);
            this.remove(known.id, "left");
        }
        return { departure, position: this.recordDeparture(departure) };
    }

    /**
     * Records a departure whether the upstream is known or not. Returns the position that entries must reach to have seen
     * it.
     */
    public recordDeparture(departure: Departure): number {
        const known = this.departures.find(departure);
        if (known !== undefined) {
            return known.position;
        }
        const current = this.getByName(departure.name);
        if (current !== undefined && supersedes(current, departure) && !this.heldBackIds.has(current.id)) {
            // Entries that know the current run have forgotten the departed one.
            return this.upstreams.get(current.id)!.position;
        }
        this.lastPosition += 1;
        this.lastUrgentPosition = this.lastPosition;
        this.lastDeparturePosition = this.lastPosition;
        this.departures.add({ ...departure, at: steadyNow(), position: this.lastPosition });
        if (current !== undefined && this.departures.covers(current)) {
            // The announcement that told it may have been too old to apply.
            this.drainingIds.add(current.id);
            this.amend(current.id, next => next.state = UpstreamState.DRAINING);
        }
        this.changed.notify();
        return this.lastPosition;
    }

    /** Marks an upstream as draining after one of its responses has said so, whatever it announces. */
    public markDraining(id: string, from: string): void {
        if (this.drainingIds.add(id)) {
            this.log.info("upstream.leaving", { upstream: id, told: "answer", from });
        }
        this.amend(id, next => next.state = UpstreamState.DRAINING);
    }

    /** Sets the models that an engine holds, as read from it or as changed by orders. */
    public setModels(id: string, models: readonly HeldModel[]): void {
        const record = this.upstreams.get(id);
        if (record !== undefined) {
            record.modelsFromOrders = true;
            this.amend(id, next => next.models = models.map(model => clone(HeldModelSchema, model)));
        }
    }

    /** Sets the percentage of requests that an upstream fails. */
    public setFailingPercent(id: string, percent: number): void {
        const record = this.upstreams.get(id);
        if (record !== undefined && record.upstream.failingPercent !== percent) {
            this.log.info("upstream.health", { upstream: id, failingPercent: percent });
            this.amend(id, next => next.failingPercent = percent);
        }
    }

    /** Sets whether an upstream has announced a rate limit. */
    public setRateLimited(id: string, limited: boolean): void {
        this.amend(id, next => next.limited = limited);
    }

    /** Sets the speed of an engine, merged over all entries. */
    public setTiming(id: string, timing: EngineTiming): void {
        this.amend(id, next => next.timing = timing);
    }

    /** Records that a process could not reach an upstream. */
    public reportUnreachable(id: string, from: string): void {
        const record = this.upstreams.get(id);
        if (record !== undefined) {
            record.unreachableReports.set(from, steadyNow());
            this.changed.notify();
        }
    }

    /** Records a refused connection. One is enough to suspect an upstream: no process listens at its address. */
    public reportRefused(id: string): void {
        const record = this.upstreams.get(id);
        if (record !== undefined) {
            record.refusedAt = steadyNow();
            this.changed.notify();
        }
    }

    /** Whether an upstream is unknown or probably down; see {@link isProbablyDown}. */
    public isSuspect(id: string, maxSilenceMs: number, minReports: number): boolean {
        const record = this.upstreams.get(id);
        return record === undefined || isProbablyDown(record, maxSilenceMs, minReports);
    }

    /** Removes upstreams that have stopped announcing themselves. */
    public removeExpired(): void {
        for (const [id, record] of this.upstreams) {
            if (eventLoop.readUntil - record.lastAnnouncedAt > expireAfterMs) {
                this.remove(id, "silent");
            }
        }
        this.endedIncarnations.removeExpired();
        this.delayedAnnouncements.removeExpired();
        this.departures.removeExpired(steadyNow());
    }

    public changesSince(position: number): RegistryChanges {
        const isSnapshot = !this.removals.isCompleteSince(position);
        const changed = isSnapshot ? [...this.upstreams.values()] : this.changedSince(position);
        const removed = this.removals.since(position);
        const departed = removed.filter(id => this.drainingIds.has(id));
        return {
            position: this.lastPosition,
            changed: changed.map(record => record.upstream).filter(({ id }) => !this.heldBackIds.has(id)),
            removed,
            departed,
            departures: this.lastDeparturePosition <= position
                ? []
                : this.departures.all().filter(departure => departure.position > position),
            isSnapshot,
        };
    }

    /** Clears the registry at the start of a leadership, since its content may be stale. */
    public clear({ term, departures }: InheritedState): void {
        this.upstreams.clear();
        this.heldBackIds.clear();
        this.idOfName.clear();
        this.idAtAddress.clear();
        this.endedIncarnations.clear();
        this.changes.clear(this.lastPosition);
        this.pending.clear();
        this.delayedAnnouncements.clear();
        this.replaced.clear();
        this.removals.clear();
        this.term = term;
        this.departures.clear();
        departures.forEach(departure => this.recordDeparture(departure));
    }

    private changedSince(position: number): UpstreamRecord[] {
        const ids = this.changes.since(position);
        return ids === undefined
            ? [...this.upstreams.values()].filter(record => record.position > position)
            : ids.map(id => this.upstreams.get(id)).filter(record => record !== undefined);
    }

    private getByName(name: string): Upstream | undefined {
        const id = this.idOfName.get(name);
        return id === undefined ? undefined : this.upstreams.get(id)?.upstream;
    }

    /** Whether an incarnation has ended, or a later one of the same name is known. */
    private isSuperseded(incarnation: Incarnation): boolean {
        const known = this.getByName(incarnation.name);
        return this.endedIncarnations.has(incarnation) || this.departures.hasLeft(incarnation)
            || (known !== undefined && supersedes(known, incarnation));
    }

    private applyAnnouncement(record: UpstreamRecord, announced: Upstream, isNew: boolean): void {
        const next = clone(UpstreamSchema, announced);
        if (next.state === UpstreamState.DRAINING) {
            this.drainingIds.add(next.id);
        }
        else if (this.drainingIds.has(next.id) || this.departures.covers(next)) {
            // The announcement is stale, or the upstream reports draining in its responses only.
            next.state = UpstreamState.DRAINING;
            next.shortNotice ||= record.upstream.shortNotice;
        }
        if (!isNew) {
            if (record.modelsFromOrders) {
                next.models = record.upstream.models;
            }
            next.failingPercent = record.upstream.failingPercent;
            next.limited = record.upstream.limited;
            next.timing = record.upstream.timing;
        }
        if (isNew) {
            this.log.info("upstream.learnt", {
                ...upstreamLogFields(next),
                inMemory: [...record.inMemory],
                onDisk: [...record.onDisk],
            });
            this.holdBackIfNew(next);
            this.update(record, next);
            return;
        }
        this.updateIfChanged(record, next);
    }

    private holdBackIfNew({ id, service, softwareVersion: version }: Upstream): void {
        if (!this.isAdmitted({ service, version })) {
            this.heldBackIds.add(id);
            this.log.info("upstream.held-back", { upstream: id, service, softwareVersion: version });
            this.heldBackChanged.notify();
        }
    }

    private amend(id: string, change: (next: Upstream) => void): void {
        const record = this.upstreams.get(id);
        if (record !== undefined) {
            const next = clone(UpstreamSchema, record.upstream);
            change(next);
            this.updateIfChanged(record, next);
        }
    }

    private updateIfChanged(record: UpstreamRecord, next: Upstream): void {
        if (equals(UpstreamSchema, record.upstream, next)) {
            return;
        }
        if (record.upstream.state !== next.state) {
            this.log.info("upstream.state", upstreamLogFields(next));
        }
        this.update(record, next);
    }

    private update(record: UpstreamRecord, next: Upstream): void {
        const isUrgent = reducesTraffic(record.upstream, next);
        record.upstream = next;
        this.recordChange(record);
        if (isUrgent) {
            this.lastUrgentPosition = this.lastPosition;
        }
    }

    private recordChange(record: UpstreamRecord): void {
        this.lastPosition += 1;
        record.position = this.lastPosition;
        this.changes.add(record.upstream.id, this.lastPosition);
        this.changed.notify();
    }

    /**
     * Whether an announcement may be a delayed one of a crashed process: its sender is unknown here but isn't
     * new, and its address belongs to another live upstream, or an incarnation of its name has ended.
     * A live sender is accepted once it announces itself again.
     */
    private mayBeDelayed(announcement: Announcement): boolean {
        const { id, address } = announcement.upstream!;
        const holder = this.upstreams.get(this.idAtAddress.get(address) ?? "");
        const isAddressHeld = holder !== undefined && eventLoop.readUntil - holder.lastAnnouncedAt < addressHeldMs
            && !supersedes(announcement.upstream!, holder.upstream);
        const mayHaveEnded = isAddressHeld || this.endedIncarnations.hasAny(announcement.upstream!.name)
            || this.departures.mayHaveLeft(announcement.upstream!);
        if (!mayHaveEnded || announcement.sequence <= maxInitialSequence) {
            return false;
        }
        return this.delayedAnnouncements.isDoubted(id);
    }

    private removePreviousIncarnation(upstream: Upstream): void {
        const known = this.getByName(upstream.name);
        if (known !== undefined && known.id !== upstream.id) {
            if (known.born === upstream.born) {
                this.endedIncarnations.markReplaced(known, upstream);
            }
            else {
                this.endedIncarnations.markEnded(known);
            }
            this.markReplaced(known);
            this.remove(known.id, "replaced by a restart");
        }
    }

    /** Assigns an address to the upstream that announced it last, and ends its previous owner. */
    private claimAddress({ id, address }: Upstream): void {
        const other = this.upstreams.get(this.idAtAddress.get(address) ?? "");
        if (other !== undefined && other.upstream.id !== id && other.upstream.address === address) {
            this.endedIncarnations.markEnded(other.upstream);
            this.markReplaced(other.upstream);
            this.remove(other.upstream.id, "address taken by another upstream");
        }
        this.idAtAddress.set(address, id);
    }

    private markReplaced({ id, state }: Upstream): void {
        if (state === UpstreamState.DRAINING) {
            return;
        }
        this.replaced.add(id);
        const [oldest] = this.replaced;
        if (this.replaced.size > maxReplaced) {
            this.replaced.delete(oldest);
        }
    }

    private remove(id: string, reason: string): number {
        const record = this.upstreams.get(id);
        if (record !== undefined) {
            this.upstreams.delete(id);
            this.heldBackIds.delete(id);
            deleteIfOwned(this.idOfName, record.upstream.name, id);
            deleteIfOwned(this.idAtAddress, record.upstream.address, id);
            this.log.info("upstream.gone", { upstream: id, reason });
        }
        this.lastPosition += 1;
        this.lastUrgentPosition = this.lastPosition;
        this.removals.add(id, this.lastPosition);
        this.changed.notify();
        return this.lastPosition;
    }
}

function deleteIfOwned(ids: Map<string, string>, key: string, id: string): void {
    if (ids.get(key) === id) {
        ids.delete(key);
    }
}
