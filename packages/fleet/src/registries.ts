/** The control leader's registry of announced upstreams. */
import { clone, create, equals } from "@bufbuild/protobuf";
import { DrainTracker } from "@winchpath/availability";
import { type EventLog, eventLoop, Notifier, steadyNow } from "@winchpath/core";
import { ChangeLog } from "./changelogs.js";
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
import { type VersionKey } from "./softwareversions.js";
import { reducesTraffic, upstreamLogFields } from "./upstreamchanges.js";

/**
 * An upstream is removed after this long without an announcement, ten default intervals. Entries detect failures
 * themselves, so this only frees stale records.
 */
const expireAfterMs = 12_000;
/** How long a possibly delayed announcement is remembered. */
const delayRecordTtlMs = 60_000;
/** An upstream owns its address until this long after its last announcement; two default intervals. */
const addressHeldMs = 2400;
/** Delayed announcements arrive within this time of each other; a live sender's next one arrives later. */
const maxDelayMs = 600;
/** Sequence numbers up to this one come from a process that has just started. */
const maxInitialSequence = 2n;
/** Removals kept; a poll from before the oldest one gets a full snapshot. */
const maxRemovals = 2000;

/** How long a report of an unreachable upstream counts, in milliseconds: until its next announcement is due. */
const unreachableReportTtlMs = 2500;

export interface RegisteredUpstream {
    readonly upstream: Upstream;
    /** Monotonic time of the last announcement. */
    readonly lastAnnouncedAt: number;
    /** Monotonic time of the last failed connection per reporting process; cleared by an announcement. */
    readonly unreachableReports: ReadonlyMap<string, number>;
    /** Monotonic time at which it last refused a connection; cleared by an announcement. */
    readonly refusedAt: number;
    /** Models that its host has cached in memory, and on disk. */
    readonly inMemory: ReadonlySet<string>;
    readonly onDisk: ReadonlySet<string>;
}

interface UpstreamRecord extends RegisteredUpstream {
    upstream: Upstream;
    lastAnnouncedAt: number;
    unreachableReports: Map<string, number>;
    refusedAt: number;
    inMemory: ReadonlySet<string>;
    onDisk: ReadonlySet<string>;
    sequence: bigint;
    position: number;
    /** Whether this leader's orders determine the held models; announcements may predate those orders. */
    modelsFromOrders: boolean;
}

