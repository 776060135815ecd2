/** The RPCs of the leader that entries and other control hosts call. */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type AnnouncementDesk } from "./announcements.js";
import { type DemandBook } from "./demands.js";
import { type Feed } from "./feeds.js";
import { type DemandRequest, type FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type OrderLease } from "./orderleases.js";

export interface FleetServiceParts {
    readonly feed: Feed;
    readonly desk: AnnouncementDesk;
    readonly demand: Pick<DemandBook, "take">;
    readonly lease: Pick<OrderLease, "yieldTo">;
    readonly leads: () => boolean;
    /** Called after demand was taken in. */
    readonly demanded: (report: DemandRequest) => void;
}

export function fleetService(parts: FleetServiceParts): ServiceImpl<typeof FleetService> {
    const checkLeads = () => {
        if (!parts.leads()) {
            throw new ConnectError("not the leader", Code.FailedPrecondition);
        }
    };
    return {
        poll: req => parts.feed.poll(req),
        announce: async req => {
            checkLeads();
            await parts.desk.announceHere(req.announcement!);
            return {};
        },
        leave: async req => {
            checkLeads();
            await parts.desk.leaveHere(req.id);
            return {};
        },
        reportDemand: req => {
            checkLeads();
            parts.demand.take(req);
            parts.demanded(req);
            return {};
        },
        yieldOrders: req => {
            const { gave, ageMs } = parts.lease.yieldTo(Number(req.token));
            return { gave, lastOrderAgeMs: Math.round(ageMs) };
        },
    };
}
