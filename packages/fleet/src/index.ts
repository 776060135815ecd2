export * from "./announcements.js";
export * from "./crashreports.js";
export * from "./demands.js";
export * from "./encodings.js";
export * from "./feeds.js";
export * from "./followers.js";
export * from "./gatherers.js";
export {
    type AccountAllowance,
    type AccountUse,
    type Announcement,
    AnnouncementSchema,
    type DemandRequest,
    DemandRequestSchema,
    FleetService,
    type HeldModel,
    HeldModelSchema,
    type ItemDemand,
    ItemDemandSchema,
    type Mismatch,
    type PollRequest,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
export * from "./healths.js";
export * from "./healthwatches.js";
export * from "./incarnations.js";
export * from "./items.js";
export * from "./leavers.js";
export * from "./meters.js";
export * from "./orderleases.js";
export * from "./orderlines.js";
export * from "./orders.js";
export * from "./placements.js";
export * from "./plans.js";
export * from "./planstates.js";
export * from "./registries.js";
export * from "./services.js";
export * from "./storepaces.js";
export * from "./upstreamrates.js";
export * from "./views.js";
