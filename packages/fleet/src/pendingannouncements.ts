/**
 * Announcements for services that the configuration doesn't declare. They are kept outside the registry, and
 * applied as soon as the service is declared.
 */
import { type EventLog } from "@winchpath/core";
import { type Announcement } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/**
 * Maximum number of upstreams whose latest announcement is kept. A new service brings its own upstreams, not thousands of
 * others.
 */
const maxPending = 512;

export class PendingAnnouncements {
    private readonly byId = new Map<string, Announcement>();

    public constructor(private readonly log: EventLog) {}

    public add(announcement: Announcement): void {
        const { id, service } = announcement.upstream!;
        if (this.byId.has(id)) {
            this.byId.delete(id);
        }
        else if (this.byId.size < maxPending) {
            this.log.info("announcement.of-unknown-service", { upstream: id, service });
        }
        this.byId.set(id, announcement);
        for (const oldest of this.byId.keys()) {
            if (this.byId.size <= maxPending) {
                return;
            }
            this.byId.delete(oldest);
        }
    }

    /** Removes and returns all kept announcements. */
    public drain(): Announcement[] {
        const all = [...this.byId.values()];
        this.byId.clear();
        return all;
    }

    public clear(): void {
        this.byId.clear();
    }
}
