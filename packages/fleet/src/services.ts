/** Implements the fleet service, which entries and other control hosts call. */
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

export interface FleetServiceDependencies {
    readonly feed: Pick<Feed, "poll" | "liveEntries">;
    readonly desk: AnnouncementDesk;
    readonly demand: Pick<DemandBook, "take">;
    readonly lease: Pick<OrderLease, "yieldTo">;
    readonly leads: () => boolean;
    /** Called after a demand report has been recorded. */
    readonly demanded: (report: DemandRequest) => void;
    /** Receives usage counts of client accounts. */
    readonly limits: Pick<LimitBook, "take">;
    /** Receives upstream rate limits known to entries. */
    readonly rates: Pick<RateLedger, "take">;
    /** The crash watch of the current leadership; undefined if this host is not the leader. */
    readonly crashes: () => Pick<CrashWatch, "take"> | undefined;
}

export function fleetService(deps: FleetServiceDependencies): ServiceImpl<typeof FleetService> {
    const checkLeads = () => {
        if (!deps.leads()) {
            throw new ConnectError("not the leader", Code.FailedPrecondition);
        }
    };
    return {
        poll: req => deps.feed.poll(req),
        announce: async req => {
            checkLeads();
            if (req.announcement?.upstream === undefined) {
                throw new ConnectError("an announcement of nobody", Code.InvalidArgument);
            }
            await deps.desk.announceLocally(req.announcement);
            return {};
        },
        reaffirm: req => {
            checkLeads();
            return { unknown: deps.desk.reaffirmLocally(req.upstreams) };
        },
        leave: async req => {
            checkLeads();
            await deps.desk.leaveLocally(req);
            return {};
        },
        reportDemand: req => {
            checkLeads();
            deps.demand.take(req);
            deps.demanded(req);
            return { allowances: grantAllowances(deps, req), permits: grantPermits(deps, req) };
        },
        reportCrashes: req => {
            const crashes = deps.crashes();
            if (crashes === undefined) {
                throw new ConnectError("not the leader", Code.FailedPrecondition);
            }
            crashes.take(req.entry, req.sights, req.endedWell);
            return {};
        },
        yieldOrders: req => {
            const { gave, ageMs } = deps.lease.yieldTo(Number(req.token));
            return { gave, lastOrderAgeMs: Math.round(ageMs) };
        },
    };
}

function grantPermits({ rates }: FleetServiceDependencies, req: DemandRequest) {
    return rates.take(req.entry, req.rates.map(decodeRate)).map(grant => ({
        ...grant,
        lifeMs: Math.round(grant.lifeMs),
        dryMs: Math.ceil(grant.dryMs),
    }));
}

function grantAllowances(deps: FleetServiceDependencies, { entry, process, accounts }: DemandRequest) {
    const counts = accounts.map(({ account, used, asked, credit, waiting, held }) => ({
        account,
        held,
        used: Number(used),
        asked: Number(asked),
        credit: Number(credit),
        waiting: Number(waiting),
    }));
    const allowances = deps.limits.take({
        entry,
        process: Number(process),
        counts,
        entries: Math.max(1, deps.feed.liveEntries),
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
