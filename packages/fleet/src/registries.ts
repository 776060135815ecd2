/** The upstreams that have announced themselves, as the leader of the control group knows them. */
import { clone, create, equals } from "@bufbuild/protobuf";
import { LeaverBook } from "@winchpath/availability";
import { type EventLog, Notifier, steadyNow } from "@winchpath/core";
import { ChangeLog } from "./changelogs.js";
import {
    type Announcement,
    type HeldModel,
    HeldModelSchema,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { EndedIncarnations, type Incarnation, succeeds } from "./incarnations.js";
import { Strangers } from "./strangers.js";

/**
 * After this long without an announcement an upstream is forgotten. Entries
 * find out by themselves that one is down, so this only clears what is left:
 * ten announcements at the usual 1.2 s.
 */
const forgetAfterMs = 12_000;
/** A doubt about a sender is remembered for this long, in milliseconds. */
const doubtedMs = 60_000;
/** An upstream that was heard this lately holds its address, in milliseconds: two announcements at the usual 1.2 s. */
const doubtMs = 2400;
/** Announcements that were held up together arrive within this time; a living sender's next one comes later. */
const heldUpMs = 600;
/** A process that has just started has sent no more announcements than these. */
const firstSequences = 2n;
/** Removals that a poll may be behind before it gets everything anew. */
const rememberedRemovals = 2000;

/** Reports that an upstream can't be reached count this long, in milliseconds: until its next announcement is due. */
const unreachableMs = 2500;

/** What the leader knows of one upstream. */
export interface RegisteredUpstream {
    readonly upstream: Upstream;
    /** Steady time of the last announcement. */
    readonly heardAt: number;
    /** When each process, by name, last failed to reach it; since its last announcement. */
    readonly unreachableFrom: ReadonlyMap<string, number>;
    /** When it last refused a connection; since its last announcement. */
    readonly refusedAt: number;
    /** Models of which its host keeps a copy. */
    readonly inMemory: ReadonlySet<string>;
    readonly onDisk: ReadonlySet<string>;
}

interface Entry extends RegisteredUpstream {
    upstream: Upstream;
    heardAt: number;
    unreachableFrom: Map<string, number>;
    refusedAt: number;
    inMemory: ReadonlySet<string>;
    onDisk: ReadonlySet<string>;
    sequence: bigint;
    position: number;
    /** Whether held models follow from this leader's orders: announcements may have been sent before them. */
    modelsFromOrders: boolean;
}

/** What changed after a position. */
export interface RegistryChanges {
    readonly position: number;
    readonly changed: readonly Upstream[];
    readonly removed: readonly string[];
    /** Those among `removed` that had said that they leave. */
    readonly left: readonly string[];
    /** Whether `changed` is everything there is. */
    readonly whole: boolean;
}

export class Registry {
    /** Notified after each change. */
    public readonly changed = new Notifier();
    private readonly upstreams = new Map<string, Entry>();
    /** Id of the incarnation that is known under a name, or holds an address. */
    private readonly idOfName = new Map<string, string>();
    private readonly idAtAddress = new Map<string, string>();
    private readonly ended = new EndedIncarnations();
    private readonly changes = new ChangeLog();
    private readonly strangers: Strangers;
    /** Outlives leaderships and silences: what an incarnation has said once holds until its end. */
    private readonly leavers = new LeaverBook();
    /** When an announcement was first doubted, by the id of its sender. */
    private readonly doubted = new Map<string, number>();
    /** Incarnations whose name or address is another's now: they ended, whatever they had said. */
    private readonly replaced = new Set<string>();
    private removals: { readonly id: string; readonly position: number; }[] = [];
    private removalFloor = 0;
    private newest = 0;
    private newestUrgent = 0;

    /** `serves`: whether a service is one of the configuration's. */
    public constructor(private readonly log: EventLog, private readonly serves = (_service: string) => true) {
        this.strangers = new Strangers(log);
    }

    /** Position of the newest change. */
    public get position(): number {
        return this.newest;
    }

    /** Position of the newest change after which requests must not go where they went before. */
    public get urgentPosition(): number {
        return this.newestUrgent;
    }

    public get(id: string): RegisteredUpstream | undefined {
        return this.upstreams.get(id);
    }

    /** Whether another incarnation has taken the place of one that never left. */
    public wasReplaced(id: string): boolean {
        return this.replaced.has(id);
    }

    public all(): RegisteredUpstream[] {
        return [...this.upstreams.values()];
    }

    /** Takes in what an upstream tells; gives the position from which on entries know it. */
    public announce(announcement: Announcement): number {
        const upstream = announcement.upstream!;
        if (!this.serves(upstream.service)) {
            this.strangers.put(announcement);
            return this.newest;
        }
        const known = this.upstreams.get(upstream.id);
        if (this.isOver(upstream) || (known !== undefined && announcement.sequence <= known.sequence)) {
            return this.newest;
        }
        if (known === undefined && this.isDoubtful(announcement)) {
            this.log.info("announcement.doubted", { upstream: upstream.id, address: upstream.address });
            return this.newest;
        }
        this.dropEarlier(upstream);
        this.dropOtherAt(upstream);
        const entry: Entry = known ?? {
            upstream,
            sequence: announcement.sequence,
            heardAt: 0,
            unreachableFrom: new Map(),
            refusedAt: Number.NEGATIVE_INFINITY,
            inMemory: new Set(),
            onDisk: new Set(),
            position: 0,
            modelsFromOrders: false,
        };
        this.upstreams.set(upstream.id, entry);
        this.idOfName.set(upstream.name, upstream.id);
        entry.sequence = announcement.sequence;
        this.hear(entry);
        entry.inMemory = new Set(announcement.inMemory);
        entry.onDisk = new Set(announcement.onDisk);
        this.takeIn(entry, upstream, known === undefined);
        return entry.position;
    }

    /** An upstream has said again what is known of it; whether it is known. */
    public reaffirm(id: string, sequence: bigint): boolean {
        const entry = this.upstreams.get(id);
        if (entry === undefined) {
            return false;
        }
        if (sequence > entry.sequence) {
            entry.sequence = sequence;
            this.hear(entry);
        }
        return true;
    }

    /** Takes in what was said of services that were not known then; called once the configuration has changed. */
    public meetStrangers(): void {
        this.strangers.takeAll().forEach(announcement => this.announce(announcement));
    }

    /**
     * Forgets an upstream that has left; gives the position from which on entries know it. A departure
     * ends one incarnation and those before it; without a start it is of the one that is known.
     */
    public leave(name: string, born = 0n): number {
        const known = this.known(name);
        const left = born === 0n && known !== undefined ? known : { name, born };
        this.ended.end(left);
        if (known === undefined || succeeds(known, left)) {
            return this.newest;
        }
        this.leavers.add(known.id);
        return this.remove(known.id, "left");
    }

    /** An answer of an upstream has said that it leaves, whatever it announces. */
    public noteLeaving(id: string, from: string): void {
        const isNew = this.leavers.add(id);
        const entry = this.upstreams.get(id);
        if (isNew) {
            this.log.info("upstream.leaving", { upstream: id, told: "answer", from });
        }
        if (entry !== undefined && entry.upstream.state !== UpstreamState.DRAINING) {
            const next = clone(UpstreamSchema, entry.upstream);
            next.state = UpstreamState.DRAINING;
            this.replace(entry, next);
        }
    }

    /** Sets what an engine holds, as it was read or as orders have changed it. */
    public setModels(id: string, models: readonly HeldModel[]): void {
        const entry = this.upstreams.get(id);
        if (entry === undefined) {
            return;
        }
        entry.modelsFromOrders = true;
        const next = clone(UpstreamSchema, entry.upstream);
        next.models = models.map(model => clone(HeldModelSchema, model));
        this.replace(entry, next);
    }

    /** Sets the share of its requests that an upstream fails, in percent. */
    public setFailing(id: string, percent: number): void {
        const entry = this.upstreams.get(id);
        if (entry !== undefined && entry.upstream.failingPercent !== percent) {
            const next = clone(UpstreamSchema, entry.upstream);
            next.failingPercent = percent;
            this.log.info("upstream.health", { upstream: id, failingPercent: percent });
            this.touch(entry, next);
        }
    }

    /** Sets whether an upstream has named a rate that it takes. */
    public setLimited(id: string, limited: boolean): void {
        const entry = this.upstreams.get(id);
        if (entry !== undefined && entry.upstream.limited !== limited) {
            const next = clone(UpstreamSchema, entry.upstream);
            next.limited = limited;
            this.touch(entry, next);
        }
    }

    /** A process could not reach an upstream. */
    public unreachable(id: string, from: string): void {
        const entry = this.upstreams.get(id);
        if (entry !== undefined) {
            entry.unreachableFrom.set(from, steadyNow());
            this.changed.notify();
        }
    }

    /** An upstream has refused a connection: its process is not there, so one report is enough. */
    public refused(id: string): void {
        const entry = this.upstreams.get(id);
        if (entry !== undefined) {
            entry.refusedAt = steadyNow();
            this.changed.notify();
        }
    }

    /**
     * Whether an upstream seems to be down: it was silent for longer than
     * `silentMs`, has refused a connection, or is out of reach of `reports` processes.
     */
    public isSuspect(id: string, silentMs: number, reports: number): boolean {
        const entry = this.upstreams.get(id);
        if (entry === undefined) {
            return true;
        }
        const now = steadyNow();
        const isFresh = (at: number) => now - at < unreachableMs;
        const missed = [...entry.unreachableFrom.values()].filter(isFresh).length;
        return now - entry.heardAt > silentMs || isFresh(entry.refusedAt) || missed >= reports;
    }

    /** Forgets what was not heard for long. */
    public expire(): void {
        const now = steadyNow();
        for (const [id, entry] of this.upstreams) {
            if (now - entry.heardAt > forgetAfterMs) {
                this.remove(id, "silent");
            }
        }
        this.ended.forgetOld();
        forgetBefore(this.doubted, now - doubtedMs);
    }

    /** All that changed after `position`. */
    public since(position: number): RegistryChanges {
        const whole = position < this.removalFloor;
        const changed = whole ? [...this.upstreams.values()] : this.changedSince(position);
        const removed = this.removals.filter(removal => removal.position > position).map(removal => removal.id);
        const left = removed.filter(id => this.leavers.has(id));
        return { position: this.newest, changed: changed.map(entry => entry.upstream), removed, left, whole };
    }

    /** Forgets everything, at the start of a leadership: what was known may be old. */
    public clear(): void {
        this.upstreams.clear();
        this.idOfName.clear();
        this.idAtAddress.clear();
        this.ended.clear();
        this.changes.clear(this.newest);
        this.strangers.clear();
        this.doubted.clear();
        this.replaced.clear();
        this.removals = [];
        this.removalFloor = 0;
    }

    private hear(entry: Entry): void {
        entry.heardAt = steadyNow();
        entry.unreachableFrom.clear();
        entry.refusedAt = Number.NEGATIVE_INFINITY;
    }

    private changedSince(position: number): Entry[] {
        const ids = this.changes.since(position);
        return ids === undefined
            ? [...this.upstreams.values()].filter(entry => entry.position > position)
            : ids.map(id => this.upstreams.get(id)).filter(entry => entry !== undefined);
    }

    /** The incarnation that is known under a name. */
    private known(name: string): Upstream | undefined {
        const id = this.idOfName.get(name);
        return id === undefined ? undefined : this.upstreams.get(id)?.upstream;
    }

    /** Whether an incarnation has ended, or a later one of its name is known: what it says comes late. */
    private isOver(incarnation: Incarnation): boolean {
        const known = this.known(incarnation.name);
        return this.ended.has(incarnation) || (known !== undefined && succeeds(known, incarnation));
    }

    private takeIn(entry: Entry, told: Upstream, isNew: boolean): void {
        const next = clone(UpstreamSchema, told);
        if (next.state === UpstreamState.DRAINING) {
            this.leavers.add(next.id);
        }
        else if (this.leavers.has(next.id)) {
            // An announcement that says otherwise was sent before, or by an upstream that says so in its answers only.
            next.state = UpstreamState.DRAINING;
        }
        if (!isNew) {
            if (entry.modelsFromOrders) {
                next.models = entry.upstream.models;
            }
            next.failingPercent = entry.upstream.failingPercent;
            next.limited = entry.upstream.limited;
        }
        if (isNew) {
            this.log.info("upstream.learnt", {
                ...describe(next),
                inMemory: [...entry.inMemory],
                onDisk: [...entry.onDisk],
            });
            this.touch(entry, next);
            return;
        }
        this.replace(entry, next);
    }

    private replace(entry: Entry, next: Upstream): void {
        if (equals(UpstreamSchema, entry.upstream, next)) {
            return;
        }
        if (entry.upstream.state !== next.state) {
            this.log.info("upstream.state", describe(next));
        }
        this.touch(entry, next);
    }

    private touch(entry: Entry, next: Upstream): void {
        const takesLess = stopsTaking(entry.upstream, next);
        entry.upstream = next;
        this.newest += 1;
        entry.position = this.newest;
        this.changes.add(next.id, this.newest);
        if (takesLess) {
            this.newestUrgent = this.newest;
        }
        this.changed.notify();
    }

    /**
     * Whether an announcement may come from a process that has crashed, and was held up on its way: its
     * sender has announced itself before, never here, and another upstream was heard at its address just now,
     * or an upstream of its name has left.
     * A sender that lives announces itself again.
     */
    private isDoubtful(announcement: Announcement): boolean {
        const { id, address } = announcement.upstream!;
        const now = steadyNow();
        const holder = this.upstreams.get(this.idAtAddress.get(address) ?? "");
        const isHeld = holder !== undefined && now - holder.heardAt < doubtMs
            && !succeeds(announcement.upstream!, holder.upstream);
        const mayBeOver = isHeld || this.ended.hasAny(announcement.upstream!.name);
        if (!mayBeOver || announcement.sequence <= firstSequences) {
            return false;
        }
        const since = this.doubted.get(id) ?? now;
        this.doubted.set(id, since);
        return now - since < heldUpMs;
    }

    /** An upstream that has started anew: its earlier run is over. */
    private dropEarlier(upstream: Upstream): void {
        const known = this.known(upstream.name);
        if (known !== undefined && known.id !== upstream.id) {
            this.ended.end(known);
            this.noteReplaced(known);
            this.remove(known.id, "it has started anew");
        }
    }

    /** An address belongs to the upstream that announced it last; the one before it never comes back. */
    private dropOtherAt({ id, address }: Upstream): void {
        const other = this.upstreams.get(this.idAtAddress.get(address) ?? "");
        if (other !== undefined && other.upstream.id !== id && other.upstream.address === address) {
            this.ended.end(other.upstream);
            this.noteReplaced(other.upstream);
            this.remove(other.upstream.id, "its address is another upstream's now");
        }
        this.idAtAddress.set(address, id);
    }

    private noteReplaced({ id, state }: Upstream): void {
        if (state === UpstreamState.DRAINING) {
            return;
        }
        this.replaced.add(id);
        const [oldest] = this.replaced;
        if (this.replaced.size > rememberedRemovals) {
            this.replaced.delete(oldest);
        }
    }

    private remove(id: string, reason: string): number {
        const entry = this.upstreams.get(id);
        if (entry !== undefined) {
            this.upstreams.delete(id);
            forgetIfOwn(this.idOfName, entry.upstream.name, id);
            forgetIfOwn(this.idAtAddress, entry.upstream.address, id);
            this.log.info("upstream.gone", { upstream: id, reason });
        }
        this.newest += 1;
        this.newestUrgent = this.newest;
        this.removals.push({ id, position: this.newest });
        while (this.removals.length > rememberedRemovals) {
            this.removalFloor = this.removals.shift()!.position;
        }
        this.changed.notify();
        return this.newest;
    }
}

function forgetIfOwn(ids: Map<string, string>, key: string, id: string): void {
    if (ids.get(key) === id) {
        ids.delete(key);
    }
}

function forgetBefore(times: Map<string, number>, limit: number): void {
    for (const [id, at] of times) {
        if (at < limit) {
            times.delete(id);
        }
    }
}

/** Whether an upstream takes no or fewer requests, none for a model that it is about to give up, or fails them. */
function stopsTaking(before: Upstream, now: Upstream): boolean {
    if (now.failingPercent > before.failingPercent || (now.limited && !before.limited)) {
        return true;
    }
    const drains = before.state !== now.state && now.state === UpstreamState.DRAINING;
    const wasLeaving = (name: string) => before.models.some(model => model.name === name && model.leaving);
    return drains || now.models.some(model => model.leaving && !wasLeaving(model.name));
}

function describe(upstream: Upstream) {
    return {
        upstream: upstream.id,
        service: upstream.service,
        address: upstream.address,
        dataCentre: upstream.dataCentre,
        state: upstream.state === UpstreamState.DRAINING ? "draining" : "ready",
        models: upstream.models.map(model => model.name),
    };
}

/** A model without adapters that is ready in so many milliseconds. */
export function heldModel(name: string, readyInMs: number): HeldModel {
    return create(HeldModelSchema, { name, readyInMs: Math.round(readyInMs) });
}