/** The changes after a position. */
export interface RegistryChanges {
    readonly position: number;
    readonly changed: readonly Upstream[];
    readonly removed: readonly string[];
    /** The subset of `removed` that was draining or had deregistered. */
    readonly departed: readonly string[];
    /** Whether `changed` contains every upstream. */
    readonly isSnapshot: boolean;
}

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
    /** When a possibly delayed announcement first arrived, by upstream id. */
    private readonly delayedSince = new Map<string, number>();
    /** Incarnations that lost their name or address to another one without draining first. */
    private readonly replaced = new Set<string>();
    private removals: { readonly id: string; readonly position: number; }[] = [];
    private removalFloor = 0;
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
        const record: UpstreamRecord = known ?? {
            upstream,
            sequence: announcement.sequence,
            lastAnnouncedAt: 0,
            unreachableReports: new Map(),
            refusedAt: Number.NEGATIVE_INFINITY,
            inMemory: new Set(),
            onDisk: new Set(),
            position: 0,
            modelsFromOrders: false,
        };
        this.upstreams.set(upstream.id, record);
        this.idOfName.set(upstream.name, upstream.id);
        record.sequence = announcement.sequence;
        this.recordContact(record);
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
            this.recordContact(record);
        }
        return true;
    }

    /** Applies announcements that were held back for unknown services; called after configuration changes. */
    public admitPending(): void {
        this.pending.drain().forEach(announcement => this.announce(announcement));
    }

    /**
     * Removes an upstream that has deregistered, and its earlier incarnations. A `born` of 0 stands for the
     * current incarnation. Returns the position that entries must reach to have seen the removal.
     */
    public leave(name: string, born = 0n): number {
        const known = this.getByName(name);
        const isCurrent = known !== undefined && (born === 0n || born === known.born);
        const departed = isCurrent ? known : { name, born };
        this.endedIncarnations.markEnded(departed);
        if (known === undefined || supersedes(known, departed)) {
            return this.lastPosition;
        }
        this.drainingIds.add(known.id);
        return this.remove(known.id, "left");
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

    /**
     * Whether an upstream is probably down: it has not announced itself for `maxSilenceMs`, has refused
     * a connection, or can't be reached by at least `minReports` processes.
     */
    public isSuspect(id: string, maxSilenceMs: number, minReports: number): boolean {
        const record = this.upstreams.get(id);
        if (record === undefined) {
            return true;
        }
        const now = steadyNow();
        const isRecent = (at: number) => now - at < unreachableReportTtlMs;
        const unreachableCount = [...record.unreachableReports.values()].filter(isRecent).length;
        return eventLoop.readUntil - record.lastAnnouncedAt > maxSilenceMs || isRecent(record.refusedAt)
            || unreachableCount >= minReports;
    }

    /** Removes upstreams that have stopped announcing themselves. */
    public removeExpired(): void {
        const now = steadyNow();
        for (const [id, record] of this.upstreams) {
            if (eventLoop.readUntil - record.lastAnnouncedAt > expireAfterMs) {
                this.remove(id, "silent");
            }
        }
        this.endedIncarnations.removeExpired();
        deleteOlderThan(this.delayedSince, now - delayRecordTtlMs);
    }

    public changesSince(position: number): RegistryChanges {
        const isSnapshot = position < this.removalFloor;
        const changed = isSnapshot ? [...this.upstreams.values()] : this.changedSince(position);
        const removed = this.removals.filter(removal => removal.position > position).map(removal => removal.id);
        const departed = removed.filter(id => this.drainingIds.has(id));
        return {
            position: this.lastPosition,
            changed: changed.map(record => record.upstream).filter(({ id }) => !this.heldBackIds.has(id)),
            removed,
            departed,
            isSnapshot,
        };
    }

    /** Clears the registry at the start of a leadership, since its content may be stale. */
    public clear(): void {
        this.upstreams.clear();
        this.heldBackIds.clear();
        this.idOfName.clear();
        this.idAtAddress.clear();
        this.endedIncarnations.clear();
        this.changes.clear(this.lastPosition);
        this.pending.clear();
        this.delayedSince.clear();
        this.replaced.clear();
        this.removals = [];
        this.removalFloor = 0;
    }

    private recordContact(record: UpstreamRecord): void {
        record.lastAnnouncedAt = steadyNow();
        record.unreachableReports.clear();
        record.refusedAt = Number.NEGATIVE_INFINITY;
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
        return this.endedIncarnations.has(incarnation) || (known !== undefined && supersedes(known, incarnation));
    }

    private applyAnnouncement(record: UpstreamRecord, announced: Upstream, isNew: boolean): void {
        const next = clone(UpstreamSchema, announced);
        if (next.state === UpstreamState.DRAINING) {
            this.drainingIds.add(next.id);
        }
        else if (this.drainingIds.has(next.id)) {
            // The announcement is stale, or the upstream reports draining in its responses only.
            next.state = UpstreamState.DRAINING;
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
        const now = steadyNow();
        const holder = this.upstreams.get(this.idAtAddress.get(address) ?? "");
        const isAddressHeld = holder !== undefined && eventLoop.readUntil - holder.lastAnnouncedAt < addressHeldMs
            && !supersedes(announcement.upstream!, holder.upstream);
        const mayHaveEnded = isAddressHeld || this.endedIncarnations.hasAny(announcement.upstream!.name);
        if (!mayHaveEnded || announcement.sequence <= maxInitialSequence) {
            return false;
        }
        const since = this.delayedSince.get(id) ?? now;
        this.delayedSince.set(id, since);
        return now - since < maxDelayMs;
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
        if (this.replaced.size > maxRemovals) {
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
        this.removals.push({ id, position: this.lastPosition });
        while (this.removals.length > maxRemovals) {
            this.removalFloor = this.removals.shift()!.position;
        }
        this.changed.notify();
        return this.lastPosition;
    }
}

function deleteIfOwned(ids: Map<string, string>, key: string, id: string): void {
    if (ids.get(key) === id) {
        ids.delete(key);
    }
}

function deleteOlderThan(times: Map<string, number>, limit: number): void {
    for (const [id, at] of times) {
        if (at < limit) {
            times.delete(id);
        }
    }
}

/** Creates a model without adapters that is ready in `readyInMs`. */
export function createHeldModel(name: string, readyInMs: number): HeldModel {
    return create(HeldModelSchema, { name, readyInMs: Math.round(readyInMs) });
}
