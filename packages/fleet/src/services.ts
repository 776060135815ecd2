/** The RPCs of the leader that entries and other control hosts call. */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type Allowance, type LimitBook } from "@winchpath/accounts";
import { type RateLedger } from "@winchpath/availability";
import { type CrashWatch } from "@winchpath/quarantine";
import { type AnnouncementDesk } from "./announcements.js";
import { type DemandBook } from "./demands.js";
import { type Feed } from "./feeds.js";
import { type DemandRequest, type FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type OrderLease } from "./orderleases.js";
import { decodeRate } from "./upstreamrates.js";

export interface FleetServiceParts {
    readonly feed: Pick<Feed, "poll" | "liveEntries">;
    readonly desk: AnnouncementDesk;
    readonly demand: Pick<DemandBook, "take">;
    readonly lease: Pick<OrderLease, "yieldTo">;
    readonly leads: () => boolean;
    /** Called after demand was taken in. */
    readonly demanded: (report: DemandRequest) => void;
    /** Takes in what an entry has counted of accounts. */
    readonly limits: Pick<LimitBook, "take">;
    /** Takes in what an entry knows of upstreams' rates. */
    readonly rates: Pick<RateLedger, "take">;
    /** Of the present leadership. */
    readonly crashes: () => Pick<CrashWatch, "take"> | undefined;
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
            if (req.announcement?.upstream === undefined) {
                throw new ConnectError("an announcement of nobody", Code.InvalidArgument);
            }
            await parts.desk.announceHere(req.announcement);
            return {};
        },
        reaffirm: req => {
            checkLeads();
            return { unknown: parts.desk.reaffirmHere(req.upstreams) };
        },
        leave: async req => {
            checkLeads();
            await parts.desk.leaveHere(req);
            return {};
        },
        reportDemand: req => {
            checkLeads();
            parts.demand.take(req);
            parts.demanded(req);
            return { allowances: allowancesOf(parts, req), permits: permitsOf(parts, req) };
        },
        reportCrashes: req => {
            const crashes = parts.crashes();
            if (crashes === undefined) {
                throw new ConnectError("not the leader", Code.FailedPrecondition);
            }
            crashes.take(req.entry, req.sights, req.endedWell);
            return {};
        },
        yieldOrders: req => {
            const { gave, ageMs } = parts.lease.yieldTo(Number(req.token));
            return { gave, lastOrderAgeMs: Math.round(ageMs) };
        },
    };
}

function permitsOf({ rates }: FleetServiceParts, req: DemandRequest) {
    return rates.take(req.entry, req.rates.map(decodeRate)).map(grant => ({
        ...grant,
        lifeMs: Math.round(grant.lifeMs),
        dryMs: Math.ceil(grant.dryMs),
    }));
}

function allowancesOf(parts: FleetServiceParts, { entry, process, accounts }: DemandRequest) {
    const counts = accounts.map(({ account, used, asked, credit, waiting, held }) => ({
        account,
        held,
        used: Number(used),
        asked: Number(asked),
        credit: Number(credit),
        waiting: Number(waiting),
    }));
    const allowances = parts.limits.take({
        entry,
        process: Number(process),
        counts,
        entries: Math.max(1, parts.feed.liveEntries),
    });
    return allowances.map(encodeAllowance);
}

function encodeAllowance(allowance: Allowance) {
    return {
        ...allowance,
        grant: BigInt(allowance.grant),
        dryMs: Math.round(allowance.dryMs),
        reportAfter: BigInt(allowance.reportAfter),
    };
}
