/** Implements the fleet service, which entries and other control hosts call. */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type AccountLimitCoordinator, type Allowance } from "@winchpath/accounts";
import { type RateLimitCoordinator } from "@winchpath/availability";
import { type CrashMonitor, type SuspectTrials } from "@winchpath/quarantine";
import { type SlotLessor } from "@winchpath/retries";
import { type AnnouncementReceiver } from "./announcements.js";
import { type DemandTracker } from "./demands.js";
import { encodeTrialDecision } from "./encodings.js";
import { type Feed } from "./feeds.js";
import { type DemandRequest, type FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type OrderLease } from "./orderleases.js";
import { decodeRate } from "./rateencodings.js";
import { decodeSlotReports, encodeSlotGrants } from "./slotencodings.js";
import { decodeWork } from "./workencodings.js";

export interface FleetServiceDependencies {
    readonly feed: Pick<Feed, "poll" | "confirmDocument" | "liveEntries" | "recordLevels">;
    readonly announcements: AnnouncementReceiver;
    readonly demand: Pick<DemandTracker, "take">;
    readonly lease: Pick<OrderLease, "yieldTo">;
    readonly isLeader: () => boolean;
    /** Called after a demand report has been recorded. */
    readonly onDemandReport: (report: DemandRequest) => void;
    /** Returns the coordinator that receives usage counts and work of client accounts. */
    readonly limits: () => Pick<AccountLimitCoordinator, "processCounts" | "shares">;
    /** Receives upstream rate limits known to entries. */
    readonly rates: Pick<RateLimitCoordinator, "processReports">;
    /** Leases slots for retries to entries. */
    readonly retries: SlotLessor;
    /** Decides about crashes during the current leadership; undefined if this host is not the leader. */
    readonly crashes: () => CrashDecisions | undefined;
}

/** The parts of a leadership that decide about requests that crash upstreams. */
export interface CrashDecisions {
    readonly monitor: Pick<CrashMonitor, "addReports">;
    readonly trials: Pick<SuspectTrials, "start" | "end">;
}

export function createFleetService(deps: FleetServiceDependencies): ServiceImpl<typeof FleetService> {
    const checkLeads = () => {
        if (!deps.isLeader()) {
            throw new ConnectError("not the leader", Code.FailedPrecondition);
        }
    };
    const requireCrashes = () => {
        const crashes = deps.crashes();
        if (crashes === undefined) {
            throw new ConnectError("not the leader", Code.FailedPrecondition);
        }
        return crashes;
    };
    return {
        poll: req => deps.feed.poll(req),
        confirm: req => deps.feed.confirmDocument(req),
        announce: async req => {
            checkLeads();
            if (req.announcement?.upstream === undefined) {
                throw new ConnectError("an announcement of nobody", Code.InvalidArgument);
            }
            await deps.announcements.announceLocally(req.announcement);
            return {};
        },
        reaffirm: req => {
            checkLeads();
            return { unknown: deps.announcements.reaffirmLocally(req.upstreams) };
        },
        leave: async req => {
            checkLeads();
            await deps.announcements.leaveLocally(req);
            return {};
        },
        reportDemand: req => {
            checkLeads();
            deps.demand.take(req);
            deps.feed.recordLevels(req);
            deps.onDemandReport(req);
            return {
                allowances: grantAllowances(deps, req),
                permits: grantPermits(deps, req),
                shares: grantShares(deps, req),
                retrySlots: grantSlots(deps, req),
            };
        },
        reportCrashes: req => {
            const { monitor, trials } = requireCrashes();
            monitor.addReports(req.entry, req.sights, req.endedWell);
            req.endedTrials.forEach(trial => trials.end(trial));
            return {};
        },
        startTrial: req => ({ decision: encodeTrialDecision(requireCrashes().trials.start(req)) }),
        yieldOrders: req => {
            const { gave, ageMs } = deps.lease.yieldTo(Number(req.token));
            return { gave, lastOrderAgeMs: Math.round(ageMs) };
        },
    };
}

function grantPermits({ rates }: FleetServiceDependencies, req: DemandRequest) {
    return rates.processReports(req.entry, req.rates.map(decodeRate)).map(grant => ({
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
    const allowances = deps.limits().processCounts({
        entry,
        process: Number(process),
        counts,
        entries: Math.max(1, deps.feed.liveEntries),
    });
    return allowances.map(encodeAllowance);
}

function grantShares({ limits, feed }: FleetServiceDependencies, req: DemandRequest) {
    const counts = req.accountWork.map(decodeWork);
    const entries = Math.max(1, feed.liveEntries);
    return limits().shares.processWork({
        entry: req.entry,
        process: Number(req.process),
        sequence: Number(req.sequence),
        isComplete: req.accountWorkComplete,
        counts,
        entries,
    });
}

function grantSlots({ retries }: FleetServiceDependencies, req: DemandRequest) {
    const grants = retries.processReports(decodeSlotReports(req));
    return grants === undefined ? undefined : encodeSlotGrants(grants);
}

function encodeAllowance(allowance: Allowance) {
    return {
        ...allowance,
        grant: BigInt(allowance.grant),
        dryMs: Math.round(allowance.dryMs),
        reportAfter: BigInt(allowance.reportAfter),
    };
}
