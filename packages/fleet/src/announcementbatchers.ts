/**
 * Reduces the leader's load from announcements: a host forwards an upstream's announcement in full only if its content
 * has changed, and batches unchanged ones into heartbeats. Three thousand upstreams announce themselves 2,500 times per
 * second, and an announcement in full costs the leader as much as a request costs an entry.
 */
import { type EventLog, messageOf, sleep, steadyNow } from "@winchpath/core";
import { type Announcement, type HeldModel } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type NamedStart } from "./incarnations.js";

/** Interval at which unchanged announcements are sent to the leader as a batch, in milliseconds. */
export const batchIntervalMs = 250;
/** After this long without an answer from the leader all announcements are forwarded in full, in milliseconds. */
const leaderContactMs = 1000;

/** Connection to the leader that announcements are forwarded to. */
export interface AnnouncementLeader {
    /** URL of the current leader; empty if unknown. */
    readonly leaderUrl: string;
    /** Forwards one announcement in full. */
    announce(announcement: Announcement): Promise<void>;
    /** Sends heartbeats of upstreams; returns the ids that the leader does not know. */
    reaffirm(upstreams: readonly UpstreamHeartbeat[]): Promise<readonly string[]>;
}

/** Heartbeat of an upstream whose announcement has not changed. */
export interface UpstreamHeartbeat {
    readonly id: string;
    readonly sequence: bigint;
}

interface ForwardedAnnouncement extends NamedStart {
    readonly leaderUrl: string;
    readonly content: string;
    sequence: bigint;
}

/** Forwards changed announcements to the leader at once, and unchanged ones as batched heartbeats. */
export class AnnouncementBatcher {
    private readonly forwarded = new Map<string, ForwardedAnnouncement>();
    private pending = new Map<string, Announcement>();
    /** Monotonic time of the leader's last answer. */
    private lastContactAt = Number.NEGATIVE_INFINITY;

    public constructor(private readonly leader: AnnouncementLeader, private readonly log: EventLog) {}

    /** Resolves once the leader knows the content; unchanged announcements are only queued for the next batch. */
    public async announce(announcement: Announcement): Promise<void> {
        const { id, name, born } = announcement.upstream!;
        const content = serializeContent(announcement);
        const { leaderUrl } = this.leader;
        const known = this.forwarded.get(id);
        const isUnchanged = known?.content === content && known.leaderUrl === leaderUrl && leaderUrl !== "";
        if (isUnchanged && steadyNow() - this.lastContactAt < leaderContactMs) {
            if (announcement.sequence > known.sequence) {
                known.sequence = announcement.sequence;
                this.pending.set(id, announcement);
            }
            return;
        }
        await this.leader.announce(announcement);
        this.lastContactAt = steadyNow();
        this.forwarded.set(id, { name, born, leaderUrl, content, sequence: announcement.sequence });
    }

    /** Drops an upstream that has left: all runs of its name up to `born`, or all if that is unknown (0). */
    public forget({ name, born }: NamedStart): void {
        for (const [id, run] of this.forwarded) {
            if (run.name === name && (born === 0n || run.born <= born)) {
                this.forwarded.delete(id);
                this.pending.delete(id);
            }
        }
    }

    /** Sends batches until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(batchIntervalMs, signal);
            await this.flush();
        }
    }

    private async flush(): Promise<void> {
        const { pending } = this;
        this.pending = new Map();
        if (pending.size === 0) {
            return;
        }
        try {
            const upstreams = [...pending].map(([id, { sequence }]) => ({ id, sequence }));
            const unknown = await this.leader.reaffirm(upstreams);
            this.lastContactAt = steadyNow();
            // A new leader does not know these upstreams: send their announcements in full.
            await Promise.all(unknown.map(id => this.leader.announce(pending.get(id)!)));
        }
        catch (err) {
            // Forward their next announcements in full, before the leader considers them lost.
            pending.forEach((_, id) => this.forwarded.delete(id));
            this.log.warn("announcements.untold", { count: pending.size, error: messageOf(err) });
        }
    }
}

/** Serializes an announcement for comparison, without its sequence number and with durations reduced to flags. */
function serializeContent(announcement: Announcement): string {
    const { upstream, inMemory, onDisk, remainingMs } = announcement;
    const { service, softwareVersion, address, dataCentre, slots, state, models, coldMs, shortNotice } = upstream!;
    return JSON.stringify([
        service,
        softwareVersion,
        address,
        dataCentre,
        slots,
        state,
        coldMs > 0,
        remainingMs > 0,
        shortNotice,
        inMemory,
        onDisk,
        models.map(serializeModel),
    ]);
}

function serializeModel({ name, version, adapters }: HeldModel): unknown[] {
    return [name, String(version), adapters];
}
