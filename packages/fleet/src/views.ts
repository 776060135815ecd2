/** What an entry knows of upstreams and configuration. It goes on with it while control is out of reach. */
import { AvailabilityBook } from "@winchpath/availability";
import { type EventLog, Notifier, steadyNow } from "@winchpath/core";
import { QuarantineList } from "@winchpath/quarantine";
import { decodeQuarantine, decodeUpstream } from "./encodings.js";
import { type PollResponse, type Upstream, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { succeeds } from "./incarnations.js";

/** Reads a document's text; gives undefined where it can't be used, which is logged by the reader. */
export type DocumentReader<C> = (text: string, version: number) => C | undefined;

export class FleetView<C> {
    /** Notified after each change. */
    public readonly changed = new Notifier();
    public readonly quarantine = new QuarantineList();
    private readonly known = new Map<string, { upstream: Upstream; epoch: string; at: number; }>();
    /** Id of the incarnation that is known under a name, or holds an address. */
    private readonly idOfName = new Map<string, string>();
    private readonly idAtAddress = new Map<string, string>();
    private held: { readonly version: number; readonly configuration: C; } | undefined;
    private liveEntries = 1;
    private heardAt = Number.NEGATIVE_INFINITY;
    private confirmed = Number.NEGATIVE_INFINITY;

    /** `availability`: what upstreams have said of themselves, in whatever way this process has heard it. */
    public constructor(
        private readonly read: DocumentReader<C>,
        private readonly log: EventLog,
        public readonly availability = new AvailabilityBook(),
    ) {}

    public get configuration(): C | undefined {
        return this.held?.configuration;
    }

    /** Version of the document in force here; 0 where none is. */
    public get version(): number {
        return this.held?.version ?? 0;
    }

    /** Entries that control knows to be alive, this one among them. */
    public get entries(): number {
        return this.liveEntries;
    }

    /** Milliseconds since control was heard; the age of all that stands here. */
    public get ageMs(): number {
        return steadyNow() - this.heardAt;
    }

    public upstreams(): Upstream[] {
        return [...this.known.values()].map(({ upstream }) => upstream);
    }

    public get(id: string): Upstream | undefined {
        return this.known.get(id)?.upstream;
    }

    /** Milliseconds until a model that is being loaded can be expected anywhere; undefined where none is. */
    public readyInMs(service: string, model: string): number | undefined {
        const now = steadyNow();
        const waits = [...this.known.values()]
            .filter(({ upstream }) => upstream.service === service && upstream.state === UpstreamState.READY)
            .flatMap(({ upstream, at }) =>
                upstream.models
                    .filter(held => held.name === model && held.readyInMs > 0)
                    .map(held => Math.max(0, at + held.readyInMs - now))
            );
        return waits.length === 0 ? undefined : Math.min(...waits);
    }

    /**
     * Steady time up to which every acknowledged document is known here. A leader answers no sooner than
     * it has waited, and no other can have acknowledged anything before a majority last followed it.
     */
    public get confirmedAt(): number {
        return this.confirmed;
    }

    /** Takes in an answer of the leader; `sentAt`: steady time at which it was asked. */
    public take(res: PollResponse, sentAt = Number.NEGATIVE_INFINITY): void {
        this.heardAt = steadyNow();
        this.liveEntries = Math.max(1, res.entries);
        this.quarantine.takeKey(res.fingerprintKey);
        this.quarantine.take(decodeQuarantine(res));
        // Outlives this leader: the next one may not have heard of it, and believe a late announcement.
        res.left.forEach(id => this.availability.leaves(id));
        res.removed.forEach(id => this.forget(id, res.epoch));
        res.changed.forEach(bytes => this.put(decodeUpstream(bytes), res.epoch));
        if (res.complete) {
            this.dropUnconfirmed(res.epoch);
        }
        if (res.documentText !== "") {
            this.putDocument(res.documentText, Number(res.documentVersion));
        }
        if (Number(res.documentVersion) <= this.version) {
            // A document that can't be read here leaves the ones before it unconfirmed.
            this.confirmed = Math.max(this.confirmed, sentAt + res.waitedMs - res.quorumAgeMs);
        }
        this.changed.notify();
    }

    private put(upstream: Upstream, epoch: string): void {
        const holder = this.named(upstream.name);
        if (holder !== undefined && succeeds(holder, upstream)) {
            // A new leader may have heard a late word of the earlier run before one of the run that lives.
            return;
        }
        const before = this.known.get(upstream.id);
        if (upstream.state === UpstreamState.DRAINING) {
            this.availability.leaves(upstream.id);
        }
        else if (this.availability.isLeaving(upstream.id)) {
            // A leader may not have heard yet what this process knows, or may have forgotten the upstream meanwhile.
            upstream.state = UpstreamState.DRAINING;
        }
        if (upstream.limited) {
            this.availability.rates.told(upstream.id);
        }
        if (before?.upstream.state !== upstream.state) {
            this.log.info("upstream.known", {
                upstream: upstream.id,
                service: upstream.service,
                state: upstream.state === UpstreamState.DRAINING ? "draining" : "ready",
                epoch,
            });
        }
        this.known.set(upstream.id, { upstream, epoch, at: steadyNow() });
        this.own(this.idOfName, upstream.name, upstream.id);
        this.own(this.idAtAddress, upstream.address, upstream.id);
    }

    /** The incarnation that is known under a name; undefined where none is. */
    public named(name: string): Upstream | undefined {
        return this.get(this.idOfName.get(name) ?? "");
    }

    /** A name or an address is one incarnation's: the one before it is gone. */
    private own(owners: Map<string, string>, key: string, id: string): void {
        const before = this.get(owners.get(key) ?? "");
        owners.set(key, id);
        const isOther = before !== undefined && before.id !== id;
        if (isOther && (before.name === key || before.address === key)) {
            this.drop(before.id);
        }
    }

    /** The leader says that an upstream is gone. */
    private forget(id: string, epoch: string): void {
        if (this.get(id) !== undefined) {
            this.log.info("upstream.forgotten", { upstream: id, epoch });
            this.drop(id);
        }
    }

    private drop(id: string): void {
        const upstream = this.get(id);
        if (upstream === undefined) {
            return;
        }
        this.known.delete(id);
        if (this.idOfName.get(upstream.name) === id) {
            this.idOfName.delete(upstream.name);
        }
        if (this.idAtAddress.get(upstream.address) === id) {
            this.idAtAddress.delete(upstream.address);
        }
    }

    /** What an earlier leader knew and the present one has never heard of is gone. */
    private dropUnconfirmed(epoch: string): void {
        for (const [id, entry] of this.known) {
            if (entry.epoch !== epoch) {
                this.drop(id);
                this.log.info("upstream.unconfirmed", { upstream: id, epoch });
            }
        }
    }

    /** Versions only grow here, whoever is asked. */
    private putDocument(text: string, version: number): void {
        if (version <= this.version) {
            return;
        }
        const configuration = this.read(text, version);
        if (configuration !== undefined) {
            this.held = { version, configuration };
            this.log.info("configuration.in-force", { version });
        }
    }
}
